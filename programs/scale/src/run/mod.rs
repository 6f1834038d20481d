//! The measurement. Starts a fleet, lets it settle, samples its counters over a time window, then times changes, joins and the effect of
//! killed front ends.
//!
//! - `arguments`: command line arguments and their validation.
//! - `message_size`: sizes of the messages that carry the settings.
//! - `sample`, `window`: the cost of the settled fleet.
//! - `field_change`, `changes`, `burst`: how long changes take to be in force.
//! - `joins`, `kills`: front ends that are restarted, or killed and not restarted.
//! - `report`: the JSON line.
//!
//! [`crate::fleet`] controls the processes and sends requests to them.

mod arguments;
mod burst;
mod changes;
mod field_change;
mod joins;
mod kills;
mod message_size;
mod report;
mod sample;
mod window;

pub use arguments::{ArgumentError, Arguments};

use crate::fleet::{FleetShape, TestFleet};
use crate::hollow::protocol::HollowCounters;
use crate::Error;
use changes::PendingChange;
use field_change::FieldKind;
use kills::UnaffectedChanges;
use message_size::GrantBytes;
use report::{quantiles, round, Report};
use std::collections::VecDeque;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use tansy_fleet_wire::MAX_MESSAGE_BYTES;
use window::Restart;

/// Timeout for a change to be in force, in addition to the session timeout.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for a started front end to join.
const JOIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest session timeout, in seconds, for which changes that a killed front end blocks are timed.
const MAX_SESSION_WAIT_SECONDS: u64 = 60;
/// Time without growth of the smallest view after which the wait for complete views ends.
const VIEW_GROWTH_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks of views.
const VIEW_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Separates this random sequence from others with the same seed.
const RNG_SALT: u64 = 0x5ca1e;

/// Timeout for a fleet to start: the part that does not depend on its size.
const START_TIMEOUT_BASE: Duration = Duration::from_secs(60);
/// The part of the start timeout for each front end.
const START_TIMEOUT_PER_FRONT_END: Duration = Duration::from_millis(400);
/// The part of the start timeout for each function; every real front end parses the settings.
const START_TIMEOUT_PER_FUNCTION: Duration = Duration::from_millis(5);

/// A measurement in progress.
struct Measurement {
    arguments: Arguments,
    fleet: TestFleet,
    rng: fastrand::Rng,
    /// Changes requested so far.
    changes: usize,
    pending: Option<PendingChange>,
    /// Milliseconds until each change was in force.
    in_force_times: Vec<(FieldKind, f64)>,
    /// Changes that did not come in force.
    failed_changes: usize,
    unaffected: UnaffectedChanges,
    /// Whether a change of the settings exceeds the largest message.
    is_change_too_large: bool,
    /// Problems for the report.
    issues: Vec<String>,
    /// Functions that were changed most recently, the last at the back.
    recently_changed: VecDeque<usize>,
    restarts: VecDeque<Restart>,
}

