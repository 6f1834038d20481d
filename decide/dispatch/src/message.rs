//! What a front is told and what it wants done.

use crate::outcome::{Seen, Told};
use serde::{Deserialize, Serialize};
use tansyrouter::Span;

/// A call's number at this front end; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// The number of a probe or an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderId(pub u64);

/// What a call tells of its function, where functions are not named in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shape {
    /// Calls that one instance runs at a time.
    pub lanes: u32,
    /// Memory of one instance, MB.
    pub memory_mb: f64,
    /// Usual time of a load, microseconds, if told.
    pub load_time: Option<Span>,
}

/// What is known of a function that the settings in use don't name.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Found {
    /// Its calls are taken.
    Acts {
        /// Its class, for calls that name none.
        class: usize,
        /// Its shape.
        shape: Shape,
    },
    /// Its calls are refused: front ends can't know that they agree on it.
    Refused,
    /// There is no such function.
    Unknown,
    /// Nothing yet: its calls wait.
    Wait,
}

/// A call as its protocol told it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Its number.
    pub call: CallId,
    /// The function's name.
    pub function: String,
    /// Its class, if the call names one that exists; else the function's.
    pub class: Option<usize>,
    /// Its tenant; 0 if it names none.
    pub tenant: usize,
    /// What its client gives it, microseconds; none: the class's deadline.
    pub budget: Option<Span>,
    /// Its work, roughly, microseconds.
    pub hint: Option<Span>,
    /// The client marked it as a repeat.
    pub repeat: bool,
    /// What it tells of its function; a function that the settings don't name is learned from it.
    #[serde(default)]
    pub shape: Option<Shape>,
    /// It names a class or a tenant that the settings don't know.
    #[serde(default)]
    pub unlisted: bool,
    /// How long it may have waited already before it was read, microseconds: its time counts from its last byte.
    #[serde(default)]
    pub waited: Span,
}

/// One line of a list of workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    /// The worker's name: the same at every front end.
    pub name: String,
    /// Its machine kind.
    pub kind: usize,
    /// Its cell.
    pub cell: u64,
    /// Its zone.
    pub zone: usize,
    /// `0` ready, `1` draining, `2` gone.
    pub state: u8,
    /// How long ago it started, microseconds, if told.
    pub age: Option<Span>,
    /// A figure to compare its size with others'.
    pub share: f64,
}

/// What a front is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// The whole list of workers (`whole`), or changes to it.
    Workers {
        /// A worker not named is gone.
        whole: bool,
        /// The entries.
        list: Vec<Listed>,
    },
    /// Asking for the list failed.
    ListFailed,
    /// A call came in.
    Call(Call),
    /// The HEADERS of an attempt have left: asked for by `Confirm`, and implied by whatever comes back.
    Opened {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u32,
    },
    /// A piece of a streamed answer came.
    Piece {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u32,
        /// It is the last one.
        last: bool,
    },
    /// An attempt ended: exactly one for each `Open`.
    Ended {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u32,
        /// How.
        seen: Seen,
        /// What its trailers told.
        told: Told,
    },
    /// The client cancelled, or its connection ended.
    ClientLeft {
        /// The call.
        call: CallId,
    },
    /// A probe or order ended: exactly one for each.
    OrderEnded {
        /// Which.
        order: OrderId,
        /// How.
        seen: Seen,
        /// What its trailers told.
        told: Told,
    },
    /// Time has passed.
    Tick,
    /// Calls are no longer taken; those still open after `within` fail.
    Close {
        /// Microseconds from now.
        within: Span,
    },
    /// A call came in whose function the settings in use don't name, and was looked up.
    Looked {
        /// The call.
        call: Call,
        /// What was found of its function.
        found: Found,
    },
    /// Something was found of a function whose calls wait for it.
    Found {
        /// The function.
        function: String,
        /// What.
        found: Found,
    },
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Why {
    /// Its time is up.
    Deadline,
    /// A worker's connection was lost while the call may have been running.
    Lost,
    /// A worker failed.
    Worker,
    /// The front end closes.
    Closing,
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// What the attempt brought.
    Served,
    /// The worker's status as it came: the function's own verdict.
    Passed,
    /// Trying again is harmless.
    Refused {
        /// Advice to wait so long, microseconds; 0: none.
        stay_away: Span,
    },
    /// Nothing is promised.
    Failed(Why),
    /// No such function.
    Unknown,
}

/// What a front wants done, in this order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Open an attempt: send the call's request to the worker.
    Open {
        /// The call.
        call: CallId,
        /// The attempt's number, from 0.
        attempt: u32,
        /// The worker's name.
        worker: String,
        /// What is left of the call's time, microseconds.
        budget: Span,
    },
    /// Close an attempt: reset its stream, then report its end.
    Withdraw {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u32,
    },
    /// If the HEADERS of an attempt have left, say so (`Opened`); if not, withdraw it.
    Confirm {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u32,
    },
    /// Pass the piece just told on to the client.
    Pass {
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
        /// The probe.
        order: OrderId,
        /// The worker.
        worker: String,
    },
    /// Have a worker hold at least so many instances; 0 only asks.
    Load {
        /// The order.
        order: OrderId,
        /// The worker.
        worker: String,
        /// The function.
        function: String,
        /// How many.
        instances: u32,
    },
    /// Have a worker unload idle instances.
    Unload {
        /// The order.
        order: OrderId,
        /// The worker.
        worker: String,
        /// The function.
        function: String,
    },
    /// If nothing of an order has left, take it back, then report its end.
    Recall {
        /// Which.
        order: OrderId,
    },
    /// Give up on a probe or an order, then report its end.
    WithdrawOrder {
        /// Which.
        order: OrderId,
    },
    /// Drop the connection to a worker at once: it takes nothing.
    Drop {
        /// The worker.
        worker: String,
    },
    /// The worker has left: close its connection once nothing is open on it.
    Retire {
        /// The worker.
        worker: String,
    },
    /// Tell the operator: a worker's orders leave nothing.
    Tell {
        /// The worker.
        worker: String,
        /// The function of the last one.
        function: String,
        /// How that one ended.
        seen: Seen,
        /// Orders in vain since the last one that left an instance.
        count: u64,
    },
    /// Fetch the whole list once.
    FetchList,
    /// Have changes of the list sent from here on.
    Subscribe,
}
