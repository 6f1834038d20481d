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
    pub load: i64,
    /// Work of a call that names none, microseconds.
    pub work: i64,
}

/// What a call of a function that is not loaded does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenAbsent {
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
    pub idle_life: i64,
    /// Loads that run at a time.
    pub loads: usize,
    /// Calls that may wait.
    pub queue: usize,
    /// What a call of an absent function does.
    pub when_absent: WhenAbsent,
    /// Work that it does a second when warm, in seconds of work: its cores.
    pub cores: f64,
    /// Share of its capacity at a fresh start; 1: it starts warm.
    pub cold_from: f64,
    /// It has all of its capacity after this time, microseconds.
    pub warm_up: i64,
    /// Cold, it fails when sent more than this multiple of its present capacity over [`Profile::fall_after`].
    pub fall_multiple: f64,
    /// The time over which a cold worker's load is summed, microseconds.
    pub fall_after: i64,
}
