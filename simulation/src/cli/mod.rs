//! The command line of `tansy-sim` and of its alias `tansy-lab`.

mod agree;
mod roll;
mod size;

use crate::fault::Time;
use crate::plot::PlotError;
use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Simulates fleets of front ends in virtual time.
#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Simulates agreement on settings under kills, pauses, network faults and clock drift. Exits with 1 if a run has a
    /// violation.
    Agree(agree::AgreeArguments),
    /// Simulates staged rollouts: how often changes with and without a regression are stopped.
    Roll(roll::RollArguments),
    /// Simulates a large fleet: the cost of control traffic and the time that changes take. Prints one line for each size and
    /// seed; exits with 1 if a run was not ok.
    Size(size::SizeArguments),
}

/// Parses the command line of the process and runs the simulation it asks for.
pub fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Agree(arguments) => agree::run(arguments),
        Command::Roll(arguments) => roll::run(arguments),
        Command::Size(arguments) => size::run(arguments),
    }
}

/// Arguments shared by all commands: the first seed and the number of threads.
#[derive(clap::Args)]
struct SeedArguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Threads, each simulating one seed at a time; 0 means one per core. The result does not depend on their number.
    #[arg(long, default_value_t = 0)]
    threads: usize,
}

impl SeedArguments {
    /// The number of threads to use, with 0 resolved to the number of cores.
    fn threads(&self) -> usize {
        if self.threads > 0 {
            return self.threads;
        }
        std::thread::available_parallelism().map_or(1, |cores| cores.get())
    }
}

/// Upper bound on the lease duration given on the command line, in milliseconds.
const LONGEST_LEASE_MS: i64 = 3_600_000;

/// Converts a lease duration given in milliseconds, clamped to the permitted range.
fn lease_span(milliseconds: i64) -> Time {
    milliseconds.clamp(1, LONGEST_LEASE_MS) * 1000
}

/// Draws a plot if a path is given; on failure prints the error and returns exit code 2.
fn plot_or_fail(
    path: Option<PathBuf>,
    draw: impl FnOnce(&PathBuf) -> Result<(), PlotError>,
) -> Result<(), ExitCode> {
    match path.map(|path| draw(&path)) {
        Some(Err(error)) => {
            eprintln!("{error}");
            Err(ExitCode::from(2))
        }
        Some(Ok(())) | None => Ok(()),
    }
}

/// Prints a value as one line of JSON.
fn print_json(value: &impl serde::Serialize) {
    println!("{}", serde_json::to_string(value).unwrap_or_default());
}
