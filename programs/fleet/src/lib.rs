//! `tansy-fleet`: the operators' command line for a fleet of front ends.
//!
//! It asks front ends for the fleet's status and history, proposes changes (versions of the settings, functions by scope, staged
//! rollouts, the replacement of a voter) and waits until they are in force. `tansy-fleet up` is the process supervisor of one machine.
//! What a change means is decided by the fleet itself; nothing here is needed for a fleet to serve.

mod arguments;
pub mod client;
mod error;
mod machine;
mod output;
pub mod processes;
mod replace_voter;
pub mod report;
pub mod rollout;
pub mod rows;
mod scopes;
mod status;
mod terminal;
mod versions;

pub use error::FleetError;
/// The former name of [`rollout`].
pub use rollout as roll;

use arguments::{Arguments, Command};
use clap::Parser;
use client::Client;
use output::Output;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// Time between two questions about a change in progress.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A command line's connection to the fleet.
struct Session {
    client: Client,
    /// The front end that is asked first.
    at: SocketAddr,
    output: Output,
}

impl Session {
    /// The voter that leads, as the first front end knows it.
    fn leader(&mut self) -> Result<SocketAddr, FleetError> {
        self.leader_known_by(self.at)
    }

    fn leader_known_by(&mut self, at: SocketAddr) -> Result<SocketAddr, FleetError> {
        let status = self.client.status(at)?;
        parse_address(&status.leader_address)
    }

    /// Waits until the next question about a change in progress.
    fn pause(&mut self) {
        self.client.wait(POLL_INTERVAL);
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, FleetError> {
    text.parse()
        .map_err(|_| FleetError::Unreachable(format!("{text:?} is no address")))
}

/// Runs the program with these arguments, the first of which is its name.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let arguments = Arguments::parse_from(arguments);
    let output = Output {
        json: arguments.json,
    };
    match run(arguments.command, arguments.at, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            output.error(&error);
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(command: Command, at: SocketAddr, output: Output) -> Result<(), FleetError> {
    if let Command::Up { fleet, log } = &command {
        return run_machine(fleet, log);
    }
    let client = Client::new().map_err(|error| FleetError::Unreachable(error.to_string()))?;
    let mut session = Session { client, at, output };
    match command {
        Command::Status => status::status(&mut session),
        Command::Seats => status::voters(&mut session),
        Command::Propose {
            file,
            expect,
            why,
            dry_run,
            wait,
        } => versions::propose_file(&mut session, &file, expect, why, dry_run, &wait),
        Command::Revert {
            version,
            dry_run,
            wait,
        } => versions::revert(&mut session, version, dry_run, &wait),
        Command::History => versions::history(&mut session),
        Command::Diff { old, new } => versions::diff(&mut session, old, new),
        Command::Abandon => versions::abandon(&mut session),
        Command::Dismiss { name } => status::dismiss(&mut session, name),
        // It was run above, without a connection of its own.
        Command::Up { .. } => Ok(()),
        Command::Steer { name } => machine::control_rollouts(&name, at),
        Command::Rollout { command } => rollout::run(&mut session, command),
        Command::Scope { command } => scopes::run(&mut session, command),
        Command::ReplaceVoter {
            new,
            replaces,
            wait,
        } => replace_voter::run(&mut session, &new, &replaces, wait),
    }
}

/// Runs the supervisor of one machine, with its log on standard error.
fn run_machine(file: &Path, log: &str) -> Result<(), FleetError> {
    let filter = tracing_subscriber::EnvFilter::try_new(log)
        .map_err(|error| FleetError::Invalid(format!("--log {log:?}: {error}")))?;
    let color = std::io::IsTerminal::is_terminal(&std::io::stderr());
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(color)
        .init();
    machine::run(file)
}
