//! The command line arguments of a measurement, and their validation.

use crate::fleet::FleetShape;
use crate::hollow::MAX_FRONT_ENDS;
use crate::system;
use std::time::Duration;

/// Maximum number of processes of a run.
const MAX_PROCESSES: usize = 300;
/// Maximum number of changes in a burst; the leader queues at least as many.
const MAX_BURST: usize = 200;
/// Maximum length of the measured window in seconds: a day.
const MAX_SECONDS: u64 = 86_400;
/// Maximum number of functions in the settings.
const MAX_FUNCTIONS: usize = 1_000_000;
/// Maximum number of functions that are scopes of their own.
const MAX_SCOPES: usize = 100_000;
/// Maximum session timeout in seconds: a week.
const MAX_SESSION_SECONDS: u64 = 604_800;
/// Maximum settling time in seconds: an hour.
const MAX_SETTLE_SECONDS: u64 = 3600;

/// Memory of a real front end alone, in megabytes.
const REAL_BASE_MB: f64 = 20.0;
/// Memory of a real front end for each other front end, in kilobytes.
const REAL_PEER_KB: f64 = 80.0;
/// Memory of a real front end for each function, of which it holds several copies, in kilobytes.
const REAL_FUNCTION_KB: f64 = 5.0;
/// Memory of a hollow front end alone, in megabytes.
const HOLLOW_BASE_MB: f64 = 0.5;
/// Memory of a hollow front end for each other front end, in kilobytes.
const HOLLOW_PEER_KB: f64 = 1.5;
/// Memory of a hollow front end for its connections to each real one, in kilobytes.
const HOLLOW_CONNECTION_KB: f64 = 40.0;
/// Memory of a hollow front end for each function, of which it may hold two versions, in kilobytes.
const HOLLOW_FUNCTION_KB: f64 = 0.6;
/// Memory of a process of hollow front ends apart from the front ends, in megabytes.
const HOLLOW_PROCESS_MB: f64 = 15.0;
/// Memory of a voter for each function that is a scope of its own, in kilobytes.
const VOTER_SCOPE_KB: f64 = 5.0;

/// Why arguments are rejected.
#[derive(Debug, thiserror::Error)]
pub enum ArgumentError {
    /// A value is out of its range.
    #[error("{option} {value}: want {wanted}")]
    OutOfRange {
        /// The option.
        option: &'static str,
        /// Its value.
        value: u64,
        /// The values that are accepted.
        wanted: String,
    },
    /// The fleet needs more memory or processes than a run may use.
    #[error(
        "--front-ends {front_ends} --real {real}: would take about {megabytes:.0} MB in {processes} processes: want at most \
         {available:.0} MB, half of this machine's, and {MAX_PROCESSES} processes"
    )]
    TooLarge {
        /// Number of front ends.
        front_ends: usize,
        /// Number of real front ends.
        real: usize,
        /// Estimated memory in megabytes.
        megabytes: f64,
        /// Processes that would run.
        processes: usize,
        /// Memory in megabytes that a run may use.
        available: f64,
    },
}

/// Options of a measurement.
#[derive(clap::Args, Clone, Debug)]
pub struct Arguments {
    /// Number of front ends, including the voters.
    #[arg(long)]
    pub(super) front_ends: usize,
    /// Number of real front ends, which are gateways in processes of their own; the others are hollow.
    #[arg(long)]
    pub(super) real: usize,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    pub(super) seed: u64,
    /// Length in seconds of the window in which the cost of the settled fleet is measured.
    #[arg(long, default_value_t = 30)]
    pub(super) seconds: u64,
    /// Number of functions in the settings.
    #[arg(long, default_value_t = 10)]
    pub(super) functions: usize,
    /// Number of functions that are separate scopes, which changes update; the settings then hold one other function, which is never
    /// changed. With 0, changes are versions of the settings.
    #[arg(long, default_value_t = 0)]
    pub(super) scopes: usize,
    /// Number of changes of different functions requested at the same time, after the changes that are timed one by one.
    #[arg(long, default_value_t = 0)]
    pub(super) burst: usize,
    /// Changes per hour, evenly spaced in the measured window.
    #[arg(long, default_value_t = 0)]
    pub(super) changes_hour: u64,
    /// Front ends killed per hour, evenly spaced in the measured window, hollow ones if possible; each is restarted after 2 to 4 s.
    #[arg(long, default_value_t = 0)]
    pub(super) away_hour: u64,
    /// Number of front ends killed before the measured window and not restarted.
    #[arg(long, default_value_t = 0)]
    pub(super) dead: usize,
    /// Session timeout in seconds (`fleet.stay`), for which a dead front end blocks changes of strict fields.
    #[arg(long = "stay", value_name = "STAY", default_value_t = 10)]
    pub(super) session_seconds: u64,
    /// Number of voters, which are real front ends: 1, 3, 5 or 7 [default: 3, or 1 with fewer than 3 real ones].
    #[arg(long = "seats", value_name = "SEATS")]
    pub(super) voters: Option<usize>,
    /// Seconds from complete membership views to the measured window.
    ///
    /// Gossip about joins and suspicions ends within a few seconds; leases are renewed every 0.15 s, and sessions after a quarter of their
    /// timeout or 30 s, whichever is less.
    #[arg(long, default_value_t = 15)]
    pub(super) settle: u64,
    /// Print only the JSON line, without progress.
    #[arg(long)]
    pub(super) json: bool,
}

