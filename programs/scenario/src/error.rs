//! Errors that stop a scenario.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tansy_fleet::FleetError;
use tansy_test_support::process::ProcessError;

/// Why a scenario could not run to completion. Rule violations are part of a scenario's report, not errors.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A file could not be read or written.
    #[error("{}: {source}", .path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// The load generator's event loop failed.
    #[error(transparent)]
    EventLoop(#[from] calloop::Error),
    /// A process could not be started, signalled or stopped.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The scenario's settings are invalid.
    #[error(transparent)]
    Settings(#[from] tansy_settings::Errors),
    /// The rollout plan is invalid.
    #[error(transparent)]
    Rollout(#[from] FleetError),
    /// A latency histogram could not be created.
    #[error(transparent)]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A request to a worker's control port got another status than 200.
    #[error("worker {worker:?}: GET {path} on its control port failed: {response}")]
    WorkerControl {
        /// The worker's `ready` line.
        worker: String,
        /// The requested path.
        path: String,
        /// The whole HTTP response.
        response: String,
    },
    /// The fault proxy's thread has exited.
    #[error("the fault proxy's thread has exited")]
    ProxyEnded,
    /// A thread of the scenario panicked or exited too early.
    #[error("the {0} thread panicked or exited too early")]
    ThreadEnded(&'static str),
    /// Not all front ends became ready members of the fleet in time.
    #[error("not all front ends of the fleet were ready within {timeout:?}: {statuses}")]
    FleetNotReady {
        /// How long the scenario waited.
        timeout: Duration,
        /// The last status of each front end, or the error of its status request.
        statuses: String,
    },
    /// No leader accepted the rollout in time.
    #[error("no leader among the voters {voters:?} accepted the rollout")]
    RolloutNotStarted {
        /// Addresses of the voters.
        voters: Vec<SocketAddr>,
    },
}

impl ScenarioError {
    pub(crate) fn file(path: &Path) -> impl FnOnce(std::io::Error) -> ScenarioError + '_ {
        move |source| ScenarioError::File {
            path: path.to_path_buf(),
            source,
        }
    }
}
