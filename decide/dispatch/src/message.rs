//! Inputs of the dispatcher and the commands it gives.
//!
//! Recorded runs spell these types as JSON, so a `serde(rename)` keeps the key wherever the name in the code differs.

use crate::outcome::{AttemptOutcome, Trailers};
use serde::{Deserialize, Serialize};
use tansyrouter::{Micros, WorkerState};

/// The number of a call at this front end; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// The number of a control request: a probe, a load or an unload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ControlRequestId(pub u64);

/// What a function needs of a worker, as a call states it where the settings do not name the function.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FunctionShape {
    /// Calls that one instance runs at a time.
    pub lanes: u32,
    /// Memory of one instance, MB.
    pub memory_mb: f64,
    /// Usual time of a load, microseconds, if stated.
    pub load_time: Option<Micros>,
}

/// What is known of a function that the settings in force do not name.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum FunctionLookup {
    /// Its calls are accepted.
    #[serde(rename = "Acts")]
    Known {
        /// Its class, for calls that name none.
        class: usize,
        /// Its shape.
        shape: FunctionShape,
    },
    /// Its calls are refused: front ends cannot be sure that they agree on it.
    Refused,
    /// There is no such function.
    Unknown,
    /// Nothing is known yet: its calls wait.
    #[serde(rename = "Wait")]
    Pending,
}

/// A call as its protocol stated it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Its number.
    #[serde(rename = "call")]
    pub id: CallId,
    /// The name of the function.
    pub function: String,
    /// Its class, if the call names one that exists; else the class of the function applies.
    pub class: Option<usize>,
    /// Its tenant; 0 if it names none.
    pub tenant: usize,
    /// Time that its client gives it, microseconds; `None`: the deadline of the class.
    pub budget: Option<Micros>,
    /// Estimate of its work, microseconds.
    #[serde(rename = "hint")]
    pub work_hint: Option<Micros>,
    /// The client marked it as a repeat.
    pub repeat: bool,
    /// The shape it states for its function; a function that the settings do not name is learned from it.
    #[serde(default)]
    pub shape: Option<FunctionShape>,
    /// It names a class or a tenant that the settings do not know.
    #[serde(default, rename = "unlisted")]
    pub unknown_names: bool,
    /// How long it may have waited before it was read, microseconds: its time counts from its last byte.
    #[serde(default)]
    pub waited: Micros,
}

/// One entry of a list of workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// The name of the worker: the same at every front end.
    pub name: String,
    /// Its machine kind.
    pub kind: usize,
    /// Its cell.
    pub cell: u64,
    /// Its zone.
    pub zone: usize,
    /// Its state; recorded runs hold it as a number.
    #[serde(with = "crate::worker_state_number")]
    pub state: WorkerState,
    /// How long ago it started, microseconds, if stated.
    pub age: Option<Micros>,
    /// Its size, comparable with that of other workers.
    #[serde(rename = "share")]
    pub relative_size: f64,
}

/// An event that the dispatcher takes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// The full list of workers, or changes to it.
    Workers {
        /// The list is complete: a worker that it does not name is gone.
        #[serde(rename = "whole")]
        full: bool,
        /// The entries.
        #[serde(rename = "list")]
        workers: Vec<WorkerRecord>,
    },
    /// The list could not be fetched.
    #[serde(rename = "ListFailed")]
    WorkerListFailed,
    /// A call came in.
    Call(Call),
    /// The HEADERS of an attempt have left: asked for by [`Command::ConfirmSent`], and implied by whatever comes back.
    #[serde(rename = "Opened")]
    AttemptSent {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u32,
    },
    /// A message of a streamed answer came.
    #[serde(rename = "Piece")]
    ResponseMessage {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u32,
        /// It is the last one.
        last: bool,
    },
    /// An attempt ended: exactly one for each [`Command::SendAttempt`].
    #[serde(rename = "Ended")]
    AttemptEnded {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u32,
        /// How it ended.
        #[serde(rename = "seen")]
        outcome: AttemptOutcome,
        /// What its trailers stated.
        #[serde(rename = "told")]
        trailers: Trailers,
    },
    /// The client cancelled, or its connection ended.
    ClientLeft {
        /// The call.
        call: CallId,
    },
    /// A control request ended: exactly one for each.
    #[serde(rename = "OrderEnded")]
    ControlRequestEnded {
        /// The request.
        #[serde(rename = "order")]
        request: ControlRequestId,
        /// How it ended.
        #[serde(rename = "seen")]
        outcome: AttemptOutcome,
        /// What its trailers stated.
        #[serde(rename = "told")]
        trailers: Trailers,
    },
    /// Time has passed.
    Tick,
    /// Calls are no longer accepted; those still open after the grace period fail.
    #[serde(rename = "Close")]
    Shutdown {
        /// Microseconds from now.
        #[serde(rename = "within")]
        grace: Micros,
    },
    /// A call came in whose function the settings in force do not name, and the function was looked up.
    #[serde(rename = "Looked")]
    CallLookedUp {
        /// The call.
        call: Call,
        /// What is known of its function.
        #[serde(rename = "found")]
        lookup: FunctionLookup,
    },
    /// A function that calls wait for was resolved.
    #[serde(rename = "Found")]
    FunctionResolved {
        /// The function.
        function: String,
        /// What is known of it.
        #[serde(rename = "found")]
        lookup: FunctionLookup,
    },
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailureReason {
    /// Its time is up.
    Deadline,
    /// The connection to a worker was lost while the call may have been running.
    #[serde(rename = "Lost")]
    ConnectionLost,
    /// A worker failed.
    #[serde(rename = "Worker")]
    WorkerFailed,
    /// The front end shuts down.
    #[serde(rename = "Closing")]
    ShuttingDown,
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// What the attempt brought.
    Served,
    /// The status of the worker as it came: the verdict of the function itself.
    #[serde(rename = "Passed")]
    WorkerStatus,
    /// Trying again is harmless.
    Refused {
        /// Advice to wait so long, microseconds; 0: none.
        #[serde(rename = "stay_away")]
        retry_after: Micros,
    },
    /// Nothing is promised.
    Failed(FailureReason),
    /// There is no such function.
    #[serde(rename = "Unknown")]
    UnknownFunction,
}

