//! The auditor's records of connections, streams, calls and attempts, and parsers for their fields.

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
    /// Whether the worker is known not to have run the attempt.
    pub never_ran: bool,
    /// Whether response headers or messages arrived.
    pub has_response: bool,
    /// The requested work, microseconds.
    pub work: i64,
    /// The timeout passed to the worker, microseconds.
    pub timeout: Option<i64>,
}

/// A call as seen by its client, with its attempts.
pub(super) struct Call {
    pub front: usize,
    pub at: i64,
    pub function: String,
    /// When the client's timeout expires.
    pub due: i64,
    pub end: CallEnd,
    pub ended_at: Option<i64>,
    pub final_answers: usize,
    pub attempts: Vec<Attempt>,
}

impl Call {
    /// Ends the call, unless it has ended before.
    pub fn finish(&mut self, end: CallEnd, at: i64) {
        if self.end == CallEnd::Open {
            self.end = end;
            self.ended_at = Some(at);
        }
    }

    /// The last attempt that was sent at or after `began`, the start of a stream.
    pub fn last_attempt_since(&self, began: i64) -> Option<&Attempt> {
        self.attempts.iter().rfind(|a| a.sent_at >= began)
    }

    /// Mutable variant of [`Call::last_attempt_since`].
    pub fn last_attempt_since_mut(&mut self, began: i64) -> Option<&mut Attempt> {
        self.attempts.iter_mut().rfind(|a| a.sent_at >= began)
    }

    /// The call's history, as call `id`.
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
    /// The method's name without the service.
    pub method: String,
    /// The value of `grpc-timeout`, microseconds.
    pub timeout: Option<i64>,
    /// The ids of the calls that were sent on the stream.
    pub call_ids: Vec<String>,
    pub answered: bool,
    pub began: i64,
    pub closed: bool,
}

impl Stream {
    /// Whether the stream's method carries calls.
    pub fn is_inference(&self) -> bool {
        self.method == "ModelInfer" || self.method == "ModelStreamInfer"
    }
}

/// A connection through the proxy.
pub(super) struct Connection {
    pub link: Link,
    pub opened: i64,
    /// Decoder for the direction from the side that connected.
    pub upstream: Direction,
    /// Decoder for the direction to the side that connected.
    pub downstream: Direction,
    pub streams: BTreeMap<u32, Stream>,
}

impl Connection {
    /// Creates the record of a connection opened at `opened`.
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

/// The value of an integer parameter.
pub(super) fn integer_parameter(parameter: Option<&pb::InferParameter>) -> Option<i64> {
    use pb::infer_parameter::ParameterChoice::{Int64Param, Uint64Param};
    match parameter?.parameter_choice.as_ref()? {
        Int64Param(number) => Some(*number),
        Uint64Param(number) => i64::try_from(*number).ok(),
        _ => None,
    }
}

/// Parses a `grpc-timeout` header to microseconds.
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

/// The value of the first header called `name`.
pub(super) fn header<'a>(fields: &'a [(String, String)], name: &str) -> Option<&'a str> {
    fields
        .iter()
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.as_str())
}
