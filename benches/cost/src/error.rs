//! What ends a measurement early.

use std::io;
use std::net::SocketAddr;
use tansy_test_support::process::ProcessError;

/// Why a measurement ended without its figures.
#[derive(Debug, thiserror::Error)]
pub enum BenchError {
    /// A call of the system failed.
    #[error("{action}: {source}")]
    System {
        /// What was attempted.
        action: String,
        /// The system's error.
        source: io::Error,
    },
    /// A program did not start, or does not say where it serves.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The event loop failed.
    #[error("event loop: {0}")]
    EventLoop(#[from] calloop::Error),
    /// The bounds of the latencies' histogram make no sense.
    #[error("histogram of latencies: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// The proxy can't reach a worker.
    #[error("worker {worker}: {source}")]
    ProxyChannel {
        /// The worker's address.
        worker: SocketAddr,
        /// The transport's error.
        source: tonic::transport::Error,
    },
    /// The proxy's server failed.
    #[error("proxy: {0}")]
    ProxyServer(tonic::transport::Error),
    /// No call is served through the fleet in time.
    #[error("the fleet did not form")]
    FleetNotReady,
    /// The process may not have a descriptor for each client.
    #[error("{clients} clients need as many descriptors; {allowed} are allowed")]
    TooFewDescriptors {
        /// The clients that are wanted.
        clients: usize,
        /// The descriptors that are allowed.
        allowed: u64,
    },
    /// A load process did not print its calls a second first.
    #[error("the load printed {output:?}; want its calls a second first")]
    LoadOutput {
        /// What it printed.
        output: String,
    },
    /// The thread of the clients panicked.
    #[error("the clients' thread ended early")]
    ClientThread,
}

/// A call of the system that failed, with what was attempted.
pub fn system_error(action: impl Into<String>) -> impl FnOnce(io::Error) -> BenchError {
    let action = action.into();
    move |source| BenchError::System { action, source }
}
