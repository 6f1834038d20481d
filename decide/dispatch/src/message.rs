//! Inputs of the dispatcher and the commands it returns.
//!
//! Recorded runs contain these types as JSON; `serde(rename)` keeps the recorded key where the name in the code differs.

use crate::outcome::{AttemptOutcome, Trailers};
use serde::{Deserialize, Serialize};
use tansyrouter::{Micros, WorkerState};

/// Identifies a call at this front end. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// Identifies a control request: a probe, a load or an unload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ControlRequestId(pub u64);

/// Resource requirements of a function, stated by calls of functions that the settings do not name.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FunctionShape {
    /// Number of calls that one instance runs at a time.
    pub lanes: u32,
    /// Memory of one instance, MB.
    pub memory_mb: f64,
    /// Expected duration of a load, microseconds, if stated.
    pub load_time: Option<Micros>,
}

/// The result of looking up a function that the settings in force do not name.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum FunctionLookup {
    /// The function exists; its calls are accepted.
    #[serde(rename = "Acts")]
    Known {
        /// The class of calls that name none.
        class: usize,
        /// Resource requirements of the function.
        shape: FunctionShape,
    },
    /// Calls are refused, because front ends may apply different settings to the function.
    Refused,
    /// The function does not exist.
    Unknown,
    /// The lookup has no result yet; calls wait for it.
    #[serde(rename = "Wait")]
    Pending,
}

/// A call as it was received from the client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The id of the call.
    #[serde(rename = "call")]
    pub id: CallId,
    /// The name of the function.
    pub function: String,
    /// Index of the class, if the call names an existing one; otherwise the class of the function applies.
    pub class: Option<usize>,
    /// Index of the tenant; 0 if the call names none.
    pub tenant: usize,
    /// Time that the client allows, microseconds; if `None`, the deadline of the class applies.
    pub budget: Option<Micros>,
    /// Estimated work, microseconds.
    #[serde(rename = "hint")]
    pub work_hint: Option<Micros>,
    /// Whether the client marked the call as a retry.
    pub repeat: bool,
    /// Resource requirements that the call states for its function. The dispatcher learns functions that the settings do
    /// not name from them.
    #[serde(default)]
    pub shape: Option<FunctionShape>,
    /// Whether the call names a class or tenant that the settings do not define.
    #[serde(default, rename = "unlisted")]
    pub unknown_names: bool,
    /// How long the call may have waited before it was read, microseconds. This counts against its budget.
    #[serde(default)]
    pub waited: Micros,
}

/// One entry of the worker list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// The name of the worker, the same at every front end.
    pub name: String,
    /// Index of the machine kind.
    pub kind: usize,
    /// Number of the cell.
    pub cell: u64,
    /// Index of the zone.
    pub zone: usize,
    /// State of the worker; a number in recorded runs.
    #[serde(with = "crate::worker_state_number")]
    pub state: WorkerState,
    /// Time since the worker started, microseconds, if stated.
    pub age: Option<Micros>,
    /// Size of the worker relative to other workers.
    #[serde(rename = "share")]
    pub relative_size: f64,
}

/// An event for the dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// The full worker list, or changes to it.
    Workers {
        /// Whether the list is complete, so that workers it omits are gone.
        #[serde(rename = "whole")]
        full: bool,
        /// The entries.
        #[serde(rename = "list")]
        workers: Vec<WorkerRecord>,
    },
    /// The worker list could not be fetched.
    #[serde(rename = "ListFailed")]
    WorkerListFailed,
    /// A call arrived.
    Call(Call),
    /// The HEADERS of an attempt were sent. Reported in reply to [`Command::ConfirmSent`]; any response implies it as
    /// well.
    #[serde(rename = "Opened")]
    AttemptSent {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u32,
    },
    /// A message of a streamed response arrived.
    #[serde(rename = "Piece")]
    ResponseMessage {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u32,
        /// Whether this is the last message.
        last: bool,
    },
    /// An attempt ended. Given exactly once for each [`Command::SendAttempt`].
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
    /// The client cancelled the call, or its connection closed.
    ClientLeft {
        /// The call.
        call: CallId,
    },
    /// A control request ended. Given exactly once for each.
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
    /// A call arrived on a connection that cannot be kept: it is refused.
    CallWithoutCapacity(Call),
    /// Another client needs the connection of a client whose call waits.
    ConnectionNeeded {
        /// Whether only a call may be refused whose function no worker is known to have or to load.
        only_unlikely: bool,
    },
    /// Time has passed; due timers run.
    Tick,
    /// Stop accepting calls. Calls that are still open after the grace period fail.
    #[serde(rename = "Close")]
    Shutdown {
        /// The grace period, microseconds.
        #[serde(rename = "within")]
        grace: Micros,
    },
    /// A call arrived whose function the settings in force do not name; includes the result of the lookup.
    #[serde(rename = "Looked")]
    CallLookedUp {
        /// The call.
        call: Call,
        /// The result of the lookup.
        #[serde(rename = "found")]
        lookup: FunctionLookup,
    },
    /// The lookup of a function that calls wait for ended.
    #[serde(rename = "Found")]
    FunctionResolved {
        /// The function.
        function: String,
        /// The result of the lookup.
        #[serde(rename = "found")]
        lookup: FunctionLookup,
    },
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailureReason {
    /// The deadline of the call passed.
    Deadline,
    /// The connection to a worker was lost or could not be established.
    #[serde(rename = "Lost")]
    ConnectionLost,
    /// A worker answered with an error or an invalid response.
    #[serde(rename = "Worker")]
    WorkerFailed,
    /// The front end is shutting down.
    #[serde(rename = "Closing")]
    ShuttingDown,
}

