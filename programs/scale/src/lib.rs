//! A fleet at a size, on one machine: a few real gateways as processes, and many hollow front ends that run the same state
//! machine with real letters, take no calls and share processes.
//!
//! - [`run`]: the measurement, from arguments to its JSON line.
//! - [`cast`]: the processes, what they tell, and how they end.
//! - [`hollow`]: a process of hollow front ends.
//! - [`scopes`]: functions that are agreed on one by one, who calls which, and changes of them.
//! - [`mesh`]: letters between hollow front ends.
//! - [`system`]: what the kernel counts of processes and of the machine.
#![allow(clippy::too_many_lines)] // docs/ROADMAP.md, "Readable code": still to be split.

pub mod cast;
pub mod hollow;
pub mod mesh;
pub mod run;
pub mod scopes;
pub mod system;

use clap::error::ErrorKind;
use clap::{Parser, Subcommand};
use rustix::process::{set_parent_process_death_signal, Signal};
use std::ffi::OsString;
use std::process::ExitCode;

/// How a measurement can't go on.
pub type Error = Box<dyn std::error::Error>;

/// Measures what a fleet of front ends costs at a size.
///
/// Exit codes: 0 measured and all went well, 1 not all did, 2 for wrong arguments and for what this machine can't bear.
#[derive(Parser)]
#[command(name = "tansy-scale", version)]
struct Arguments {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Real front ends beside hollow ones: what control costs each, and how soon changes are in force.
    Run(run::Arguments),
    /// What state and decisions cost as functions, instances and front ends grow.
    State(tansy_bench_state::Args),
    #[command(flatten)]
    Capacity(tansy_capacity::Command),
}

/// Runs the program with its arguments, the first its name.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let all: Vec<OsString> = arguments.into_iter().collect();
    // The processes of a run are this program under other names, so that it needs no second file.
    match all.get(1).and_then(|a| a.to_str()) {
        Some("gateway") => {
            // It does not outlive whoever started it, however that ends.
            if let Err(e) = set_parent_process_death_signal(Some(Signal::KILL)) {
                eprintln!("a gateway that could outlive its run is not started: {e}");
                return ExitCode::from(1);
            }
            return tansy_gateway::cli::main(all.into_iter().skip(1));
        }
        Some("hollow") => return hollow::main(),
        _ => {}
    }
    let arguments = match Arguments::try_parse_from(all) {
        Ok(arguments) => arguments,
        Err(e) if matches!(e.kind(), ErrorKind::DisplayHelp | ErrorKind::DisplayVersion) => {
            // A reader that went away is no reason for another exit code.
            let _ = e.print();
            return ExitCode::SUCCESS;
        }
        Err(e) => {
            // What is wrong stands on the first line; what would be right is one word away.
            let text = e.to_string();
            let mut lines = text.lines().map(str::trim).filter(|l| !l.is_empty());
            let first = lines.next().unwrap_or("wrong arguments");
            let more = lines
                .next()
                .filter(|l| first.ends_with(':') && !l.starts_with("Usage"));
            eprintln!(
                "{first} {}; see tansy-scale run --help",
                more.unwrap_or("").trim()
            );
            return ExitCode::from(2);
        }
    };
    match arguments.what {
        What::Run(a) => run::main(&a),
        What::State(a) => tansy_bench_state::main(&a),
        What::Capacity(command) => command.run(),
    }
}
