//! Front ends of one fleet as processes, and the operator's commands to them.

use crate::address::ReservedAddress;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;

/// A loopback address on which the kernel chooses the port.
pub const ANY_PORT: &str = "127.0.0.1:0";

/// Why an operator's command returned no result.
#[derive(Debug, thiserror::Error)]
pub enum OperatorCommandError {
    /// The program could not be run.
    #[error("{program}: {source}")]
    Start {
        /// The program and its arguments.
        program: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The program's output is not valid JSON.
    #[error("{program}: {source}: {output:?}")]
    Output {
        /// The program and its arguments.
        program: String,
        /// The parse error.
        source: serde_json::Error,
        /// The program's standard output.
        output: String,
    },
}

/// The path of a program of the workspace, in the profile of the running test; `None` if it has not been built.
pub fn built_program(name: &str) -> Option<PathBuf> {
    let test = std::env::current_exe().ok()?;
    // Cargo puts test executables into `deps`, a subfolder of the programs' folder.
    let path = test.parent()?.parent()?.join(name);
    path.exists().then_some(path)
}

/// Reserves an address for each front end of a fleet, on the loopback hosts `127.network.P.1` to `127.network.P.count`. `P` is derived
/// from the process id, so that tests that run at the same time rarely share hosts. A front end keeps its address over restarts.
pub fn reserve_addresses(network: u8, count: u8) -> io::Result<Vec<ReservedAddress>> {
    let process = (std::process::id() % 250) as u8;
    (1..=count)
        .map(|host| ReservedAddress::on([127, network, process, host]))
        .collect()
}

/// The command that starts a front end of a fleet under this name, with logging off. The kernel chooses the ports for clients and HTTP.
pub fn front_end_command(
    gateway: &Path,
    settings: &Path,
    name: &str,
    peers: SocketAddr,
) -> Command {
    let mut command = Command::new(gateway);
    command
        .arg("--settings")
        .arg(settings)
        .args(["--name", name, "--peers", &peers.to_string()])
        .args(["--listen", ANY_PORT, "--http", ANY_PORT, "--log", "off"])
        // Names the configuration for `--platform`; the test's own environment must have no influence.
        .env_remove("EDGE_CONFIG");
    command
}

/// Runs an operator's command (`tansy-fleet --json`) against the front end at this address. Returns the exit code (-1 if a signal
/// ended the program) and the result that it printed.
pub fn run_operator_command(
    operator_program: &mut Command,
    front_end: SocketAddr,
    arguments: &[&str],
) -> Result<(i32, Value), OperatorCommandError> {
    operator_program
        .args(["--json", "--at", &front_end.to_string()])
        .args(arguments);
    let program = format!("{operator_program:?}");
    let result = operator_program.output();
    let result = match result {
        Ok(result) => result,
        Err(source) => return Err(OperatorCommandError::Start { program, source }),
    };
    let output = String::from_utf8_lossy(&result.stdout).into_owned();
    match serde_json::from_str(&output) {
        Ok(value) => Ok((result.status.code().unwrap_or(-1), value)),
        Err(source) => Err(OperatorCommandError::Output {
            program,
            source,
            output,
        }),
    }
}

/// The front ends in the result of the `status` command.
pub fn front_ends(status: &Value) -> &[Value] {
    status["fronts"].as_array().map_or(&[], Vec::as_slice)
}

/// Whether a front end in the result of `status` holds a lease and a session, both of which it needs to take calls.
pub fn holds_lease_and_session(front_end: &Value) -> bool {
    front_end["lease_ms"].as_i64() > Some(0) && front_end["stay_s"].as_i64() > Some(0)
}

/// Whether the error in a command's result contains this text.
pub fn error_contains(result: &Value, words: &str) -> bool {
    result["error"]
        .as_str()
        .is_some_and(|error| error.contains(words))
}
