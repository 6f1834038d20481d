//! The arguments of a measurement, and what they must be.

use crate::fleet::FleetShape;
use crate::hollow::MAX_FRONT_ENDS;
use crate::system;
use std::time::Duration;

/// Processes of a run, at most.
const MAX_PROCESSES: usize = 300;
/// Changes requested at once, at most: the leader lets so many wait, and more.
const MAX_BURST: usize = 200;
/// Seconds in which events are counted, at most: a day.
const MAX_SECONDS: u64 = 86_400;
/// Functions of the settings, at most.
const MAX_FUNCTIONS: usize = 1_000_000;
/// Separately agreed functions, at most.
const MAX_SCOPES: usize = 100_000;
/// Session timeout in seconds, at most: a week.
const MAX_SESSION_SECONDS: u64 = 604_800;
/// Seconds to settle, at most: an hour.
const MAX_SETTLE_SECONDS: u64 = 3600;

/// Memory of a real front end without any other, in megabytes.
const REAL_BASE_MB: f64 = 20.0;
/// Memory of a real front end for each other front end, in kilobytes.
const REAL_PEER_KB: f64 = 80.0;
/// Memory of a real front end for each function, in kilobytes: it is read, and kept several times over.
const REAL_FUNCTION_KB: f64 = 5.0;
/// Memory of a hollow front end without any other, in megabytes.
const HOLLOW_BASE_MB: f64 = 0.5;
/// Memory of a hollow front end for each other front end, in kilobytes.
const HOLLOW_PEER_KB: f64 = 1.5;
/// Memory of a hollow front end for the connections with a real one, in kilobytes.
const HOLLOW_LINK_KB: f64 = 40.0;
/// Memory of a hollow front end for each function, in kilobytes: two versions may be in use.
const HOLLOW_FUNCTION_KB: f64 = 0.6;
/// Memory of a process of hollow front ends without them, in megabytes.
const HOLLOW_PROCESS_MB: f64 = 15.0;
/// Memory of a voter for each separately agreed function, in kilobytes: in the log and its file.
const VOTER_SCOPE_KB: f64 = 5.0;

/// Why arguments are not accepted.
#[derive(Debug, thiserror::Error)]
pub enum ArgumentError {
    /// One value is out of its range.
    #[error("{option} {value}: want {wanted}")]
    OutOfRange {
        /// The option.
        option: &'static str,
        /// Its value.
        value: u64,
        /// The values that are accepted.
        wanted: String,
    },
    /// The fleet needs more than this machine has.
    #[error(
        "--front-ends {front_ends} --real {real}: would take about {megabytes:.0} MB in {processes} processes: want at most \
         {available:.0} MB, half of this machine's, and {MAX_PROCESSES} processes"
    )]
    TooLarge {
        /// Front ends in all.
        front_ends: usize,
        /// Of them real.
        real: usize,
        /// Estimated memory.
        megabytes: f64,
        /// Processes that would run.
        processes: usize,
        /// Memory that a run may take.
        available: f64,
    },
}

/// What is to be measured.
#[derive(clap::Args, Clone, Debug)]
pub struct Arguments {
    /// Front ends in all, the voters among them.
    #[arg(long)]
    pub(super) front_ends: usize,
    /// Of them gateways as processes of their own; all others are hollow.
    #[arg(long)]
    pub(super) real: usize,
    /// Of all random choices.
    #[arg(long, default_value_t = 1)]
    pub(super) seed: u64,
    /// Seconds for which it is counted what the settled fleet costs.
    #[arg(long, default_value_t = 30)]
    pub(super) seconds: u64,
    /// Functions that the settings hold.
    #[arg(long, default_value_t = 10)]
    pub(super) functions: usize,
    /// Functions that are set one by one, each by itself; the settings hold one more then, which is never changed. 0: none,
    /// and changes are versions.
    #[arg(long, default_value_t = 0)]
    pub(super) scopes: usize,
    /// Changes of different functions that are asked for at once, after those that are timed one by one.
    #[arg(long, default_value_t = 0)]
    pub(super) burst: usize,
    /// Changes proposed in an hour, evenly spread over the counted time.
    #[arg(long, default_value_t = 0)]
    pub(super) changes_hour: u64,
    /// Front ends killed in an hour, evenly spread over the counted time, hollow ones if there are any; each is back after
    /// 2 to 4 s.
    #[arg(long, default_value_t = 0)]
    pub(super) away_hour: u64,
    /// Front ends killed for good before it is counted.
    #[arg(long, default_value_t = 0)]
    pub(super) dead: usize,
    /// Session timeout in seconds (`fleet.stay`): for so long a dead front end holds up changes of strict fields.
    #[arg(long = "stay", value_name = "STAY", default_value_t = 10)]
    pub(super) session_seconds: u64,
    /// Voters, which are real front ends: 1, 3, 5 or 7 [default: 3, or 1 with fewer than 3 real ones].
    #[arg(long = "seats", value_name = "SEATS")]
    pub(super) voters: Option<usize>,
    /// Seconds between all views being whole and the counted time.
    ///
    /// A lease is renewed every 0.15 s, a session at least every quarter of its timeout or 30 s; a join is gossiped again
    /// for some rounds of 0.2 s, and a suspicion that arose meanwhile is settled within 2 s.
    #[arg(long, default_value_t = 15)]
    pub(super) settle: u64,
    /// Print the JSON line alone.
    #[arg(long)]
    pub(super) json: bool,
}

impl Arguments {
    /// The fleet that these arguments ask for.
    pub(super) fn shape(&self) -> Result<FleetShape, ArgumentError> {
        let default_voters = if self.real >= 3 { 3 } else { 1 };
        let voters = self.voters.unwrap_or(default_voters);
        self.check_front_ends(voters)?;
        self.check_load()?;
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
            format!("1 to {front_ends}, the front ends there are")
        })?;
        let is_valid = [1, 3, 5, 7].contains(&voters) && voters <= real;
        require(is_valid, "--seats", voters, || {
            format!("1, 3, 5 or 7, at most the {real} real front ends")
        })
    }

    fn check_load(&self) -> Result<(), ArgumentError> {
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
            format!("at most {max_burst}, each of another function")
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
            format!("at most {max_dead}, half of those that are no voters")
        })
    }

    /// The command line that repeats this measurement.
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

    /// How long a front end that was killed can block a change.
    pub(super) fn session_timeout(&self) -> Duration {
        Duration::from_secs(self.session_seconds)
    }

    /// Prints how far the measurement is, unless only the JSON line is wanted.
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

/// Megabytes that a run takes at most, from what front ends took where it was measured.
fn estimated_megabytes(shape: &FleetShape, scopes: usize) -> f64 {
    let front_ends = shape.front_ends as f64;
    let real = shape.real as f64;
    let functions = shape.functions as f64;
    let scopes_mb = shape.voters as f64 * scopes as f64 * VOTER_SCOPE_KB / 1e3;
    let real_mb =
        REAL_BASE_MB + front_ends * REAL_PEER_KB / 1e3 + functions * REAL_FUNCTION_KB / 1e3;
    let hollow_kb =
        front_ends * HOLLOW_PEER_KB + real * HOLLOW_LINK_KB + functions * HOLLOW_FUNCTION_KB;
    let hollow_mb = HOLLOW_BASE_MB + hollow_kb / 1e3;
    let processes_mb = shape.hollow_processes() as f64 * HOLLOW_PROCESS_MB;
    real * real_mb + (front_ends - real) * hollow_mb + processes_mb + scopes_mb
}
