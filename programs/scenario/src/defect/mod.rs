//! A gateway with an injected defect, which a marker at the end of its executable selects.
//!
//! The gateway's code is unchanged. Its connections to workers pass a proxy in the same process that delays answers or refuses
//! connections, or the process crashes or leaks memory.
//!
//! - `marker`: the marker in the executable.
//! - `delay_proxy`: the proxy.

mod delay_proxy;
mod marker;

pub use marker::append_defect_marker;

use clap::ValueEnum;
use delay_proxy::ConnectionFaults;
use serde::Serialize;
use std::ffi::OsString;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Delay of answers with the slow defects.
const ANSWER_DELAY: Duration = Duration::from_millis(700);
/// Time from the process's start until [`InjectedDefect::LateSlowdown`] delays answers.
const SLOWDOWN_ONSET: Duration = Duration::from_secs(14);
/// Time from the process's start until [`InjectedDefect::Crash`] aborts it.
const CRASH_DELAY: Duration = Duration::from_secs(3);
/// Bytes of one leaked allocation.
const LEAK_CHUNK_BYTES: usize = 300_000;
/// Time between two leaked allocations.
const LEAK_INTERVAL: Duration = Duration::from_millis(100);
/// Workers are unreachable for this time at the start of each [`REFUSAL_PERIOD`].
const REFUSAL_DURATION: Duration = Duration::from_secs(1);
const REFUSAL_PERIOD: Duration = Duration::from_secs(3);

/// The defect of a rollout's new program, or of its environment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
pub enum InjectedDefect {
    /// No defect.
    #[serde(rename = "none")]
    None,
    /// Delays all answers of workers.
    #[serde(rename = "slow")]
    #[value(name = "slow")]
    SlowAnswers,
    /// Makes all workers unreachable for a second, every few seconds.
    #[serde(rename = "refuse")]
    #[value(name = "refuse")]
    UnreachableWorkers,
    /// Aborts the process a few seconds after its start.
    #[serde(rename = "crash")]
    Crash,
    /// Leaks memory steadily.
    #[serde(rename = "leak")]
    #[value(name = "leak")]
    MemoryLeak,
    /// No defect of the program; the workers of one zone are stopped for some seconds during the first analysis.
    #[serde(rename = "zone")]
    #[value(name = "zone")]
    ZonePause,
    /// Delays answers of workers from some seconds after the start on.
    #[serde(rename = "late")]
    #[value(name = "late")]
    LateSlowdown,
}

impl InjectedDefect {
    /// Name on the command line, in results and in an executable's marker.
    pub fn name(self) -> &'static str {
        match self {
            InjectedDefect::None => "none",
            InjectedDefect::SlowAnswers => "slow",
            InjectedDefect::UnreachableWorkers => "refuse",
            InjectedDefect::Crash => "crash",
            InjectedDefect::MemoryLeak => "leak",
            InjectedDefect::ZonePause => "zone",
            InjectedDefect::LateSlowdown => "late",
        }
    }

    /// Whether a rollout must complete in spite of the defect.
    pub fn is_harmless(self) -> bool {
        matches!(self, InjectedDefect::None | InjectedDefect::ZonePause)
    }
}

/// Runs the gateway with the defect that this executable's marker names, if any.
pub fn run_gateway(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    let started = Instant::now();
    let mut arguments: Vec<OsString> = arguments.collect();
    // No defect if the executable can't be read.
    let name = marker::read_own_defect().ok().flatten().unwrap_or_default();
    match InjectedDefect::from_str(&name, false).unwrap_or(InjectedDefect::None) {
        InjectedDefect::None | InjectedDefect::ZonePause => {}
        InjectedDefect::SlowAnswers => {
            delay_proxy::route_through_proxies(
                &mut arguments,
                ConnectionFaults::delay(|| Some(ANSWER_DELAY)),
            );
        }
        InjectedDefect::LateSlowdown => {
            let delay = move || (started.elapsed() >= SLOWDOWN_ONSET).then_some(ANSWER_DELAY);
            delay_proxy::route_through_proxies(&mut arguments, ConnectionFaults::delay(delay));
        }
        InjectedDefect::UnreachableWorkers => {
            let refuses = move || {
                let in_period = started.elapsed().as_millis() % REFUSAL_PERIOD.as_millis();
                in_period < REFUSAL_DURATION.as_millis()
            };
            delay_proxy::route_through_proxies(&mut arguments, ConnectionFaults::refusal(refuses));
        }
        InjectedDefect::Crash => drop(std::thread::spawn(crash)),
        InjectedDefect::MemoryLeak => drop(std::thread::spawn(leak)),
    }
    tansy_gateway::cli::main(arguments)
}

fn crash() {
    std::thread::sleep(CRASH_DELAY);
    std::process::abort();
}

fn leak() {
    let mut leaked = Vec::new();
    loop {
        leaked.push(vec![1_u8; LEAK_CHUNK_BYTES]);
        std::thread::sleep(LEAK_INTERVAL);
    }
}

#[cfg(test)]
mod tests;
