//! Errors that abort a measurement.

use std::io;
use std::net::SocketAddr;
use tansy_test_support::process::ProcessError;

/// Why a measurement produced no results.
#[derive(Debug, thiserror::Error)]
pub enum BenchError {
    /// A system call failed.
    #[error("{action}: {source}")]
    System {
        /// The operation that failed.
        action: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A program did not start, or did not print its address.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The event loop failed.
    #[error("event loop: {0}")]
    EventLoop(#[from] calloop::Error),
    /// The latency histogram has invalid bounds.
    #[error("latency histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// The proxy could not connect to a worker.
    #[error("proxy could not connect to worker {worker}: {source}")]
    ProxyChannel {
        /// The worker's address.
        worker: SocketAddr,
        /// The transport error.
        source: tonic::transport::Error,
    },
    /// The proxy's server failed.
    #[error("proxy server: {0}")]
    ProxyServer(tonic::transport::Error),
    /// The measured front end served no call within the time limit.
    #[error("the measured front end served no call within the time limit")]
    FleetNotReady,
    /// The limit of file descriptors is too low for the number of clients.
    #[error("{clients} clients need one file descriptor each, but the limit is {allowed}")]
    TooFewDescriptors {
        /// Requested number of clients.
        clients: usize,
        /// File descriptors that the process may open.
        allowed: u64,
    },
    /// The output of a load process does not begin with its calls per second.
    #[error("the load process printed {output:?}, which does not begin with calls per second")]
    LoadOutput {
        /// The standard output of the load process.
        output: String,
    },
    /// The client thread panicked.
    #[error("the client thread panicked")]
    ClientThread,
}

/// Converts an I/O error into a [`BenchError::System`] that names the failed operation.
pub fn system_error(action: impl Into<String>) -> impl FnOnce(io::Error) -> BenchError {
    let action = action.into();
    move |source| BenchError::System { action, source }
}
