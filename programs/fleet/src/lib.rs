//! `tansy-fleet`: the command line for operators of a fleet of front ends.
//!
//! It shows the fleet's status and history, proposes changes (settings versions, single functions, staged rollouts, the replacement of
//! a voter) and waits until they are in force. `tansy-fleet up` is the process supervisor of one machine. A fleet serves calls without
//! this program.

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

/// Time between two requests for the progress of a change.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// What every command uses.
struct CommandContext {
    client: Client,
    /// The front end given by `--at`, which is asked first.
    front_end: SocketAddr,
    output: Output,
}

impl CommandContext {
    /// The address of the leader, as known by the front end that is asked first.
    fn leader(&mut self) -> Result<SocketAddr, FleetError> {
        self.leader_known_by(self.front_end)
    }

    fn leader_known_by(&mut self, front_end: SocketAddr) -> Result<SocketAddr, FleetError> {
        let status = self.client.status(front_end)?;
        parse_address(&status.leader_address)
    }

    /// Waits until it is time for the next request for the progress of a change.
    fn wait_for_next_poll(&mut self) {
        self.client.wait(POLL_INTERVAL);
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, FleetError> {
    text.parse()
        .map_err(|_| FleetError::Unreachable(format!("{text:?} is not an address")))
}

/// Runs the program. The first argument is its name.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let arguments = Arguments::parse_from(arguments);
    let output = Output {
        json: arguments.json,
    };
    match run(arguments.command, arguments.front_end, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            output.error(&error);
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(command: Command, front_end: SocketAddr, output: Output) -> Result<(), FleetError> {
    if let Command::Up { machine_file, log } = &command {
        return run_machine(machine_file, log);
    }
    let client = Client::new().map_err(|error| FleetError::Unreachable(error.to_string()))?;
    let mut context = CommandContext {
        client,
        front_end,
        output,
    };
    match command {
        Command::Status => status::status(&mut context),
        Command::Seats => status::voters(&mut context),
        Command::Propose {
            file,
            expect,
            reason,
            dry_run,
            wait,
        } => versions::propose_file(&mut context, &file, expect, reason, dry_run, &wait),
        Command::Revert {
            version,
            dry_run,
            wait,
        } => versions::revert(&mut context, version, dry_run, &wait),
        Command::History => versions::history(&mut context),
        Command::Diff { old, new } => versions::diff(&mut context, old, new),
        Command::Abandon => versions::abandon(&mut context),
        Command::Dismiss { name } => status::dismiss(&mut context, name),
        // Handled above: it needs no context.
        Command::Up { .. } => Ok(()),
        Command::Steer { name } => machine::control_rollouts(&name, front_end),
        Command::Rollout { command } => rollout::run(&mut context, command),
        Command::Scope { command } => scopes::run(&mut context, command),
        Command::ReplaceVoter {
            new,
            replaces,
            wait,
        } => replace_voter::run(&mut context, &new, &replaces, wait),
    }
}

/// Runs the supervisor of one machine. It logs to standard error.
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
