//! The command line of `tansy-sim` and of its former name `tansy-lab`.

mod agree;
mod roll;
mod size;

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
    /// Versions of settings through kills, pauses, cuts and clocks of different rates. Ends with 1 if a run broke.
    Agree(agree::AgreeArguments),
    /// Changes in stages: how often one that harms is stopped, and one that changes nothing.
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

/// So many threads; 0: as many as there are cores.
fn threads_or_all(threads: usize) -> usize {
    if threads > 0 {
        return threads;
    }
    std::thread::available_parallelism().map_or(1, |cores| cores.get())
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
