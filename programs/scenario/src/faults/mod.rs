//! Scenarios that inject faults between front ends, workers and clients.
//!
//! - `definition`: processes, load and script of each scenario.
//! - `script`: which fault comes when.
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

/// What of a scenario the command line decides.
#[derive(Clone, Debug)]
pub struct FaultOptions {
    /// Seed of the clients' random choices.
    pub seed: u64,
    /// Seconds.
    pub seconds: f64,
    /// Calls a second; none: the scenario's.
    pub rate: Option<u64>,
    /// Workers; none: the scenario's.
    pub workers: Option<usize>,
    /// Seconds of work that a worker does a second; none: the scenario's.
    pub cores: Option<f64>,
    /// No fault is injected.
    pub without_faults: bool,
}

/// The result of a scenario.
#[derive(Debug)]
pub struct FaultReport {
    /// What the clients observed.
    pub load: LoadResult,
    /// The counters of each gateway, as it printed them.
    pub counters: Vec<String>,
    /// What the auditor found.
    pub audit: Audit,
}

/// Runs a scenario.
///
/// # Errors
/// A process, the proxy or the clients fail; violations of rules are no error.
pub fn run(scenario: &FaultScenario, options: &FaultOptions) -> Result<FaultReport, ScenarioError> {
    let workers = options.workers.unwrap_or(scenario.workers);
    let cores = options.cores.unwrap_or(scenario.cores);
    let settings = tansy_settings::settings(scenario.settings_name, scenario.settings_text)?;
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
        // Until the clients end.
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

/// Performs each step once its part of the time has passed, until the clients end.
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
