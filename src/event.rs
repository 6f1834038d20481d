//! The events that a router handles, and the outcomes of attempts, probes and load requests.

use crate::id::{FunctionId, RequestId, WorkerId};
use crate::time::Micros;
use crate::worker::{ListKind, LoadReport, WorkerEntry};

/// How an attempt, a probe or a load request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The worker returned an error; the attempt may have run.
    Error,
    /// The worker rejected it without running it.
    Rejected,
    /// No answer in time; the attempt may have run and may still run.
    TimedOut,
    /// No connection was made; the attempt never ran.
    ConnectFailed,
    /// The connection was lost; the attempt may have run.
    ConnectionLost,
    /// Cancelled by this front end; the attempt may have run.
    Cancelled,
    /// Not sent; the attempt never ran.
    NotSent,
    /// The function is neither loaded nor being loaded at the worker, or its load failed; the attempt never ran.
    NotLoaded,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        use Outcome::*;
        matches!(self, Rejected | ConnectFailed | NotSent | NotLoaded)
    }
}

/// What an answer reports about the instance that served the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum InstanceStatus {
    /// The answer reports nothing.
    #[default]
    Unreported,
    /// An instance was already loaded.
    Warm,
    /// The call started a load.
    StartedLoad,
    /// The call waited for a load that was already in progress.
    AwaitedLoad,
    /// The load failed.
    LoadFailed,
}

/// A new request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its identifier.
    pub request: RequestId,
    /// The function it calls.
    pub function: FunctionId,
    /// Its class: an index into [`Settings::classes`](crate::Settings::classes).
    pub class: usize,
    /// Its tenant: an index into [`Settings::tenants`](crate::Settings::tenants).
    pub tenant: usize,
    /// Time until the client gives up this try.
    pub budget: Micros,
    /// The approximate service time on a standard core, if the client states it.
    pub work_hint: Option<Micros>,
    /// Number of calls that one instance runs at a time.
    pub lanes: u32,
    /// Memory of one instance, MB.
    pub memory_mb: f64,
    /// The approximate duration of a load, if stated.
    pub load_time: Option<Micros>,
    /// Whether it is a retry by the client, where clients mark these.
    pub is_client_retry: bool,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// Its request.
    pub request: RequestId,
    /// The number of the attempt; attempts of a request are numbered from 0 in the order in which they were sent.
    pub attempt: u32,
    /// The worker it was sent to.
    pub worker: WorkerId,
    /// How it ended.
    pub outcome: Outcome,
    /// The request has received its final answer.
    pub concluded: bool,
    /// Time since it was sent.
    pub latency: Micros,
    /// What the answer reports about the instance.
    pub instance_status: InstanceStatus,
    /// Number of calls of the function at the worker when this one arrived, if the worker reports it.
    pub concurrency: Option<u32>,
    /// The load report of the worker, if attached.
    pub report: Option<LoadReport>,
}

/// An event that the router handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of workers.
    Workers {
        /// How `entries` change the list.
        kind: ListKind,
        /// The entries.
        entries: Vec<WorkerEntry>,
    },
    /// A request arrived.
    Arrival(Arrival),
    /// A timer is due.
    Timer {
        /// The token given in [`Action::SetTimer`](crate::Action::SetTimer).
        token: u64,
    },
    /// An answer started streaming to the client.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// The client disconnected, or its answer is overdue. No answer is owed any more.
    ClientLeft {
        /// The request.
        request: RequestId,
    },
    /// Another client needs what a waiting call holds, such as its connection. Answered by at most one
    /// [`Action::Shed`](crate::Action::Shed).
    CapacityNeeded {
        /// Whether only a call may be refused whose function no worker is known to have or to load.
        only_unlikely: bool,
    },
    /// A probe ended.
    ProbeEnded {
        /// The worker that was probed.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the probe was sent.
        latency: Micros,
        /// The load report, if there is one.
        report: Option<LoadReport>,
    },
    /// A load request ended.
    LoadEnded {
        /// The worker to which the load request was sent.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the request was sent.
        latency: Micros,
        /// Number of instances loaded at the worker; 0 if it reported none.
        instances: u32,
    },
}
