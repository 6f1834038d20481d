//! The measurement: a fleet is started, left to settle, and counted over a time; then changes, joins and a death are timed.
//!
//! - `arguments`: the arguments, and what they must be.
//! - `message_size`: whether the settings fit in a message.
//! - `sample`, `window`: what the settled fleet costs.
//! - `field_change`, `changes`, `burst`: how soon changes are in force.
//! - `joins`, `kills`: front ends that start anew or are killed for good.
//! - `report`: the JSON line.
//!
//! It starts no process itself and knows no message of the fleet: that is [`crate::fleet`]'s part.

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

/// Time for a change to be in force, beyond the session timeout.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for a front end that starts to act.
const JOIN_TIMEOUT: Duration = Duration::from_secs(30);
/// The longest session timeout that is waited for after a front end was killed for good, in seconds.
const MAX_SESSION_WAIT_SECONDS: u64 = 60;
/// Incomplete views are waited for while the smallest has grown within this time.
const VIEW_GROWTH_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks of views.
const VIEW_POLL: Duration = Duration::from_secs(1);
/// Keeps these random choices apart from others by the same seed.
const RNG_SALT: u64 = 0x5ca1e;

/// Time for a fleet to start: a part of it for any fleet.
const START_TIMEOUT_BASE: Duration = Duration::from_secs(60);
/// And for each front end.
const START_TIMEOUT_PER_FRONT_END: Duration = Duration::from_millis(400);
/// And for each function: every real front end reads and checks the settings.
const START_TIMEOUT_PER_FUNCTION: Duration = Duration::from_millis(5);

/// A measurement in progress.
struct Measurement {
    arguments: Arguments,
    fleet: TestFleet,
    rng: fastrand::Rng,
    /// Changes requested so far.
    changes: usize,
    pending: Option<PendingChange>,
    /// Milliseconds until changes were in force.
    in_force_times: Vec<(FieldKind, f64)>,
    /// Changes that did not come in force.
    failed_changes: usize,
    unaffected: UnaffectedChanges,
    /// Whether the settings are too large to be changed.
    is_change_too_large: bool,
    /// What did not go well.
    issues: Vec<String>,
    /// Functions that were changed last.
    recently_changed: VecDeque<usize>,
    restarts: VecDeque<Restart>,
}

/// Measures, and prints the JSON line.
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

/// Whether all went well.
fn measure(arguments: &Arguments, shape: FleetShape, report: &mut Report) -> Result<bool, Error> {
    report_arguments(arguments, &shape, report);
    let began = Instant::now();
    let text = shape.settings_text(&[("f0".into(), ([127, 0, 0, 1], 1).into())]);
    let fields = tansy_settings::agree::version("scale.cue", &text)?;
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

    /// The run fails, but is measured, if a change of its settings fits in no message.
    fn check_change_size(&mut self, bytes: usize) {
        if bytes <= MAX_MESSAGE_BYTES {
            return;
        }
        let functions = self.fleet.shape.functions;
        self.is_change_too_large = true;
        self.issues.push(format!(
            "a change of {functions} functions is a message of {bytes} bytes, which may have {MAX_MESSAGE_BYTES}: it can't come \
             in force"
        ));
    }

    fn run(&mut self, report: &mut Report) -> Result<(), Error> {
        self.fleet.joins.clear();
        self.wait_for_views(report)?;
        self.arguments.print_progress("all views are whole");
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
        self.arguments.print_progress("counted");
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

    /// Waits until the views of all front ends are complete, or the smallest does not grow any more.
    ///
    /// An incomplete view costs time, not agreement: it is reported, and no failure of the run.
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
                    "the smallest view has {smallest} of {others} others, and grows no more"
                ));
                return Ok(());
            }
            self.fleet.run_for(VIEW_POLL)?;
        }
    }

    /// Members in the smallest view of any front end, but for the viewer.
    fn smallest_view(&mut self) -> Result<usize, Error> {
        let hollow = self.fleet.hollow_counters()?;
        let addresses = self.fleet.real_addresses();
        let statuses = self.fleet.client.statuses(&addresses);
        let real = statuses.into_iter().flatten();
        let real = real.map(|status| status.other_members.len());
        let hollow = hollow.iter().map(|process| process.smallest_view);
        Ok(hollow.chain(real).min().unwrap_or(0))
    }

    /// Sets functions one by one, and reports to how many of them front ends subscribe.
    fn set_functions(&mut self, report: &mut Report) -> Result<(), Error> {
        let began = Instant::now();
        let (functions, seed) = (self.arguments.scopes, self.arguments.seed);
        self.fleet.set_functions(functions, seed)?;
        self.arguments
            .print_progress("functions are set one by one, and subscribed to");
        report.put("set_s", round(began.elapsed().as_secs_f64()));
        let counters = self.fleet.hollow_counters()?;
        let sum = |counter: fn(&HollowCounters) -> usize| {
            counters.iter().map(counter).sum::<usize>() as f64
        };
        let alive = sum(|process| process.alive);
        let subscriptions = sum(|process| process.subscriptions);
        // Real ones take no calls here: they are not waited for.
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
