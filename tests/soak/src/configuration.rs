//! The configuration of the soak's front ends, and the parts of it that the invariants depend on.

use std::net::SocketAddr;
use std::time::Duration;
use tansy_test_support::platform_configuration::{PlatformConfiguration, WorkerEntry};

/// Seconds after which a worker closes an idle connection.
pub const KEEPALIVE_S: f64 = 3.0;
/// How long workers drop repeats of a keyed request.
pub const REPEAT_WINDOW: Duration = Duration::from_secs(1);

/// Memory limit of a front end, MB.
const MEMORY_MB: u32 = 64;
/// Concurrent calls on one connection to a worker.
const MULTIPLEX: u32 = 16;

/// The values that differ between the configurations of one run.
#[derive(Clone, Debug)]
pub struct FrontEndParameters {
    /// The front-end index.
    pub index: usize,
    /// Number of front ends.
    pub front_ends: usize,
    /// Seed of the front end's random numbers.
    pub seed: u64,
    /// Limit on open file descriptors.
    pub sockets: usize,
    /// The coordinator's address.
    pub coordinator: SocketAddr,
    /// The endpoint list at the start.
    pub workers: Vec<WorkerEntry>,
    /// Timeout for connecting to a worker, seconds.
    pub connect_timeout_s: f64,
}

impl FrontEndParameters {
    /// The complete configuration.
    pub fn configuration(self) -> PlatformConfiguration {
        PlatformConfiguration {
            index: self.index,
            front_ends: self.front_ends,
            seed: self.seed,
            memory_mb: MEMORY_MB,
            sockets: self.sockets,
            coordinator: self.coordinator,
            workers: self.workers,
            connect_timeout_s: self.connect_timeout_s,
            keepalive_s: KEEPALIVE_S,
            multiplex: MULTIPLEX,
            repeat_window_s: REPEAT_WINDOW.as_secs().to_string(),
        }
    }
}