/// The final answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The response of the worker.
    Served,
    /// The status that the function itself returned, forwarded unchanged.
    #[serde(rename = "Passed")]
    WorkerStatus,
    /// The client may safely retry: nothing ran, or running twice is harmless.
    Refused {
        /// How long the client should wait before a retry, microseconds; 0 gives no advice.
        #[serde(rename = "stay_away")]
        retry_after: Micros,
    },
    /// The call failed and may have run.
    Failed(FailureReason),
    /// The function does not exist.
    #[serde(rename = "Unknown")]
    UnknownFunction,
}

/// An instruction to the driver. Commands are executed in the order in which they were appended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Start an attempt: send the call to a worker.
    #[serde(rename = "Open")]
    SendAttempt {
        /// The call.
        call: CallId,
        /// The number of the attempt, from 0.
        attempt: u32,
        /// The name of the worker.
        worker: String,
        /// Remaining time until the deadline of the call, microseconds.
        budget: Micros,
    },
    /// Cancel an attempt: reset its stream, then report [`Input::AttemptEnded`].
    #[serde(rename = "Withdraw")]
    CancelAttempt {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u32,
    },
    /// If the HEADERS of an attempt were sent, report [`Input::AttemptSent`]; otherwise cancel the attempt.
    #[serde(rename = "Confirm")]
    ConfirmSent {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u32,
    },
    /// Forward the response message of the current input to the client.
    #[serde(rename = "Pass")]
    ForwardMessage {
        /// The call.
        call: CallId,
    },
    /// Send the client the final answer. Given once per call.
    Answer {
        /// The call.
        call: CallId,
        /// The answer.
        answer: Answer,
    },
    /// Close the client's connection once the answer that follows has been written: another client needs it.
    CloseAfterAnswer {
        /// The call.
        call: CallId,
    },
    /// Ask a worker for a load report.
    Probe {
        /// The request.
        #[serde(rename = "order")]
        request: ControlRequestId,
        /// The worker.
        worker: String,
    },
    /// Have a worker keep at least this many instances loaded; 0 only queries how many are loaded.
    Load {
        /// The request.
        #[serde(rename = "order")]
        request: ControlRequestId,
        /// The worker.
        worker: String,
        /// The function.
        function: String,
        /// The number of instances.
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
    /// If nothing of a control request was sent, withdraw it and report [`Input::ControlRequestEnded`].
    #[serde(rename = "Recall")]
    RecallUnsent {
        /// The request.
        #[serde(rename = "order")]
        request: ControlRequestId,
    },
    /// Cancel a control request, then report [`Input::ControlRequestEnded`].
    #[serde(rename = "WithdrawOrder")]
    CancelControlRequest {
        /// The request.
        #[serde(rename = "order")]
        request: ControlRequestId,
    },
    /// Drop the connection to a worker at once, because it accepts no data.
    #[serde(rename = "Drop")]
    DropConnection {
        /// The worker.
        worker: String,
    },
    /// The worker is gone: close its connection once it is idle.
    #[serde(rename = "Retire")]
    RetireWorker {
        /// The worker.
        worker: String,
    },
    /// Notify the operator that loads at a worker leave no instance.
    #[serde(rename = "Tell")]
    ReportLoadFailures {
        /// The worker.
        worker: String,
        /// The function of the last failed load.
        function: String,
        /// How that load ended.
        #[serde(rename = "seen")]
        outcome: AttemptOutcome,
        /// Failed loads since the last successful one.
        #[serde(rename = "count")]
        failed_loads: u64,
    },
    /// Fetch the full worker list once.
    #[serde(rename = "FetchList")]
    FetchWorkerList,
    /// Subscribe to changes of the worker list.
    #[serde(rename = "Subscribe")]
    SubscribeWorkerList,
}
