//! What a router is given about workers: entries of their list, and reports of their load.

use crate::id::WorkerId;
use crate::time::Time;

/// The state of a worker in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum WorkerState {
    /// Accepts work.
    #[default]
    Ready,
    /// Finishes the work it has and must get none that is new.
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
    /// When its process last started; none: long ago.
    pub started: Option<Time>,
    /// Its size in proportion to the other workers' sizes.
    pub relative_size: f64,
}

/// How the entries of a list relate to the list that the router has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changes only; workers that are not named stay as they are.
    Changes,
    /// The whole list; a worker that is not named is gone.
    Full,
    /// The whole list from a cache, perhaps out of date.
    Cached,
    /// The list could not be read; there are no entries.
    Failed,
}

/// A worker's own report of its load. Reports arrive late and are noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that wait.
    pub queued: Option<f64>,
    /// Requests at the worker, waiting or being served.
    pub in_flight: Option<f64>,
    /// Share of its cores that are busy.
    pub utilization: Option<f64>,
    /// Share of its memory that can't be freed.
    pub memory_pinned: Option<f64>,
    /// Loads in progress or waiting.
    pub loads: Option<f64>,
    /// Recent mean service time, milliseconds.
    pub mean_ms: Option<f64>,
    /// Requests served per second.
    pub served_per_s: Option<f64>,
    /// Errors per second.
    pub errors_per_s: Option<f64>,
}
