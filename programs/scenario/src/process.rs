//! Processes of a scenario: this executable in the role of a gateway, a worker or a process supervisor.
//!
//! [`crate::cli::main`] runs the program that the first argument names, so a scenario needs no other executable.

use crate::error::ScenarioError;
use rustix::process::Signal;
use std::fs::OpenOptions;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::Path;
use std::process::Command;
use tansy_test_support::process::ServerProcess;

/// An address of loopback with a port that the kernel selects.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Addresses where a gateway listens for clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayAddresses {
    /// Address for calls.
    pub grpc: SocketAddr,
    /// Address for health checks and counters.
    pub http: SocketAddr,
}

impl GatewayAddresses {
    /// Loopback with ports that the kernel selects.
    pub const ANY: GatewayAddresses = GatewayAddresses {
        grpc: ANY_PORT,
        http: ANY_PORT,
    };

    /// Reads the addresses from a gateway's `ready` line.
    ///
    /// # Errors
    /// The line lacks an address.
    pub fn of(gateway: &ServerProcess) -> Result<GatewayAddresses, ScenarioError> {
        Ok(GatewayAddresses {
            grpc: gateway.address("grpc")?,
            http: gateway.address("http")?,
        })
    }
}

/// Starts this executable with the arguments, the first of which names its role, and waits for its `ready` line.
///
/// # Errors
/// The process can't be started, or exits without a `ready` line.
pub fn start(arguments: &[String]) -> Result<ServerProcess, ScenarioError> {
    start_logged(arguments, None)
}

/// Like [`start`]; appends the process's logs to `log_file`, if given.
///
/// # Errors
/// The log file can't be opened, or [`start`] fails.
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

/// Starts a worker with a settings file and a number of cores.
///
/// # Errors
/// See [`start`].
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

/// Signals all processes to terminate, then waits for each, so that they drain their calls at the same time.
///
/// # Errors
/// A process can't be signalled or waited for.
pub fn stop_together(processes: &mut [Option<ServerProcess>]) -> Result<(), ScenarioError> {
    for process in processes.iter().flatten() {
        process.signal(Signal::TERM)?;
    }
    for process in processes.iter_mut().flatten() {
        process.stop()?;
    }
    Ok(())
}

/// Sends a GET request for a path to a worker's control port.
///
/// # Errors
/// The port can't be reached, or the response has another status than 200.
pub fn control(worker: &ServerProcess, path: &str) -> Result<(), ScenarioError> {
    let mut stream = TcpStream::connect(worker.address("control")?)?;
    write!(stream, "GET {path} HTTP/1.1\r\nConnection: close\r\n\r\n")?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    if response.starts_with("HTTP/1.1 200") {
        return Ok(());
    }
    Err(ScenarioError::WorkerControl {
        worker: worker.ready_line().trim().to_string(),
        path: path.to_string(),
        response,
    })
}
