//! What a stand-in worker is configured as.

/// A function that the worker can load.
#[derive(Clone, Debug, PartialEq)]
pub struct Function {
    /// Its name.
    pub name: String,
    /// Memory of one instance, MB.
    pub memory_mb: f64,
    /// Calls that one instance runs at a time.
    pub lanes: u32,
    /// Time of a load, microseconds.
    pub load_time: i64,
    /// Work of a call that names none, microseconds.
    pub default_work: i64,
}

/// What a call of a function that is not loaded does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissPolicy {
    /// Loads it and waits.
    Load,
    /// Is answered `not-loaded`.
    Miss,
}

/// A worker's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Its name.
    pub name: String,
    /// The functions it can load.
    pub functions: Vec<Function>,
    /// Its memory, MB.
    pub memory_mb: f64,
    /// An idle instance is unloaded after so long, microseconds.
    pub idle_timeout: i64,
    /// Loads that run at a time.
    pub max_concurrent_loads: usize,
    /// Calls that may wait.
    pub max_waiting_calls: usize,
    /// What a call of an absent function does.
    pub miss_policy: MissPolicy,
    /// Work that it does a second when warm, in seconds of work: its cores.
    pub cores: f64,
    /// Share of its capacity at a fresh start; 1: it starts warm.
    pub slow_start_from: f64,
    /// It has all of its capacity after this time, microseconds.
    pub slow_start_window: i64,
    /// Cold, it fails when sent more than this multiple of its present capacity over [`Profile::overload_window`].
    pub overload_multiple: f64,
    /// The time over which a cold worker's load is summed, microseconds.
    pub overload_window: i64,
}
