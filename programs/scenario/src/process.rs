//! Processes of a scenario: this program in the role of a gateway, a worker or a process supervisor.
//!
//! A scenario needs no second file: [`crate::cli::main`] hands over to the program that the first argument names.

use crate::error::ScenarioError;
use rustix::process::Signal;
use std::fs::OpenOptions;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::Path;
use std::process::Command;
use tansy_test_support::process::ServerProcess;

/// Any port of loopback.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Where a gateway listens for clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayAddresses {
    /// For calls.
    pub grpc: SocketAddr,
    /// For health checks and counters.
    pub http: SocketAddr,
}

impl GatewayAddresses {
    /// Any ports of loopback.
    pub const ANY: GatewayAddresses = GatewayAddresses {
        grpc: ANY_PORT,
        http: ANY_PORT,
    };

    /// Where a gateway says that it listens.
    ///
    /// # Errors
    /// Its `ready` line names no such addresses.
    pub fn of(gateway: &ServerProcess) -> Result<GatewayAddresses, ScenarioError> {
        Ok(GatewayAddresses {
            grpc: gateway.address("grpc")?,
            http: gateway.address("http")?,
        })
    }
}

/// Starts this program with the arguments, the first of which is its role, and waits for its `ready` line.
///
/// # Errors
/// The program can't be started, or ended without a `ready` line.
pub fn start(arguments: &[String]) -> Result<ServerProcess, ScenarioError> {
    start_logged(arguments, None)
}

/// Starts this program as [`start`] does; its logs are appended to a file, if one is given.
///
/// # Errors
/// The file can't be opened; or as [`start`].
pub fn start_logged(
    arguments: &[String],
    log_file: Option<&Path>,
) -> Result<ServerProcess, ScenarioError> {
    let mut command = Command::new(std::env::current_exe()?);
    command.args(arguments);
    if let Some(path) = log_file {
        let file = OpenOptions::new().append(true).create(true).open(path);
        command.stderr(file.map_err(ScenarioError::file(path))?);
    }
    Ok(ServerProcess::start(&mut command)?)
}

/// Starts a worker with this settings file, and so many cores.
///
/// # Errors
/// As [`start`].
pub fn start_worker(
    settings: &Path,
    worker: usize,
    cores: f64,
) -> Result<ServerProcess, ScenarioError> {
    start(&[
        "worker".to_string(),
        "--settings".to_string(),
        settings.display().to_string(),
        "--name".to_string(),
        format!("w{worker}"),
        "--cores".to_string(),
        cores.to_string(),
    ])
}

/// Asks all processes to end together, since each waits for its own calls; then waits for each.
///
/// # Errors
/// One can't be signalled or waited for.
pub fn stop_together(processes: &mut [Option<ServerProcess>]) -> Result<(), ScenarioError> {
    for process in processes.iter().flatten() {
        process.signal(Signal::TERM)?;
    }
    for process in processes.iter_mut().flatten() {
        process.stop()?;
    }
    Ok(())
}

/// Asks for a path on a worker's control port.
///
/// # Errors
/// The port can't be reached, or the answer has another status than 200.
pub fn control(worker: &ServerProcess, path: &str) -> Result<(), ScenarioError> {
    let mut stream = TcpStream::connect(worker.address("control")?)?;
    write!(stream, "GET {path} HTTP/1.1\r\nConnection: close\r\n\r\n")?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    if answer.starts_with("HTTP/1.1 200") {
        return Ok(());
    }
    Err(ScenarioError::WorkerControl {
        worker: worker.ready_line().trim().to_string(),
        path: path.to_string(),
        answer,
    })
}
