//! Changes of a fleet's settings under load, with faults between the front ends.
//!
//! The proxy has a separate route for each pair and direction of front ends, so that each can be paused independently. An operator
//! proposes a version of the settings in each round, while front ends are killed and restarted or stopped and resumed, or links
//! between them are paused. The audit looks for front ends that act on contradicting versions.
//!
//! - `options`, `report`: the scenario's options and result.
//! - `cluster`: the processes; `script`: the steps and their times; `steps`: performs them.
//! - `versions`: the proposed settings; `operator`: proposes them.
//! - `drains`: which front ends must know of a drain.

mod cluster;
mod drains;
mod operator;
mod options;
mod report;
mod script;
mod steps;
mod versions;

pub use options::ScenarioOptions;
pub use report::ScenarioReport;

use crate::audit::oversubscribed_audit_rules;
use crate::error::ScenarioError;
use crate::load::{self, LoadFunction, LoadPlan};
use crate::process;
use cluster::Cluster;
use operator::{Operator, OperatorResult, ProposedChange};
use script::ScriptStep;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tansy_audit::audit_with_history;
use tansy_audit::contradictions::{find_contradictions, Observations};
use tansy_settings::Settings;
use versions::SettingsVersion;

/// Maximum time for which front ends may act on contradicting versions.
pub const CONTRADICTION_LIMIT: Duration = Duration::from_secs(2);
/// Length of a round, in which one change is proposed.
const ROUND_SECONDS: f64 = 4.0;
/// Time after the last round for the fleet to recover.
const RECOVERY_SECONDS: f64 = 3.0;
const WORKERS: usize = 6;
const WORKER_CORES: f64 = 16.0;
/// File name of the settings in error messages.
const SETTINGS_NAME: &str = "settings.cue";
/// Time between two checks of which front ends must know of a drain.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The observed function whose class changes between versions.
const CHANGING_CLASS_FUNCTION: &str = "flip";
/// The observed function whose answers the workers lose.
const LOST_ANSWERS_FUNCTION: &str = "lost";
/// Calls of the observed functions per second and front end.
const OBSERVED_RATE: u64 = 20;
/// Maximum share of a call's time that a front end reserves for itself and for returning the answer.
const MAX_RESERVE_SHARE: f64 = 0.2;
/// The first version of the settings.
const FIRST_VERSION: u64 = 1;

/// Runs the scenario.
///
/// # Errors
/// A process, the proxy, the load generator or the operator fails. Rule violations are part of the report.
pub fn run(options: &ScenarioOptions) -> Result<ScenarioReport, ScenarioError> {
    let versions = versions::generate(options);
    let mut cluster = Cluster::start(options, versions[0])?;
    let text = versions[0].text(options, &cluster.peers);
    let settings = tansy_settings::parse_settings(SETTINGS_NAME, &text)?;
    let clients = load::spawn(load_plan(&cluster, &settings));
    let observers = load::spawn(observer_plan(&cluster, &settings));
    let (changes, requests) = mpsc::channel();
    let operator = spawn_operator(&cluster, requests);
    run_script(&mut cluster, &versions, &changes)?;
    drop(changes);
    let ended = |_| ScenarioError::ThreadEnded("operator");
    let operator = operator.join().map_err(ended)??;
    let load = load::join(clients)?;
    load::join(observers)?;
    process::stop_together(&mut cluster.gateways)?;
    report(&cluster, &settings, versions[0], operator, &load)
}

/// The load of the functions that are not observed.
fn load_plan(cluster: &Cluster, settings: &Settings) -> LoadPlan {
    let options = &cluster.options;
    let functions = settings.dispatch.functions.iter();
    LoadPlan {
        front_ends: cluster.client_addresses.clone(),
        functions: functions
            .filter(|function| !is_observed(&function.name))
            .map(|function| LoadFunction::with_deadline(function, settings))
            .collect(),
        work_ms: 5..=20,
        rate: options.rate,
        seconds: options.rounds as f64 * ROUND_SECONDS + RECOVERY_SECONDS,
        seed: options.seed,
        id_prefix: "call",
        simple_calls: false,
        stop: None,
    }
}

