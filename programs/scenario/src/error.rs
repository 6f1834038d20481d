//! Why a scenario can't be run to its end.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tansy_fleet::FleetError;
use tansy_test_support::process::ProcessError;

/// Why a scenario can't be run to its end. That rules were violated is no error but a result.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A file of the scenario can't be read or written.
    #[error("{}: {source}", .path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The event loop of the clients failed.
    #[error(transparent)]
    EventLoop(#[from] calloop::Error),
    /// A process can't be started, signalled or ended.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The settings of the scenario are invalid.
    #[error(transparent)]
    Settings(#[from] tansy_settings::Errors),
    /// The plan of the rollout is invalid.
    #[error(transparent)]
    Rollout(#[from] FleetError),
    /// Latencies can't be counted.
    #[error(transparent)]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A worker did not answer a request on its control port with status 200.
    #[error("{worker} on {path}: {answer}")]
    WorkerControl {
        /// The worker's `ready` line.
        worker: String,
        /// The path that was asked for.
        path: String,
        /// What it answered.
        answer: String,
    },
    /// The fault proxy's thread has ended.
    #[error("the fault proxy has ended")]
    ProxyEnded,
    /// A thread of the scenario panicked or ended before it was asked to.
    #[error("the {0} thread ended early")]
    ThreadEnded(&'static str),
    /// Front ends did not all join the fleet in time.
    #[error("the fleet did not form within {timeout:?}: {statuses}")]
    FleetNotReady {
        /// The time that was waited.
        timeout: Duration,
        /// The last status of each front end, or why there is none.
        statuses: String,
    },
    /// No voter accepted the rollout in time.
    #[error("no voter accepted the rollout; asked {voters:?}")]
    RolloutNotStarted {
        /// The voters that were asked.
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
