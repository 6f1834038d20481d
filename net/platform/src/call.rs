//! The context of an accepted call: what its attempts send, and how its response reaches the client.

use crate::limits::ServingLimits;
use crate::response_slot::{FinalResponse, ResponseSlot};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;
use tansy_dispatch::{Answer, AttemptOutcome, CallId};
use tansy_platform::request::CallRequest;
use tansyrouter::Micros;

/// The state of a call, kept until it is answered and its attempts have ended.
pub struct CallContext {
    /// The client's request.
    pub request: CallRequest,
    /// The client's body, forwarded unchanged.
    pub body: Vec<u8>,
    /// Receives the response.
    pub slot: Rc<ResponseSlot>,
    /// Connections already used by its attempts. Answers carry only the request id, so a retry on the same connection
    /// could receive the answer to an earlier attempt.
    pub used_connections: RefCell<Vec<u64>>,
    /// The body of the worker's answer, held until the dispatcher answers the call.
    pub response_body: RefCell<Option<Vec<u8>>>,
    /// The outcome of its latest attempt.
    pub last_outcome: Cell<Option<AttemptOutcome>>,
    /// Time between its arrival and its acceptance, microseconds.
    pub waited: Micros,
    /// When it was accepted.
    pub accepted_at: Instant,
}

impl CallContext {
    /// The request id as text, for logs.
    pub fn request_id(&self) -> &str {
        std::str::from_utf8(&self.request.id).unwrap_or("")
    }

    /// Sends the client its final response.
    pub fn respond(&self, answer: Answer) {
        let body = self.response_body.borrow_mut().take();
        let (status, retry_after, body) = match answer {
            Answer::Served => match body {
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
    /// The call's id in the dispatcher.
    pub call: CallId,
    /// The attempt's number within its call.
    pub number: u32,
    /// The call's context.
    pub context: Rc<CallContext>,
}

impl Attempt {
    /// Encodes the attempt for a worker that has `patience` microseconds to answer.
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