/// What the dispatcher wants done; commands are carried out in the order in which they come.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Begin an attempt: send the request of the call to the worker.
    #[serde(rename = "Open")]
    SendAttempt {
        /// The call.
        call: CallId,
        /// The number of the attempt, from 0.
        attempt: u32,
        /// The name of the worker.
        worker: String,
        /// What is left of the time of the call, microseconds.
        budget: Micros,
    },
    /// Cancel an attempt: reset its stream, then report its end.
    #[serde(rename = "Withdraw")]
    CancelAttempt {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u32,
    },
    /// If the HEADERS of an attempt have left, report [`Input::AttemptSent`]; if not, cancel it.
    #[serde(rename = "Confirm")]
    ConfirmSent {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u32,
    },
    /// Forward the response message just reported to the client.
    #[serde(rename = "Pass")]
    ForwardMessage {
        /// The call.
        call: CallId,
    },
    /// Give the client its one final answer.
    Answer {
        /// The call.
        call: CallId,
        /// The answer.
        answer: Answer,
    },
    /// Ask a worker for its load.
    Probe {
        /// The request.
        #[serde(rename = "order")]
        request: ControlRequestId,
        /// The worker.
        worker: String,
    },
    /// Have a worker keep at least so many instances; 0 only asks how many there are.
    Load {
        /// The request.
        #[serde(rename = "order")]
        request: ControlRequestId,
        /// The worker.
        worker: String,
        /// The function.
        function: String,
        /// How many.
        instances: u32,
    },
    /// Have a worker unload idle instances.
    Unload {
        /// The request.
        #[serde(rename = "order")]
        request: ControlRequestId,
        /// The worker.
        worker: String,
        /// The function.
        function: String,
    },
    /// If nothing of a control request has left, take it back and report its end.
    #[serde(rename = "Recall")]
    RecallUnsent {
        /// The request.
        #[serde(rename = "order")]
        request: ControlRequestId,
    },
    /// Cancel a control request, then report its end.
    #[serde(rename = "WithdrawOrder")]
    CancelControlRequest {
        /// The request.
        #[serde(rename = "order")]
        request: ControlRequestId,
    },
    /// Drop the connection to a worker at once: it accepts nothing.
    #[serde(rename = "Drop")]
    DropConnection {
        /// The worker.
        worker: String,
    },
    /// The worker is gone: close its connection once nothing is open on it.
    #[serde(rename = "Retire")]
    RetireWorker {
        /// The worker.
        worker: String,
    },
    /// Report to the operator that loads at a worker leave no instance.
    #[serde(rename = "Tell")]
    ReportLoadFailures {
        /// The worker.
        worker: String,
        /// The function of the last such load.
        function: String,
        /// How that load ended.
        #[serde(rename = "seen")]
        outcome: AttemptOutcome,
        /// Loads without effect since the last one that left an instance.
        #[serde(rename = "count")]
        failed_loads: u64,
    },
    /// Fetch the full list of workers once.
    #[serde(rename = "FetchList")]
    FetchWorkerList,
    /// Have changes of the list of workers sent from here on.
    #[serde(rename = "Subscribe")]
    SubscribeWorkerList,
}
