//! A call on its way: what is sent for it, and how its response reaches its client.

use crate::limits::ServingLimits;
use crate::response_slot::{FinalResponse, ResponseSlot};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;
use tansy_dispatch::{Answer, AttemptOutcome, CallId};
use tansy_platform::request::CallRequest;
use tansyrouter::Micros;

/// What the front end holds of a call until it is answered and its attempts have ended.
pub struct CallContext {
    /// The client's request.
    pub request: CallRequest,
    /// The client's body, passed on as it came.
    pub body: Vec<u8>,
    /// Where its response goes.
    pub slot: Rc<ResponseSlot>,
    /// Connections that its attempts went out on: an answer there can't be told from an earlier attempt's.
    pub used_connections: RefCell<Vec<u64>>,
    /// The worker's body that the dispatcher has been informed of.
    pub staged_body: RefCell<Option<Vec<u8>>>,
    /// How its last attempt ended.
    pub last_outcome: Cell<Option<AttemptOutcome>>,
    /// How long it had waited when it was read, microseconds.
    pub waited: Micros,
    /// When it was read.
    pub accepted_at: Instant,
}

impl CallContext {
    /// The request's id, for logs.
    pub fn request_id(&self) -> &str {
        std::str::from_utf8(&self.request.id).unwrap_or("")
    }

    /// Gives the client its final answer.
    pub fn respond(&self, answer: Answer) {
        let staged = self.staged_body.borrow_mut().take();
        let (status, retry_after, body) = match answer {
            Answer::Served => match staged {
                Some(body) => (200, 0, body),
                None => (502, 0, Vec::new()),
            },
            Answer::Refused { retry_after } => (503, retry_after, Vec::new()),
            Answer::Failed(reason) => match reason {
                tansy_dispatch::FailureReason::Deadline => (504, 0, Vec::new()),
                _ => (502, 0, Vec::new()),
            },
            Answer::WorkerStatus => (500, 0, Vec::new()),
            Answer::UnknownFunction => (404, 0, Vec::new()),
        };
        self.slot.complete(FinalResponse {
            status,
            retry_after,
            body,
        });
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
    pub context: Rc<CallContext>,
}

impl Attempt {
    /// Its bytes, for a worker that is given `patience` microseconds.
    pub fn encode(&self, limits: &ServingLimits, patience: Micros) -> Vec<u8> {
        let request = &self.context.request;
        let class = limits.request_schema.class(request.class);
        let fields = request.fields(class, (patience / 1000).max(1));
        let mut bytes = Vec::new();
        tansy_resp::write_array(
            &mut bytes,
            &[b"fire", &request.id, fields.as_bytes(), &self.context.body],
        );
        bytes
    }
}
