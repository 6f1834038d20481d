//! The events that a router is given, and how the attempts, probes and loads it asked for ended.

use crate::id::{FunctionId, RequestId, WorkerId};
use crate::time::Micros;
use crate::worker::{ListKind, LoadReport, WorkerEntry};

/// How an attempt, a probe or a load request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was served.
    Served,
    /// The worker returned an error; the attempt may have run.
    Error,
    /// The worker rejected it without running it.
    Rejected,
    /// No answer in time; the attempt may have run and may still run.
    TimedOut,
    /// No connection was made; the attempt never ran.
    ConnectFailed,
    /// The connection broke; the attempt may have run.
    ConnectionLost,
    /// Cancelled by this front end; the attempt may have run.
    Cancelled,
    /// It was not sent; the attempt never ran.
    NotSent,
    /// The function is not loaded there and is not being loaded, or its load failed; the attempt never ran.
    NotLoaded,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        use Outcome::*;
        matches!(self, Rejected | ConnectFailed | NotSent | NotLoaded)
    }
}

/// What an answer says about the instance that served the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum InstanceStatus {
    /// Nothing.
    #[default]
    Unreported,
    /// An instance was loaded already.
    Warm,
    /// The call started a load.
    StartedLoad,
    /// The call waited for a load that had started before it.
    AwaitedLoad,
    /// The load failed.
    LoadFailed,
}

/// A request that has come in.
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
    /// Time left before the client gives up this try.
    pub budget: Micros,
    /// The approximate time it takes on a standard core, if the client states it.
    pub work_hint: Option<Micros>,
    /// Calls that one instance runs at a time.
    pub lanes: u32,
    /// Memory of one instance, MB.
    pub memory_mb: f64,
    /// The usual time of a load, roughly, if it is stated.
    pub load_time: Option<Micros>,
    /// Whether it is a client's own retry, where clients mark these.
    pub is_client_retry: bool,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// Its request.
    pub request: RequestId,
    /// Its number: the attempts of a request count from 0 in the order they were sent.
    pub attempt: u32,
    /// The worker it was sent to.
    pub worker: WorkerId,
    /// How it ended.
    pub outcome: Outcome,
    /// The request has its final answer; nothing more is owed to the client.
    pub concluded: bool,
    /// Time since it was sent.
    pub latency: Micros,
    /// What the answer says about the instance.
    pub instance_status: InstanceStatus,
    /// Calls of the function at the worker when this one arrived there, if the worker states it.
    pub concurrency: Option<u32>,
    /// The worker's load report, if one is attached.
    pub report: Option<LoadReport>,
}

/// Something that happened and that the router has to know.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of workers.
    Workers {
        /// How `entries` relate to the list so far.
        kind: ListKind,
        /// The entries.
        entries: Vec<WorkerEntry>,
    },
    /// A request came in.
    Arrival(Arrival),
    /// A timer is due.
    Timer {
        /// As given in [`Action::SetTimer`](crate::Action::SetTimer).
        token: u64,
    },
    /// An answer began to stream; from here on the client receives it.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// The client left, or its answer is overdue; nothing more is owed to it.
    ClientLeft {
        /// The request.
        request: RequestId,
    },
    /// A probe ended.
    ProbeEnded {
        /// The worker that was probed.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the probe was sent.
        latency: Micros,
        /// The report, if one came.
        report: Option<LoadReport>,
    },
    /// A load request ended.
    LoadEnded {
        /// The worker that was asked to load.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the request was sent.
        latency: Micros,
        /// Instances that are loaded there; 0 if the worker said nothing.
        instances: u32,
    },
}