/// The load of the observed functions, whose calls show which settings a front end acts on.
fn observer_plan(cluster: &Cluster, settings: &Settings) -> LoadPlan {
    let functions = settings.dispatch.functions.iter();
    let observed = functions.filter(|function| is_observed(&function.name));
    let plan = load_plan(cluster, settings);
    LoadPlan {
        // Without a client timeout, the deadline of the class is visible in the traffic.
        functions: observed
            .map(|function| LoadFunction {
                name: function.name.clone(),
                timeout_us: 0,
            })
            .collect(),
        work_ms: 1..=1,
        rate: OBSERVED_RATE * cluster.options.front_ends as u64,
        seed: plan.seed ^ 1,
        id_prefix: "witness",
        simple_calls: true,
        ..plan
    }
}

fn is_observed(function: &str) -> bool {
    function == CHANGING_CLASS_FUNCTION || function == LOST_ANSWERS_FUNCTION
}

type OperatorThread = JoinHandle<Result<OperatorResult, ScenarioError>>;

fn spawn_operator(cluster: &Cluster, requests: mpsc::Receiver<ProposedChange>) -> OperatorThread {
    let voters = cluster.peers[..cluster.options.voters].to_vec();
    let proxy = cluster.proxy.clone();
    std::thread::spawn(move || Operator::new(proxy, voters)?.run(&requests))
}

/// Performs each step when it is due, and sends the proposals to the operator.
fn run_script(
    cluster: &mut Cluster,
    versions: &[SettingsVersion],
    changes: &mpsc::Sender<ProposedChange>,
) -> Result<(), ScenarioError> {
    let options = cluster.options.clone();
    let mut next_versions = versions.iter().skip(1);
    let started = Instant::now();
    for timed in script::generate(&options) {
        wait_until(cluster, started + Duration::from_secs_f64(timed.at))?;
        if timed.step == ScriptStep::Propose && options.changes {
            if let Some(version) = next_versions.next() {
                let text = version.text(&options, &cluster.peers);
                let change = ProposedChange {
                    fields: tansy_settings::agreement::parse_version(SETTINGS_NAME, &text)?,
                    claim: version.claim(),
                };
                let ended = |_| ScenarioError::ThreadEnded("operator");
                changes.send(change).map_err(ended)?;
            }
        }
        if options.log_folder.is_some() {
            println!("{:.3} {}", started.elapsed().as_secs_f64(), timed.step);
        }
        cluster.perform(timed.step)?;
    }
    Ok(())
}

/// Waits until `due`, and marks drains meanwhile.
fn wait_until(cluster: &mut Cluster, due: Instant) -> Result<(), ScenarioError> {
    loop {
        cluster.mark_known_drains()?;
        let remaining = due.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Ok(());
        }
        std::thread::sleep(remaining.min(DRAIN_CHECK_INTERVAL));
    }
}

/// Audits the proxy's recording and builds the report.
fn report(
    cluster: &Cluster,
    settings: &Settings,
    first: SettingsVersion,
    operator: OperatorResult,
    load: &load::LoadResult,
) -> Result<ScenarioReport, ScenarioError> {
    let entries = cluster.proxy.take_entries()?;
    let (audit, calls) = audit_with_history(
        &entries,
        &oversubscribed_audit_rules(settings, WORKER_CORES),
    );
    let mut claims = operator.claims;
    claims.entry(FIRST_VERSION).or_insert(first.claim());
    let observations = Observations {
        class_function: CHANGING_CLASS_FUNCTION.into(),
        lost_answers_function: LOST_ANSWERS_FUNCTION.into(),
        settings_by_version: claims,
        timeout_margin: MAX_RESERVE_SHARE,
    };
    let contradictions = find_contradictions(&entries, &calls, &observations);
    // Failure only leaves temporary files behind.
    let _ = std::fs::remove_dir_all(&cluster.folder);
    Ok(ScenarioReport::new(
        &operator.proposals,
        load,
        &audit,
        &contradictions,
        cluster.killed,
    ))
}
