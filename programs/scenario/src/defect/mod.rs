//! A gateway with an injected defect: the program's own file says at its end which one.
//!
//! The defects are of a new program that treats its connections or its memory badly; the gateway's code is the same. What it gets
//! from its workers passes a proxy in this process that delays or ends it; or the process ends, or takes memory, by itself.
//!
//! - `marker`: which defect a program's file names.
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

/// By how much slow workers' answers are late.
const ANSWER_DELAY: Duration = Duration::from_millis(700);
/// From when on the late slowdown delays answers.
const SLOWDOWN_ONSET: Duration = Duration::from_secs(14);
/// How long a crashing process lives.
const CRASH_DELAY: Duration = Duration::from_secs(3);
/// Bytes leaked at a time.
const LEAK_CHUNK_BYTES: usize = 300_000;
/// Time between two leaks.
const LEAK_INTERVAL: Duration = Duration::from_millis(100);
/// Workers can't be reached for so long...
const REFUSAL_DURATION: Duration = Duration::from_secs(1);
/// ... out of each of these.
const REFUSAL_PERIOD: Duration = Duration::from_secs(3);

/// What is wrong with the new program of a rollout, or with its surroundings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
pub enum InjectedDefect {
    /// Nothing.
    #[serde(rename = "none")]
    None,
    /// Answers of its workers reach it late.
    #[serde(rename = "slow")]
    #[value(name = "slow")]
    SlowAnswers,
    /// It loses its workers every few seconds.
    #[serde(rename = "refuse")]
    #[value(name = "refuse")]
    UnreachableWorkers,
    /// It ends by itself soon after its start.
    #[serde(rename = "crash")]
    Crash,
    /// It takes more and more memory.
    #[serde(rename = "leak")]
    #[value(name = "leak")]
    MemoryLeak,
    /// Nothing; but the workers of a zone stand still for some seconds in the first analysis.
    #[serde(rename = "zone")]
    #[value(name = "zone")]
    ZonePause,
    /// Answers reach it late from some time after its start on.
    #[serde(rename = "late")]
    #[value(name = "late")]
    LateSlowdown,
}

impl InjectedDefect {
    /// Its name on the command line, in results and in a program's file.
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

    /// Whether a rollout of a program with it has to be completed, not stopped.
    pub fn is_harmless(self) -> bool {
        matches!(self, InjectedDefect::None | InjectedDefect::ZonePause)
    }
}

/// Runs the gateway, with the defect that this program's file names, if it names one.
pub fn run_gateway(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    let started = Instant::now();
    let mut arguments: Vec<OsString> = arguments.collect();
    // A file that can't be read names none.
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