impl Arguments {
    /// Validates the arguments, and returns the size of the fleet.
    pub(super) fn shape(&self) -> Result<FleetShape, ArgumentError> {
        let default_voters = if self.real >= 3 { 3 } else { 1 };
        let voters = self.voters.unwrap_or(default_voters);
        self.check_front_ends(voters)?;
        self.check_workload()?;
        self.check_times(voters)?;
        let shape = FleetShape {
            front_ends: self.front_ends,
            real: self.real,
            voters,
            seed: self.seed,
            session_seconds: self.session_seconds,
            functions: if self.scopes > 0 { 1 } else { self.functions },
        };
        let megabytes = estimated_megabytes(&shape, self.scopes);
        let processes = self.real + shape.hollow_processes();
        let available = system::memory_bytes().map_or(f64::MAX, |bytes| bytes as f64 / 2e6);
        if megabytes > available || processes > MAX_PROCESSES {
            return Err(ArgumentError::TooLarge {
                front_ends: self.front_ends,
                real: self.real,
                megabytes,
                processes,
                available,
            });
        }
        Ok(shape)
    }

    fn check_front_ends(&self, voters: usize) -> Result<(), ArgumentError> {
        let (front_ends, real) = (self.front_ends, self.real);
        require(front_ends >= 2, "--front-ends", front_ends, || {
            "at least 2".into()
        })?;
        require(
            front_ends <= MAX_FRONT_ENDS,
            "--front-ends",
            front_ends,
            || format!("at most {MAX_FRONT_ENDS}, one loopback address each"),
        )?;
        require((1..=front_ends).contains(&real), "--real", real, || {
            format!("1 to {front_ends}, the number of front ends")
        })?;
        let is_valid = [1, 3, 5, 7].contains(&voters) && voters <= real;
        require(is_valid, "--seats", voters, || {
            format!("1, 3, 5 or 7, at most the {real} real front ends")
        })
    }

    fn check_workload(&self) -> Result<(), ArgumentError> {
        let is_valid = (1..=MAX_SECONDS).contains(&self.seconds);
        require(is_valid, "--seconds", self.seconds as usize, || {
            format!("1 to {MAX_SECONDS}")
        })?;
        let is_valid = (1..=MAX_FUNCTIONS).contains(&self.functions);
        require(is_valid, "--functions", self.functions, || {
            format!("1 to {MAX_FUNCTIONS}")
        })?;
        let is_valid = self.scopes == 0 || (2..=MAX_SCOPES).contains(&self.scopes);
        require(is_valid, "--scopes", self.scopes, || {
            format!("2 to {MAX_SCOPES}, or 0 for none")
        })?;
        let max_burst = MAX_BURST.min(self.scopes.max(self.functions));
        require(self.burst <= max_burst, "--burst", self.burst, || {
            format!("at most {max_burst}, each for a different function")
        })
    }

    fn check_times(&self, voters: usize) -> Result<(), ArgumentError> {
        let session = self.session_seconds;
        let is_valid = (1..=MAX_SESSION_SECONDS).contains(&session);
        require(is_valid, "--stay", session as usize, || {
            format!("1 to {MAX_SESSION_SECONDS} s")
        })?;
        let is_valid = self.settle <= MAX_SETTLE_SECONDS;
        require(is_valid, "--settle", self.settle as usize, || {
            format!("at most {MAX_SETTLE_SECONDS} s")
        })?;
        let max_dead = (self.front_ends - voters) / 2;
        require(self.dead <= max_dead, "--dead", self.dead, || {
            format!("at most {max_dead}, half of the front ends that are not voters")
        })
    }

    /// Returns the command line that repeats this measurement.
    pub(super) fn command_line(&self, shape: &FleetShape) -> String {
        let mut command = format!(
            "tansy-scale run --front-ends {} --real {} --seed {} --seconds {} --functions {} --stay {} --seats {} --settle {}",
            self.front_ends,
            self.real,
            self.seed,
            self.seconds,
            shape.functions,
            self.session_seconds,
            shape.voters,
            self.settle
        );
        let optional = [
            ("scopes", self.scopes as u64),
            ("changes-hour", self.changes_hour),
            ("away-hour", self.away_hour),
            ("dead", self.dead as u64),
            ("burst", self.burst as u64),
        ];
        for (name, value) in optional.into_iter().filter(|option| option.1 > 0) {
            command += &format!(" --{name} {value}");
        }
        command
    }

    /// Returns how long a killed front end can block a change.
    pub(super) fn session_timeout(&self) -> Duration {
        Duration::from_secs(self.session_seconds)
    }

    /// Prints progress, unless only the JSON line is requested.
    pub(super) fn print_progress(&self, text: &str) {
        if !self.json {
            eprintln!("{text}");
        }
    }
}

fn require(
    is_valid: bool,
    option: &'static str,
    value: usize,
    wanted: impl FnOnce() -> String,
) -> Result<(), ArgumentError> {
    if is_valid {
        return Ok(());
    }
    Err(ArgumentError::OutOfRange {
        option,
        value: value as u64,
        wanted: wanted(),
    })
}

/// Estimates the maximum memory of a run in megabytes.
fn estimated_megabytes(shape: &FleetShape, scopes: usize) -> f64 {
    let front_ends = shape.front_ends as f64;
    let real = shape.real as f64;
    let functions = shape.functions as f64;
    let scopes_mb = shape.voters as f64 * scopes as f64 * VOTER_SCOPE_KB / 1e3;
    let real_mb =
        REAL_BASE_MB + front_ends * REAL_PEER_KB / 1e3 + functions * REAL_FUNCTION_KB / 1e3;
    let hollow_kb =
        front_ends * HOLLOW_PEER_KB + real * HOLLOW_CONNECTION_KB + functions * HOLLOW_FUNCTION_KB;
    let hollow_mb = HOLLOW_BASE_MB + hollow_kb / 1e3;
    let processes_mb = shape.hollow_processes() as f64 * HOLLOW_PROCESS_MB;
    real * real_mb + (front_ends - real) * hollow_mb + processes_mb + scopes_mb
}
