//! A call on its way: what is sent for it, and how its answer reaches its client.

use crate::client::Slot;
use crate::connection::Connection;
use crate::setup::Setup;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;
use tansy_dispatch::{Answer, AttemptOutcome, CallId};
use tansy_platform::call::Asked;
use tansyrouter::Span;

/// A call on its way.
pub struct CallIo {
    /// What its client asked for.
    pub asked: Asked,
    /// The client's body, passed on as it came.
    pub body: Vec<u8>,
    /// Where its answer goes.
    pub slot: Rc<Slot>,
    /// Connections that its attempts went out on: an answer there is not a later attempt's.
    pub used: RefCell<Vec<u64>>,
    /// Where its attempt is.
    pub at: RefCell<Option<Rc<Connection>>>,
    /// The answer that the ledger has been told of.
    pub staged: RefCell<Option<Vec<u8>>>,
    /// How its last attempt ended.
    pub last_end: Cell<Option<AttemptOutcome>>,
    /// How long it had waited when it was read, microseconds.
    pub waited: Span,
    /// When it was read.
    pub taken: Instant,
}

impl CallIo {
    /// The request's id, for logs.
    pub fn request(&self) -> &str {
        std::str::from_utf8(&self.asked.id).unwrap_or("")
    }
}

/// One attempt at a call.
#[derive(Clone)]
pub struct Attempt {
    /// The call.
    pub call: CallId,
    /// The attempt's number.
    pub number: u32,
    /// What is sent.
    pub io: Rc<CallIo>,
}

impl Attempt {
    /// Its bytes, when its worker has so long for it, microseconds.
    pub fn encode(&self, setup: &Setup, patience: Span) -> Vec<u8> {
        let asked = &self.io.asked;
        let fields = asked.fields(setup.shapes.class(asked.class), (patience / 1000).max(1));
        let mut bytes = Vec::new();
        tansy_resp::write(
            &mut bytes,
            &[b"fire", &asked.id, fields.as_bytes(), &self.io.body],
        );
        bytes
    }
}

/// Gives a call's client its final answer.
pub fn finish(io: &CallIo, answer: Answer) {
    let body = io.staged.borrow_mut().take();
    let (status, wait, body) = match answer {
        Answer::Served => match body {
            Some(body) => (200, 0, body),
            None => (502, 0, Vec::new()),
        },
        Answer::Refused {
            retry_after: stay_away,
        } => (503, stay_away, Vec::new()),
        Answer::Failed(why) => match why {
            tansy_dispatch::FailureReason::Deadline => (504, 0, Vec::new()),
            _ => (502, 0, Vec::new()),
        },
        Answer::WorkerStatus => (500, 0, Vec::new()),
        Answer::UnknownFunction => (404, 0, Vec::new()),
    };
    io.slot.give(status, wait, body);
}
