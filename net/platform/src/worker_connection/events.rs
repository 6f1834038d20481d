//! The events that a connection to a worker reports, and the trait of their handler.

use crate::call::Attempt;
use crate::limits::ServingLimits;
use std::rc::Rc;
use tansy_dispatch::{AttemptOutcome, ControlRequestId, DenialReason, Trailers};
use tansy_net_sockets::Spawner;
use tansyrouter::{Micros, Time};

/// An event of a connection. The handler runs before the connection continues, so events arrive in the order in which
/// they happened.
pub enum ConnectionEvent<'a> {
    /// The first byte of an attempt was sent. The connection's state is borrowed during this event: the handler must
    /// not call into the connection.
    AttemptStarted {
        /// The attempt.
        attempt: &'a Attempt,
        /// The time at which the attempt was checked and encoded.
        now: Time,
        /// The time that the worker has to answer, microseconds.
        patience: Micros,
        /// The worker.
        worker: &'a str,
        /// The connection's serial number.
        connection: u64,
    },
    /// An attempt was cancelled before its first byte was sent, because [`ConnectionHandler::may_send`] denied it.
    AttemptDenied {
        /// The attempt.
        attempt: &'a Attempt,
        /// Why it was denied.
        reason: DenialReason,
    },
    /// A worker answered an attempt.
    AttemptAnswered {
        /// The attempt.
        attempt: &'a Attempt,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Metadata of the answer.
        trailers: Trailers,
        /// The body of the answer.
        body: Vec<u8>,
    },
    /// An attempt ended because its connection ended.
    AttemptLost {
        /// The attempt.
        attempt: &'a Attempt,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// The first byte of a control request was sent. As for [`ConnectionEvent::AttemptStarted`], the handler must not
    /// call into the connection.
    ControlStarted {
        /// The request.
        request: ControlRequestId,
        /// The worker.
        worker: &'a str,
    },
    /// A control request ended.
    ControlEnded {
        /// The request.
        request: ControlRequestId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Metadata of the answer.
        trailers: Trailers,
    },
    /// This machine lacks the descriptors, memory or ports to open the connection.
    OutOfResources,
    /// The connection has ended. An event for each request that was open on it follows.
    Closed {
        /// The worker.
        worker: &'a str,
        /// The connection's serial number.
        connection: u64,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The number of requests that were open on it.
        open_requests: usize,
    },
}

/// Handles the events of connections to workers, and provides what they need to run.
pub trait ConnectionHandler {
    /// Spawns tasks and timeouts.
    fn spawner(&self) -> &Spawner;
    /// The serving limits.
    fn limits(&self) -> &ServingLimits;
    /// The current time on the dispatcher's clock.
    fn now(&self) -> Time;
    /// Called before queued messages are checked and sent; applies pending input that could forbid them.
    fn before_sending(self: &Rc<Self>);
    /// Checks whether an attempt may be sent now, and returns the time that its worker has to answer. The check may
    /// end other attempts on the same connection.
    fn may_send(self: &Rc<Self>, attempt: &Attempt) -> Result<Micros, DenialReason>;
    /// The time that an attempt's worker has to answer when it is sent at `now`, microseconds.
    fn patience(&self, now: Time, attempt: &Attempt) -> Micros;
    /// Whether a control request may be sent now.
    fn may_start(&self, request: ControlRequestId) -> bool;
    /// Handles an event.
    fn on_event(self: &Rc<Self>, event: ConnectionEvent<'_>);
}
