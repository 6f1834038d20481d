//! What the auditor keeps of connections, streams, calls and attempts, and how it reads their fields.

use crate::record::Link;
use crate::report::{CallEnd, CallHistory};
use crate::wire::Direction;
use std::collections::BTreeMap;
use tansy_inference::inference as pb;

/// One attempt of a call at a worker.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub front: usize,
    pub worker: usize,
    pub sent_at: i64,
    pub ended_at: Option<i64>,
    /// Whether the worker is known not to have run it.
    pub never_ran: bool,
    /// Whether any response headers or messages came.
    pub has_response: bool,
    pub work: i64,
    pub timeout: Option<i64>,
}

/// One call as its client sees it, with its attempts.
pub(super) struct Call {
    pub front: usize,
    pub at: i64,
    pub function: String,
    /// When its client's time is over.
    pub due: i64,
    pub end: CallEnd,
    pub ended_at: Option<i64>,
    pub final_answers: usize,
    pub attempts: Vec<Attempt>,
}

impl Call {
    /// Ends it, if it hasn't ended yet.
    pub fn finish(&mut self, end: CallEnd, at: i64) {
        if self.end == CallEnd::Open {
            self.end = end;
            self.ended_at = Some(at);
        }
    }

    /// The last attempt that was sent on a stream which began then.
    pub fn last_attempt_since(&self, began: i64) -> Option<&Attempt> {
        self.attempts.iter().rfind(|a| a.sent_at >= began)
    }

    /// The same, to be changed.
    pub fn last_attempt_since_mut(&mut self, began: i64) -> Option<&mut Attempt> {
        self.attempts.iter_mut().rfind(|a| a.sent_at >= began)
    }

    /// Its history under that id.
    pub fn history(&self, id: &str) -> CallHistory {
        let attempts = self.attempts.iter();
        CallHistory {
            id: id.to_string(),
            front: self.front,
            at: self.at,
            function: self.function.clone(),
            end: self.end,
            attempts: attempts
                .map(|a| (a.sent_at, a.timeout, a.never_ran))
                .collect(),
        }
    }
}

/// One HTTP/2 stream of a connection.
#[derive(Default)]
pub(super) struct Stream {
    /// The method's name, without its service.
    pub method: String,
    pub timeout: Option<i64>,
    /// The calls that were sent on it.
    pub call_ids: Vec<String>,
    pub answered: bool,
    pub began: i64,
    pub closed: bool,
}

impl Stream {
    /// Whether it carries calls.
    pub fn is_inference(&self) -> bool {
        self.method == "ModelInfer" || self.method == "ModelStreamInfer"
    }
}

/// One connection through the relay.
pub(super) struct Connection {
    pub link: Link,
    pub opened: i64,
    /// From the side that connected.
    pub upstream: Direction,
    /// To the side that connected.
    pub downstream: Direction,
    pub streams: BTreeMap<u32, Stream>,
}

impl Connection {
    /// A connection that has just been made.
    pub fn new(link: Link, opened: i64) -> Connection {
        Connection {
            link,
            opened,
            upstream: Direction::new(true),
            downstream: Direction::new(false),
            streams: BTreeMap::new(),
        }
    }
}

/// A parameter's whole number.
pub(super) fn integer_parameter(parameter: Option<&pb::InferParameter>) -> Option<i64> {
    use pb::infer_parameter::ParameterChoice::{Int64Param, Uint64Param};
    match parameter?.parameter_choice.as_ref()? {
        Int64Param(number) => Some(*number),
        Uint64Param(number) => i64::try_from(*number).ok(),
        _ => None,
    }
}

/// A `grpc-timeout` header in microseconds.
pub(super) fn parse_timeout(text: &str) -> Option<i64> {
    let (digits, unit) = text.split_at(text.len().checked_sub(1)?);
    let count: i64 = digits.parse().ok()?;
    Some(match unit {
        "H" => count.saturating_mul(3_600_000_000),
        "M" => count.saturating_mul(60_000_000),
        "S" => count.saturating_mul(1_000_000),
        "m" => count.saturating_mul(1000),
        "u" => count,
        "n" => count / 1000,
        _ => return None,
    })
}

/// The first header of that name.
pub(super) fn header<'a>(fields: &'a [(String, String)], name: &str) -> Option<&'a str> {
    fields
        .iter()
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.as_str())
}
