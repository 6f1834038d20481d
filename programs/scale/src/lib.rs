//! Measures what a fleet of front ends costs at a size, on one machine: a few real gateways as processes, and many hollow front ends
//! that run the same fleet node with real messages, take no calls and share processes.
//!
//! - [`run`]: the measurement, from arguments to its JSON line.
//! - [`fleet`]: the processes of a run, and an operator's requests to them.
//! - [`hollow`]: a process of hollow front ends.
//! - [`scopes`]: functions that are agreed on one by one, and which front end calls which.
//! - [`system`]: the kernel's counters of processes and of the machine.
//!
//! It is a tool for tests and capacity planning, and no part of the product: nothing of it runs in a gateway that serves calls.
//!
//! Its processes are this program under other names, `gateway` and `hollow`, so that it needs no second file. Arguments that can't be
//! read end it with exit code 2:
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

/// Measures what a fleet of front ends costs at a size.
///
/// Exit codes: 0 measured and all went well, 1 not all did, 2 for wrong arguments and for what this machine can't bear.
#[derive(Parser)]
#[command(name = "tansy-scale", version)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Real front ends beside hollow ones: what control costs each, and how soon changes are in force.
    Run(run::Arguments),
    /// What state and decisions cost as functions, instances and front ends grow.
    State(tansy_bench_state::Args),
    #[command(flatten)]
    Capacity(tansy_capacity::Command),
}

/// Runs the program with its arguments, the first its name.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let arguments: Vec<OsString> = arguments.into_iter().collect();
    match arguments.get(1).and_then(|argument| argument.to_str()) {
        Some("gateway") => gateway(arguments),
        Some("hollow") => hollow::process::main(),
        _ => match CommandLine::try_parse_from(arguments) {
            Ok(line) => run_command(line.command),
            Err(error) => report_usage(&error),
        },
    }
}

/// Runs a gateway that does not outlive the measurement, however that ends.
fn gateway(arguments: Vec<OsString>) -> ExitCode {
    if let Err(error) = set_parent_process_death_signal(Some(Signal::KILL)) {
        eprintln!("a gateway that could outlive its run is not started: {error}");
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

/// Prints help, or in one line what is wrong with the arguments.
fn report_usage(error: &clap::Error) -> ExitCode {
    if let ErrorKind::DisplayHelp | ErrorKind::DisplayVersion = error.kind() {
        // A reader that went away is no reason for another exit code.
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