/// Runs the measurement, and prints its JSON line.
pub fn main(arguments: &Arguments) -> ExitCode {
    let shape = match arguments.shape() {
        Ok(shape) => shape,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    let mut report = Report::default();
    let is_ok = measure(arguments, shape, &mut report).unwrap_or_else(|error| {
        report.add_issue(error.to_string());
        false
    });
    report.put("ok", is_ok);
    println!("{}", report.into_json());
    ExitCode::from(u8::from(!is_ok))
}

/// Runs the measurement; returns whether it succeeded.
fn measure(arguments: &Arguments, shape: FleetShape, report: &mut Report) -> Result<bool, Error> {
    report_arguments(arguments, &shape, report);
    let began = Instant::now();
    let text = shape.settings_text(&[("f0".into(), ([127, 0, 0, 1], 1).into())]);
    let fields = tansy_settings::agreement::parse_version("scale.cue", &text)?;
    let grant_bytes = GrantBytes::of(&fields);
    report.put("letter_bytes", grant_bytes.steady);
    report.put("change_letter_bytes", grant_bytes.changing);
    if grant_bytes.steady > MAX_MESSAGE_BYTES {
        return Err(Error::VersionTooLarge {
            functions: shape.functions,
            bytes: grant_bytes.steady,
        });
    }
    let fleet = TestFleet::start(shape, start_timeout(&shape), &|text| {
        arguments.print_progress(&text);
    })?;
    report.put("start_s", round(began.elapsed().as_secs_f64()));
    let mut measurement = Measurement::new(arguments, fleet);
    measurement.check_change_size(grant_bytes.changing);
    let result = measurement.run(report);
    report.put("changes_in_force", measurement.in_force_times.len());
    report.put("changes_not", measurement.failed_changes);
    report.put("wall_seconds", round(began.elapsed().as_secs_f64()));
    let is_ok =
        result.is_ok() && !measurement.is_change_too_large && measurement.failed_changes == 0;
    if let Err(error) = result {
        measurement.issues.push(error.to_string());
    }
    report.put("notes", &measurement.issues);
    Ok(is_ok)
}

fn report_arguments(arguments: &Arguments, shape: &FleetShape, report: &mut Report) {
    report.put("tool", "run");
    report.put("command", arguments.command_line(shape));
    report.put("front_ends", arguments.front_ends);
    report.put("real", arguments.real);
    report.put("hollow", shape.hollow());
    report.put("seats", shape.voters);
    report.put("seed", arguments.seed);
    report.put("seconds", arguments.seconds);
    report.put("functions", shape.functions);
    report.put("scopes", arguments.scopes);
    report.put("changes_hour", arguments.changes_hour);
    report.put("away_hour", arguments.away_hour);
    report.put("dead", arguments.dead);
    report.put("stay_s", arguments.session_seconds);
    report.put("settle_s", arguments.settle);
    report.put("hollow_processes", shape.hollow_processes());
    report.put("notes", Vec::<String>::new());
}

fn start_timeout(shape: &FleetShape) -> Duration {
    START_TIMEOUT_BASE
        + START_TIMEOUT_PER_FRONT_END * shape.front_ends as u32
        + START_TIMEOUT_PER_FUNCTION * shape.functions as u32
}

impl Measurement {
    fn new(arguments: &Arguments, fleet: TestFleet) -> Measurement {
        Measurement {
            arguments: arguments.clone(),
            fleet,
            rng: fastrand::Rng::with_seed(arguments.seed ^ RNG_SALT),
            changes: 0,
            pending: None,
            in_force_times: Vec::new(),
            failed_changes: 0,
            unaffected: UnaffectedChanges::default(),
            is_change_too_large: false,
            issues: Vec::new(),
            recently_changed: VecDeque::new(),
            restarts: VecDeque::new(),
        }
    }

    /// Marks the run as failed, but continues it, if a change of the settings exceeds the largest message.
    fn check_change_size(&mut self, bytes: usize) {
        if bytes <= MAX_MESSAGE_BYTES {
            return;
        }
        let functions = self.fleet.shape.functions;
        self.is_change_too_large = true;
        self.issues.push(format!(
            "a change of settings with {functions} functions needs a message of {bytes} bytes, above the limit of \
             {MAX_MESSAGE_BYTES}: it can't come in force"
        ));
    }

    fn run(&mut self, report: &mut Report) -> Result<(), Error> {
        self.fleet.joins.clear();
        self.wait_for_views(report)?;
        self.arguments
            .print_progress("membership views are checked");
        if self.arguments.scopes > 0 {
            self.set_functions(report)?;
        }
        let mut unblocked_ms = None;
        if self.arguments.dead > 0 {
            unblocked_ms = self.time_change_after_kill(self.arguments.dead)?;
        }
        let settle = Duration::from_secs(self.arguments.settle);
        self.fleet.run_for(settle)?;
        let before = self.sample()?;
        self.run_window()?;
        let after = self.sample()?;
        self.report_window(report, &before, &after);
        self.arguments.print_progress("counters are sampled");
        self.finish_window()?;
        self.time_changes()?;
        self.report_changes(report);
        self.arguments.print_progress("changes are timed");
        if self.arguments.burst > 0 {
            self.time_burst(report)?;
            self.arguments.print_progress("a burst is timed");
        }
        self.time_joins(report)?;
        self.arguments.print_progress("joins are timed");
        if unblocked_ms.is_none() && self.arguments.session_seconds <= MAX_SESSION_WAIT_SECONDS {
            unblocked_ms = self.time_change_after_kill(1)?;
        }
        self.report_kills(report, unblocked_ms);
        Ok(())
    }

    /// Waits until the membership views of all front ends are complete, or the smallest stops growing.
    ///
    /// Incomplete views do not affect agreement, so they are reported but do not fail the run.
    fn wait_for_views(&mut self, report: &mut Report) -> Result<(), Error> {
        let (mut grown_at, mut largest) = (Instant::now(), 0);
        let others = self.fleet.running_count() - 1;
        loop {
            let smallest = self.smallest_view()?;
            report.put("view_members", smallest);
            if smallest >= others {
                return Ok(());
            }
            if smallest > largest {
                (grown_at, largest) = (Instant::now(), smallest);
            } else if grown_at.elapsed() >= VIEW_GROWTH_TIMEOUT {
                self.issues.push(format!(
                    "the smallest membership view stopped growing at {smallest} of {others} other members"
                ));
                return Ok(());
            }
            self.fleet.run_for(VIEW_POLL_INTERVAL)?;
        }
    }

    /// Returns the number of other members in the smallest view of any front end.
    fn smallest_view(&mut self) -> Result<usize, Error> {
        let hollow = self.fleet.hollow_counters()?;
        let addresses = self.fleet.real_addresses();
        let statuses = self.fleet.client.statuses(&addresses);
        let real = statuses.into_iter().flatten();
        let real = real.map(|status| status.other_members.len());
        let hollow = hollow.iter().map(|process| process.smallest_view);
        Ok(hollow.chain(real).min().unwrap_or(0))
    }

    /// Sets functions as scopes of their own, and reports the number of subscriptions of front ends.
    fn set_functions(&mut self, report: &mut Report) -> Result<(), Error> {
        let began = Instant::now();
        let (functions, seed) = (self.arguments.scopes, self.arguments.seed);
        self.fleet.set_functions(functions, seed)?;
        self.arguments.print_progress(
            "functions are set as separate scopes, and hollow front ends subscribe to them",
        );
        report.put("set_s", round(began.elapsed().as_secs_f64()));
        let counters = self.fleet.hollow_counters()?;
        let sum = |counter: fn(&HollowCounters) -> usize| {
            counters.iter().map(counter).sum::<usize>() as f64
        };
        let alive = sum(|process| process.alive);
        let subscriptions = sum(|process| process.subscriptions);
        // Real front ends receive no calls during a measurement, so their subscriptions are not awaited.
        let addresses = self.fleet.real_addresses();
        let statuses = self.fleet.client.statuses(&addresses);
        let real = statuses.into_iter().flatten();
        let real_subscriptions: u64 = real.map(|status| status.subscriptions).sum();
        report.put("real_holds", real_subscriptions);
        let mean = (alive > 0.0).then(|| round(subscriptions / alive));
        report.put("holds", mean);
        Ok(())
    }

    fn report_kills(&self, report: &mut Report, unblocked_ms: Option<f64>) {
        report.put("freed_ms", unblocked_ms.map(round));
        if self.arguments.scopes == 0 {
            return;
        }
        let unaffected = &self.unaffected;
        report.put("freed_given_up", unaffected.abandoned);
        report.put("others", unaffected.times.len());
        report.put("others_before", unaffected.in_force_before);
        report.put("others_ms", quantiles(unaffected.times.iter().copied()));
    }
}
