//! The actions that a router asks for.

use crate::id::{FunctionId, RequestId, WorkerId};
use crate::time::{Micros, Time};

/// Something that the caller has to do. Actions are carried out in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the worker, as its next attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The worker to send it to.
        worker: WorkerId,
        /// When to abandon the attempt; none: at the client's deadline.
        abandon_at: Option<Time>,
    },
    /// Final answer: refused. The client may safely try again.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client is advised to wait before it tries again; 0: no advice.
        retry_after: Micros,
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
    /// Ask a worker for a report of its load.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Have a worker keep at least so many instances loaded; 0 only asks how many there are.
    Load {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// The number of instances.
        instances: u32,
    },
    /// Have a worker unload idle instances.
    Unload {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
    },
    /// Ask for an [`Event::Timer`](crate::Event::Timer).
    SetTimer {
        /// When the timer is due.
        at: Time,
        /// Returned with the event.
        token: u64,
    },
    /// Ask once for the full list of workers.
    FetchList,
    /// Ask for the changes of the list from here on.
    Subscribe,
}
