//! Versions of settings under load, through faults between front ends, judged from the sockets.
//!
//! A fleet of real gateways, each reached by its peers through routes of the proxy of its own, so that each direction between two can
//! be paused. An operator proposes a version every few seconds; each round something goes wrong around it: processes are killed and
//! start again, or are stopped and resumed, links are paused one way or both.
//!
//! - `options`, `report`: what is run, and its result.
//! - `cluster`: the processes; `steps`: what is done to them; `script`: when.
//! - `versions`: the settings that are proposed; `operator`: who proposes them.
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

use crate::audit::crowded_rules;
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

/// No two front ends may contradict each other for longer.
pub const CONTRADICTION_LIMIT: Duration = Duration::from_secs(2);
/// A change is proposed in each of these.
const ROUND_SECONDS: f64 = 4.0;
/// Time after the last round for all to agree again.
const RECOVERY_SECONDS: f64 = 3.0;
const WORKERS: usize = 6;
const WORKER_CORES: f64 = 16.0;
/// The name of the settings in errors.
const SETTINGS_NAME: &str = "settings.cue";
/// How often it is checked who must know of a drain.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The observed function whose class changes, and the one whose answers are lost.
const CLASS_FUNCTION: &str = "flip";
const LOST_ANSWERS_FUNCTION: &str = "lost";
/// Calls of the observed functions a second to each front end.
const OBSERVED_RATE: u64 = 20;
/// Of a call's time, a front end reserves this part at most for the answer's way, and for its own.
const RESERVE: f64 = 0.2;
/// The first version of the settings.
const FIRST_VERSION: u64 = 1;

/// Runs the scenario.
///
/// # Errors
/// A process, the proxy, the clients or the operator fail; violations of rules are no error.
pub fn run(options: &ScenarioOptions) -> Result<ScenarioReport, ScenarioError> {
    let versions = versions::draw(options);
    let mut cluster = Cluster::start(options, versions[0])?;
    let text = versions[0].text(options, &cluster.peers);
    let settings = tansy_settings::settings(SETTINGS_NAME, &text)?;
    let clients = load::spawn(load_plan(&cluster, &settings));
    let observers = load::spawn(observer_plan(&cluster, &settings));
    let (changes, requests) = mpsc::channel();
    let operator = spawn_operator(&cluster, requests);
    play_script(&mut cluster, &versions, &changes)?;
    drop(changes);
    let ended = |_| ScenarioError::ThreadEnded("operator's");
    let operator = operator.join().map_err(ended)??;
    let load = load::join(clients)?;
    load::join(observers)?;
    process::stop_together(&mut cluster.gateways)?;
    report(&cluster, &settings, versions[0], operator, &load)
}

/// The calls that are counted.
fn load_plan(cluster: &Cluster, settings: &Settings) -> LoadPlan {
    let options = &cluster.options;
    let functions = settings.dispatch.functions.iter();
    LoadPlan {
        fronts: cluster.client_addresses.clone(),
        functions: functions
            .filter(|function| !is_observed(&function.name))
            .map(|function| LoadFunction::with_deadline(function, settings))
            .collect(),
        work: 5..=20,
        rate: options.rate,
        seconds: options.rounds as f64 * ROUND_SECONDS + RECOVERY_SECONDS,
        seed: options.seed,
        id_prefix: "call",
        simple_calls: false,
        stop: None,
    }
}

/// The calls of the observed functions, which show by which settings a front end acts.
fn observer_plan(cluster: &Cluster, settings: &Settings) -> LoadPlan {
    let functions = settings.dispatch.functions.iter();
    let observed = functions.filter(|function| is_observed(&function.name));
    let plan = load_plan(cluster, settings);
    LoadPlan {
        // Without a timeout of the client's, that of the class shows.
        functions: observed
            .map(|function| LoadFunction {
                name: function.name.clone(),
                timeout: 0,
            })
            .collect(),
        work: 1..=1,
        rate: OBSERVED_RATE * cluster.options.front_ends as u64,
        seed: plan.seed ^ 1,
        id_prefix: "witness",
        simple_calls: true,
        ..plan
    }
}

fn is_observed(function: &str) -> bool {
    function == CLASS_FUNCTION || function == LOST_ANSWERS_FUNCTION
}

type OperatorThread = JoinHandle<Result<OperatorResult, ScenarioError>>;

fn spawn_operator(cluster: &Cluster, requests: mpsc::Receiver<ProposedChange>) -> OperatorThread {
    let voters = cluster.peers[..cluster.options.voters].to_vec();
    let proxy = cluster.proxy.clone();
    std::thread::spawn(move || Operator::new(proxy, voters)?.run(&requests))
}

/// Performs each step when its time has come.
fn play_script(
    cluster: &mut Cluster,
    versions: &[SettingsVersion],
    changes: &mpsc::Sender<ProposedChange>,
) -> Result<(), ScenarioError> {
    let options = cluster.options.clone();
    let mut next_versions = versions.iter().skip(1);
    let started = Instant::now();
    for timed in script::draw(&options) {
        wait_until(cluster, started + Duration::from_secs_f64(timed.at))?;
        if timed.step == ScriptStep::Propose && options.changes {
            if let Some(version) = next_versions.next() {
                let text = version.text(&options, &cluster.peers);
                let change = ProposedChange {
                    fields: tansy_settings::agree::version(SETTINGS_NAME, &text)?,
                    claim: version.claim(),
                };
                let ended = |_| ScenarioError::ThreadEnded("operator's");
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

/// Marks drains until a moment has come.
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

/// Audits what passed.
fn report(
    cluster: &Cluster,
    settings: &Settings,
    first: SettingsVersion,
    operator: OperatorResult,
    load: &load::LoadResult,
) -> Result<ScenarioReport, ScenarioError> {
    let entries = cluster.proxy.take_entries()?;
    let (audit, calls) = audit_with_history(&entries, &crowded_rules(settings, WORKER_CORES));
    let mut claims = operator.claims;
    claims.entry(FIRST_VERSION).or_insert(first.claim());
    let observations = Observations {
        class_function: CLASS_FUNCTION.into(),
        lost_answers_function: LOST_ANSWERS_FUNCTION.into(),
        settings_by_version: claims,
        timeout_margin: RESERVE,
    };
    let contradictions = find_contradictions(&entries, &calls, &observations);
    // Its files are of no use any more; where they can't be removed they stay.
    let _ = std::fs::remove_dir_all(&cluster.folder);
    Ok(ScenarioReport::new(
        &operator.proposals,
        load,
        &audit,
        &contradictions,
        cluster.killed,
    ))
}
