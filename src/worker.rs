//! Entries of the list of workers, and load reports.

use crate::id::WorkerId;
use crate::time::Time;

/// The state of a worker in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum WorkerState {
    /// Accepts work.
    #[default]
    Ready,
    /// Finishes its present work and must get no new work.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the list of workers.
#[derive(Clone, Debug, Default)]
pub struct WorkerEntry {
    /// The worker.
    pub worker: WorkerId,
    /// Its kind of machine.
    pub kind: usize,
    /// Its cell.
    pub cell: u64,
    /// Its zone.
    pub zone: usize,
    /// Its state.
    pub state: WorkerState,
    /// When its process last started; `None` if long ago.
    pub started: Option<Time>,
    /// Its size relative to other workers.
    pub relative_size: f64,
}

/// How the entries of a list change the list that the router has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changes only; workers without an entry are unchanged.
    Changes,
    /// The full list; workers without an entry are gone.
    Full,
    /// The full list from a cache, possibly out of date.
    Cached,
    /// The list could not be read; there are no entries.
    Failed,
}

/// The load as reported by a worker. Reports are delayed and noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of waiting requests.
    pub queued: Option<f64>,
    /// Number of requests that are waiting or being served.
    pub in_flight: Option<f64>,
    /// Fraction of cores that are busy.
    pub utilization: Option<f64>,
    /// Fraction of memory that cannot be freed.
    pub memory_pinned: Option<f64>,
    /// Number of loads in progress or waiting.
    pub loads: Option<f64>,
    /// Recent mean service time, milliseconds.
    pub mean_ms: Option<f64>,
    /// Requests served per second.
    pub served_per_s: Option<f64>,
    /// Errors per second.
    pub errors_per_s: Option<f64>,
}
