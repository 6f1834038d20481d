//! The command line of `tansy-scenario`, also under its former name `tansy-day`.

mod agreement;
mod arguments;
mod faults;
mod rollout;

use crate::error::ScenarioError;
use crate::faults::{ALL_FAULTS, COLD_ZONE};
use arguments::{ArgumentError, Arguments, Scenario};
use clap::Parser;
use std::process::ExitCode;

/// Exit code if the scenario could not be run.
const EXIT_ERROR: u8 = 1;
/// Exit code if a rule was broken.
const EXIT_VIOLATIONS: u8 = 3;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error(transparent)]
    Argument(#[from] ArgumentError),
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
}

/// Runs the program that the process's first argument names, or else a scenario.
///
/// A scenario starts this executable again for its gateways, workers and supervisors, so it needs no other executable.
pub fn main() -> ExitCode {
    let role = std::env::args_os().nth(1);
    let arguments = std::env::args_os().skip(1);
    match role.as_deref().and_then(|role| role.to_str()) {
        Some("gateway") => crate::defect::run_gateway(arguments),
        Some("fleet") => tansy_fleet::main(arguments),
        Some("worker") => tansy_worker::main(arguments),
        _ => run(&Arguments::parse()),
    }
}

fn run(arguments: &Arguments) -> ExitCode {
    run_scenario(arguments).unwrap_or_else(|error| {
        eprintln!("{error}");
        ExitCode::from(EXIT_ERROR)
    })
}

fn run_scenario(arguments: &Arguments) -> Result<ExitCode, CommandError> {
    arguments.check()?;
    match arguments.scenario {
        Scenario::AllFaults => faults::run(&ALL_FAULTS, arguments),
        Scenario::ColdZone => faults::run(&COLD_ZONE, arguments),
        Scenario::Agreement => agreement::run(arguments),
        Scenario::Rollout => rollout::run(arguments),
    }
}

fn exit_code(ok: bool) -> ExitCode {
    ExitCode::from(if ok { 0 } else { EXIT_VIOLATIONS })
}

/// Prints up to `max_printed` violations of a run and of its baseline run; returns the number of all.
fn print_violations<'a>(
    run: &'a [String],
    baseline: Option<&'a [String]>,
    max_printed: usize,
) -> usize {
    let all = run.iter().chain(baseline.unwrap_or_default());
    let count = all.clone().count();
    all.take(max_printed)
        .for_each(|violation| println!("violation: {violation}"));
    count
}

/// Prints a value as one line of JSON.
fn print_json(value: &impl serde::Serialize) {
    println!("{}", serde_json::to_string(value).unwrap_or_default());
}
