//! Measures the cost of a fleet at a given size on one machine.
//!
//! A few front ends are real gateways, each in a process of its own. The others are hollow: they run the gateway's fleet node and exchange
//! real messages, but take no calls, and many of them share a process.
//!
//! - [`run`]: the measurement, from its arguments to its JSON line.
//! - [`fleet`]: the child processes of a run, and the operator's requests to them.
//! - [`hollow`]: a process of hollow front ends.
//! - [`scopes`]: functions that are scopes of their own, and which front end calls which of them.
//! - [`system`]: the kernel's counters of processes and of the machine.
//!
//! This is a tool for tests and capacity planning; a gateway that serves calls does not use it.
//!
//! Child processes run this executable again with the command `gateway` or `hollow`. Invalid arguments end the program with exit code 2:
//!
//! ```
//! use std::process::ExitCode;
//!
//! let exit = tansy_scale::main(["tansy-scale", "run", "--front-ends", "many"].map(Into::into));
//! assert_eq!(exit, ExitCode::from(2));
//! ```

mod error;

pub mod fleet;
pub mod hollow;
pub mod run;
pub mod scopes;
pub mod system;

pub use error::Error;

use clap::error::ErrorKind;
use clap::{Parser, Subcommand};
use rustix::process::{set_parent_process_death_signal, Signal};
use std::ffi::OsString;
use std::process::ExitCode;

/// Measures the cost of a fleet of front ends at a given size.
///
/// Exit codes: 0 if the measurement succeeded, 1 if a part of it failed, 2 for invalid arguments or a fleet too large for this machine.
#[derive(Parser)]
#[command(name = "tansy-scale", version)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Starts real and hollow front ends; measures their control traffic and how long changes take to be in force.
    Run(run::Arguments),
    /// Measures the cost of state and decisions by the number of functions, instances and front ends.
    State(tansy_bench_state::Args),
    #[command(flatten)]
    Capacity(tansy_capacity::Command),
}

/// Runs the program; the first argument is the name of the executable.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let arguments: Vec<OsString> = arguments.into_iter().collect();
    match arguments.get(1).and_then(|argument| argument.to_str()) {
        Some("gateway") => run_gateway(arguments),
        Some("hollow") => hollow::process::main(),
        _ => match CommandLine::try_parse_from(arguments) {
            Ok(line) => run_command(line.command),
            Err(error) => report_usage(&error),
        },
    }
}

/// Runs a gateway that the kernel kills when the measurement ends for any reason.
fn run_gateway(arguments: Vec<OsString>) -> ExitCode {
    if let Err(error) = set_parent_process_death_signal(Some(Signal::KILL)) {
        eprintln!("the gateway is not started, since it could outlive the measurement: {error}");
        return ExitCode::from(1);
    }
    tansy_gateway::cli::main(arguments.into_iter().skip(1))
}

fn run_command(command: Command) -> ExitCode {
    match command {
        Command::Run(arguments) => run::main(&arguments),
        Command::State(arguments) => tansy_bench_state::main(&arguments),
        Command::Capacity(command) => command.run(),
    }
}

/// Prints help, or one line about what is wrong with the arguments.
fn report_usage(error: &clap::Error) -> ExitCode {
    if let ErrorKind::DisplayHelp | ErrorKind::DisplayVersion = error.kind() {
        // A closed standard output does not change the exit code.
        let _ = error.print();
        return ExitCode::SUCCESS;
    }
    let text = error.to_string();
    let mut lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
    let first = lines.next().unwrap_or("wrong arguments");
    let next = lines.next();
    let details = next.filter(|line| first.ends_with(':') && !line.starts_with("Usage"));
    eprintln!(
        "{first} {}; see tansy-scale run --help",
        details.unwrap_or("").trim()
    );
    ExitCode::from(2)
}
