//! The configuration of a stand-in worker.

/// A function that the worker can load.
#[derive(Clone, Debug, PartialEq)]
pub struct Function {
    /// The function's name.
    pub name: String,
    /// Memory of one instance, MB.
    pub memory_mb: f64,
    /// Calls that one instance runs concurrently.
    pub lanes: u32,
    /// Time to load an instance, microseconds.
    pub load_time: i64,
    /// Work of a call that doesn't specify it, microseconds.
    pub default_work: i64,
}

/// How a call is handled whose function is not loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissPolicy {
    /// The function is loaded while the call waits.
    Load,
    /// The call is rejected with `not-loaded`.
    Miss,
}

/// A worker's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// The worker's name.
    pub name: String,
    /// The functions that the worker can load.
    pub functions: Vec<Function>,
    /// Memory for instances, MB.
    pub memory_mb: f64,
    /// Time after which an idle instance is unloaded, microseconds.
    pub idle_timeout: i64,
    /// Largest number of concurrent loads.
    pub max_concurrent_loads: usize,
    /// Largest number of waiting calls.
    pub max_waiting_calls: usize,
    /// How a call is handled whose function is not loaded.
    pub miss_policy: MissPolicy,
    /// Capacity of a warm worker, in seconds of work per second.
    pub cores: f64,
    /// Share of the capacity that a cold worker starts with; 1 disables the slow start.
    pub slow_start_from: f64,
    /// Time after which a cold worker has its full capacity, microseconds.
    pub slow_start_window: i64,
    /// A cold worker fails when the work sent to it in [`Profile::overload_window`] exceeds this multiple of its capacity.
    pub overload_multiple: f64,
    /// Window over which the work sent to a cold worker is summed, microseconds.
    pub overload_window: i64,
}
