//! The configuration that the soak's front ends are started with, and its figures that the invariants refer to.

use std::net::SocketAddr;
use std::time::Duration;
use tansy_test_support::platform_configuration::{PlatformConfiguration, WorkerEntry};

/// Seconds after which a worker closes a connection that carried nothing.
pub const KEEPALIVE_S: f64 = 3.0;
/// Workers drop the repeats of a keyed request for so long.
pub const REPEAT_WINDOW: Duration = Duration::from_secs(1);

/// Memory of a front end, MB.
const MEMORY_MB: u32 = 64;
/// Calls that one connection to a worker may carry at a time.
const MULTIPLEX: u32 = 16;

/// What the configurations of one run differ in.
#[derive(Clone, Debug)]
pub struct FrontEndParameters {
    /// Its number among the front ends.
    pub index: usize,
    /// How many front ends there are.
    pub front_ends: usize,
    /// For its random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Its coordinator.
    pub coordinator: SocketAddr,
    /// The workers as of its start.
    pub workers: Vec<WorkerEntry>,
    /// A connection to a worker that is not up by then has failed.
    pub connect_timeout_s: f64,
}

impl FrontEndParameters {
    /// The whole configuration.
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
