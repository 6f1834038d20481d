//! The actions that a router requests.

use crate::id::{FunctionId, RequestId, WorkerId};
use crate::time::{Micros, Time};

/// An action for the caller to carry out. Actions are carried out in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the worker, as its next attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The worker to send it to.
        worker: WorkerId,
        /// When to abandon the attempt; `None` means the client's deadline.
        abandon_at: Option<Time>,
    },
    /// Final answer: refused. The client may safely retry.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it retries; 0 means no advice.
        retry_after: Micros,
    },
    /// Final answer: refused, as another client needs what the request holds. No attempt was sent.
    Shed {
        /// The request.
        request: RequestId,
    },
    /// Final answer: failed. The request may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Request a load report from a worker.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Request a worker to keep at least this many instances loaded; 0 only queries how many there are.
    Load {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// The number of instances.
        instances: u32,
    },
    /// Request a worker to unload idle instances.
    Unload {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
    },
    /// Request an [`Event::Timer`](crate::Event::Timer).
    SetTimer {
        /// When the timer is due.
        at: Time,
        /// Returned with the event.
        token: u64,
    },
    /// Fetch the full list of workers once.
    FetchList,
    /// Subscribe to changes of the list of workers.
    Subscribe,
}
