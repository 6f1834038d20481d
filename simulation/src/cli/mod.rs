//! The command line of `tansy-sim` and of its former name `tansy-lab`.

mod agree;
mod roll;
mod size;

use crate::fault::Time;
use crate::plot::PlotError;
use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Fleets of front ends in virtual time.
#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Versions of settings through kills, pauses, cuts and clocks of different rates. Ends with 1 if a run has a violation.
    Agree(agree::AgreeArguments),
    /// Rollouts in stages: how often a change with a regression is stopped, and one without effect.
    Roll(roll::RollArguments),
    /// A fleet at its size: what control costs, and how long changes take. One line for each size and seed; ends with 1 if
    /// one was not ok.
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

/// Where the seeds begin and on how many threads they are simulated, which each command takes.
#[derive(clap::Args)]
struct SeedArguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Threads, each with one seed at a time; 0: as many as there are cores. The result does not depend on it.
    #[arg(long, default_value_t = 0)]
    threads: usize,
}

impl SeedArguments {
    /// So many threads as are asked for; for 0 as many as there are cores.
    fn threads(&self) -> usize {
        if self.threads > 0 {
            return self.threads;
        }
        std::thread::available_parallelism().map_or(1, |cores| cores.get())
    }
}

/// The longest lease that a command line may ask for, milliseconds.
const LONGEST_LEASE_MS: i64 = 3_600_000;

/// The length of a lease that a command line gives in milliseconds.
fn lease_span(milliseconds: i64) -> Time {
    milliseconds.clamp(1, LONGEST_LEASE_MS) * 1000
}

/// Draws a plot into a file, if one is asked for; ends with 2 if that fails.
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

/// One line of JSON.
fn print_json(value: &impl serde::Serialize) {
    println!("{}", serde_json::to_string(value).unwrap_or_default());
}
