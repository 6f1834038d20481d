//! A staged rollout of a new program to front ends in three zones, under load and faults.
//!
//! Each of three supervisors runs the front ends of a zone. The new program is this executable, with or without an injected defect.
//! Every run kills the supervisor that runs the rollout controller. The audit checks the recorded calls and attempts; the observer
//! checks which front ends accept connections and which processes run.
//!
//! - `options`, `report`: the scenario's options and result.
//! - `cluster`: the processes; `files`: their configuration files and executables.
//! - `proposal`: starts the rollout.
//! - `faults`: injects faults; `observer`: observes processes and connections.

mod cluster;
mod faults;
mod files;
mod observer;
mod options;
mod proposal;
mod report;

pub use options::ScenarioOptions;
pub use report::{RolloutVerdict, ScenarioReport};

use crate::audit::{oversubscribed_audit_rules, violation_text};
use crate::error::ScenarioError;
use crate::load::{self, LoadFunction, LoadPlan};
use crate::process;
use cluster::Cluster;
use faults::Faults;
use observer::Observer;
use report::Measurements;
use rustix::process::Signal;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tansy_audit::audit_with_history;
use tansy_fleet::processes::program_label;
use tansy_rollout::Rollout;
use tansy_settings::Settings;

const ZONES: [&str; 3] = ["a", "b", "c"];
/// The first front end of each zone is a voter.
const VOTERS: usize = ZONES.len();
const WORKERS_PER_ZONE: usize = 2;
const WORKER_CORES: f64 = 16.0;
/// File name of the settings in error messages.
const SETTINGS_NAME: &str = "settings.cue";
/// Time between two observations.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(50);
/// Time after the end of the rollout by which all front ends must run the resulting program.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(15);

/// The zone of a front end or a worker.
fn zone_of(index: usize) -> usize {
    index % ZONES.len()
}

/// Runs the scenario.
///
/// # Errors
/// A process, the proxy or the load generator fails. Rule violations are part of the report.
pub fn run(options: &ScenarioOptions) -> Result<ScenarioReport, ScenarioError> {
    let mut cluster = Cluster::start(options)?;
    let settings = read_settings(&cluster)?;
    let stop = Arc::new(AtomicBool::new(false));
    let clients = load::spawn(load_plan(&cluster, &settings, options, stop.clone()));
    let new_program = cluster.folder.new_program();
    let new_program = program_label(&new_program).map_err(ScenarioError::file(&new_program))?;
    let mut observer = Observer::new(options, new_program.clone());
    let mut faults = Faults::new(options);
    let started = Instant::now();
    let rollout = watch_rollout(&mut cluster, options, &mut faults, &mut observer, started)?;
    resume_workers(&cluster)?;
    let seconds = started.elapsed().as_secs_f64();
    // Waits for the last calls before the front ends are stopped.
    stop.store(true, Ordering::Relaxed);
    let load = load::join(clients)?;
    observer.observe(&cluster)?;
    let verdict = RolloutVerdict::of(rollout.as_ref());
    let diverging = convergence_violation(&cluster, verdict, &new_program);
    process::stop_together(&mut cluster.supervisors)?;
    let mut violations = audit_recording(&cluster, &settings)?;
    violations.append(&mut observer.violations);
    violations.extend(diverging);
    let measured = Measurements {
        load: &load,
        seconds,
        killed: faults.killed,
        exposed_share: observer.exposed_share(),
        min_capacity: observer.min_capacity,
        violations,
    };
    Ok(ScenarioReport::new(rollout, measured))
}

fn read_settings(cluster: &Cluster) -> Result<Settings, ScenarioError> {
    let path = cluster.folder.settings(0);
    let text = std::fs::read_to_string(&path).map_err(ScenarioError::file(&path))?;
    Ok(tansy_settings::parse_settings(SETTINGS_NAME, &text)?)
}

fn load_plan(
    cluster: &Cluster,
    settings: &Settings,
    options: &ScenarioOptions,
    stop: Arc<AtomicBool>,
) -> LoadPlan {
    LoadPlan {
        front_ends: cluster.client_addresses.clone(),
        functions: LoadFunction::all(settings),
        work_ms: 5..=20,
        rate: options.rate,
        seconds: options.baseline_seconds.unwrap_or(options.max_seconds),
        seed: options.seed,
        id_prefix: "call",
        simple_calls: false,
        stop: Some(stop),
    }
}

/// Starts the rollout and injects faults until the rollout is idle or the time is up; returns its last known state.
fn watch_rollout(
    cluster: &mut Cluster,
    options: &ScenarioOptions,
    faults: &mut Faults,
    observer: &mut Observer,
    started: Instant,
) -> Result<Option<Rollout>, ScenarioError> {
    if !options.is_baseline() {
        cluster.begin_rollout(options)?;
    }
    let seconds = options.baseline_seconds.unwrap_or(options.max_seconds);
    let limit = Duration::from_secs_f64(seconds);
    let mut rollout = None;
    while started.elapsed() < limit {
        observer.observe(cluster)?;
        if !options.is_baseline() {
            rollout = cluster.rollout().or(rollout);
        }
        if let Some(rollout) = &rollout {
            if is_idle(rollout) {
                break;
            }
            faults.on_rollout(cluster, rollout);
        }
        faults.run_due(cluster)?;
        std::thread::sleep(OBSERVATION_INTERVAL);
    }
    Ok(rollout)
}

/// Whether the rollout has ended, or is paused with no release in progress.
fn is_idle(rollout: &Rollout) -> bool {
    rollout.has_ended() || rollout.paused && rollout.released.is_empty()
}

fn resume_workers(cluster: &Cluster) -> Result<(), ScenarioError> {
    for worker in &cluster.workers {
        worker.signal(Signal::CONT)?;
    }
    Ok(())
}

/// Waits until all front ends run the program that the verdict implies; returns a violation if they don't in time.
fn convergence_violation(
    cluster: &Cluster,
    verdict: RolloutVerdict,
    new_program: &str,
) -> Option<String> {
    let expects_new = match verdict {
        RolloutVerdict::Done => true,
        RolloutVerdict::Stopped => false,
        RolloutVerdict::Undecided => return None,
    };
    let diverging = || {
        let processes = cluster.processes();
        let wrong = processes
            .iter()
            .filter(|process| (process.program == new_program) != expects_new);
        wrong.count()
    };
    // The last front ends may still be restarting.
    let deadline = Instant::now() + CONVERGENCE_TIMEOUT;
    while diverging() > 0 && Instant::now() < deadline {
        std::thread::sleep(OBSERVATION_INTERVAL);
    }
    match diverging() {
        0 => None,
        count => Some(format!(
            "{count} front ends run the wrong program after a rollout with the verdict {verdict}"
        )),
    }
}

/// Audits the proxy's recording; returns the texts of the violations.
fn audit_recording(cluster: &Cluster, settings: &Settings) -> Result<Vec<String>, ScenarioError> {
    let entries = cluster.proxy.take_entries()?;
    let (audit, _) = audit_with_history(
        &entries,
        &oversubscribed_audit_rules(settings, WORKER_CORES),
    );
    Ok(audit.violations.iter().map(violation_text).collect())
}
