//! Scenarios that inject faults between front ends, workers and clients.
//!
//! - `definition`: processes, load and script of each scenario.
//! - `script`: the faults and their times.
//! - `process_group`: the processes and the proxy between them.

mod definition;
mod process_group;
mod script;

pub use definition::{FaultScenario, ALL_FAULTS, COLD_ZONE};
pub use process_group::{GroupResult, ProcessGroup};
pub use script::{perform, FaultStep};

use crate::audit::audit_rules;
use crate::error::ScenarioError;
use crate::load::{self, LoadFunction, LoadPlan, LoadResult};
use std::sync::mpsc;
use tansy_audit::{audit, Audit};

/// Options of a fault scenario.
#[derive(Clone, Debug)]
pub struct FaultOptions {
    /// Seed of the load generator.
    pub seed: u64,
    /// Length of the scenario.
    pub seconds: f64,
    /// Calls per second; `None`: the scenario's default.
    pub rate: Option<u64>,
    /// Number of workers; `None`: the scenario's default.
    pub workers: Option<usize>,
    /// Cores of a worker; `None`: the scenario's default.
    pub cores: Option<f64>,
    /// Whether to inject no faults.
    pub without_faults: bool,
}

/// The result of a fault scenario.
#[derive(Debug)]
pub struct FaultReport {
    /// Results of the load generator.
    pub load: LoadResult,
    /// The counters of each gateway, as it printed them.
    pub counters: Vec<String>,
    /// Results of the audit.
    pub audit: Audit,
}

/// Runs a scenario.
///
/// # Errors
/// A process, the proxy or the load generator fails. Rule violations are part of the report.
pub fn run(scenario: &FaultScenario, options: &FaultOptions) -> Result<FaultReport, ScenarioError> {
    let workers = options.workers.unwrap_or(scenario.workers);
    let cores = options.cores.unwrap_or(scenario.cores);
    let settings = tansy_settings::parse_settings(scenario.settings_name, scenario.settings_text)?;
    let mut group = ProcessGroup::start(scenario, workers, cores)?;
    let plan = LoadPlan {
        front_ends: group.client_addresses().to_vec(),
        functions: LoadFunction::all(&settings),
        work_ms: scenario.work_ms.clone(),
        rate: options.rate.unwrap_or(scenario.rate),
        seconds: options.seconds,
        seed: options.seed,
        id_prefix: "call",
        simple_calls: false,
        stop: None,
    };
    let (progress, passed) = mpsc::channel();
    let clients = std::thread::spawn(move || load::run(&plan, &progress));
    if options.without_faults {
        // Waits until the clients are done.
        passed.iter().for_each(drop);
    } else {
        run_script(&mut group, scenario.script, &passed)?;
    }
    let load = load::join(clients)?;
    let finished = group.finish()?;
    let audit = audit(&finished.entries, &audit_rules(&settings, cores));
    Ok(FaultReport {
        load,
        counters: finished.counters,
        audit,
    })
}

/// Performs each step when it is due, until the clients are done.
fn run_script(
    group: &mut ProcessGroup,
    script: &[(f64, FaultStep)],
    passed: &mpsc::Receiver<f64>,
) -> Result<(), ScenarioError> {
    let mut steps = script.iter().peekable();
    for part in passed {
        while let Some((_, step)) = steps.next_if(|(at, _)| *at <= part) {
            perform(group, *step)?;
        }
    }
    Ok(())
}
