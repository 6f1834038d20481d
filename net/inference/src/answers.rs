//! Converts the dispatcher's final answers to gRPC trailers and in-band stream errors.

use crate::trailers::{forwarded_trailers, BINARY};
use base64::Engine as _;
use http::{HeaderMap, HeaderValue};
use prost::Message;
use tansy_dispatch::{Answer, FailureReason};
use tansy_frames::grpc::Code;
use tansy_inference::names;
use tansy_net_grpc::server::status_trailers;

/// `google.rpc.Status`.
#[derive(Clone, PartialEq, Message)]
struct Status {
    #[prost(int32, tag = "1")]
    code: i32,
    #[prost(string, tag = "2")]
    message: String,
    #[prost(message, repeated, tag = "3")]
    details: Vec<Any>,
}

/// `google.protobuf.Any`.
#[derive(Clone, PartialEq, Message)]
struct Any {
    #[prost(string, tag = "1")]
    type_url: String,
    #[prost(bytes = "vec", tag = "2")]
    value: Vec<u8>,
}

/// `google.rpc.RetryInfo`.
#[derive(Clone, PartialEq, Message)]
struct RetryInfo {
    #[prost(message, optional, tag = "1")]
    retry_delay: Option<Duration>,
}

/// `google.protobuf.Duration`.
#[derive(Clone, PartialEq, Message)]
struct Duration {
    #[prost(int64, tag = "1")]
    seconds: i64,
    #[prost(int32, tag = "2")]
    nanos: i32,
}

/// Converts microseconds to milliseconds, rounded up so that a client does not retry too early.
fn millis_rounded_up(micros: i64) -> i64 {
    micros.max(0).saturating_add(999) / 1000
}

/// The gRPC status code and the message of a failure.
fn failure_status(reason: FailureReason) -> (Code, &'static str) {
    match reason {
        FailureReason::Deadline => (
            Code::DeadlineExceeded,
            "failed: no answer within the call's time; it may have run",
        ),
        FailureReason::ConnectionLost => (
            Code::Aborted,
            "failed: the worker's connection was lost; the call may have run",
        ),
        FailureReason::WorkerFailed => (
            Code::Internal,
            "failed: the worker failed; the call may have run",
        ),
        FailureReason::ShuttingDown => (
            Code::Aborted,
            "failed: this front end is closing; the call may have run",
        ),
    }
}

/// The status message of a refused call.
pub const REFUSAL: &str =
    "refused: no worker could take the call in its time; it did not run, or a repeat is harmless";

/// The trailers of a unary call's final answer. `Served` and `WorkerStatus` forward the worker's trailers.
pub fn unary_trailers(answer: Answer, model: &str, worker: Option<&HeaderMap>) -> HeaderMap {
    match answer {
        Answer::Served | Answer::WorkerStatus => worker
            .map(forwarded_trailers)
            .unwrap_or_else(|| status_trailers(Code::Ok, "")),
        Answer::Refused { retry_after } => refusal_trailers(retry_after),
        Answer::Failed(reason) => {
            let (code, text) = failure_status(reason);
            no_retry_trailers(code, text)
        }
        Answer::UnknownFunction => {
            let text = format!("no function {model:?} in the settings");
            no_retry_trailers(Code::NotFound, &text)
        }
    }
}

/// A status whose pushback tells the client not to retry.
fn no_retry_trailers(code: Code, text: &str) -> HeaderMap {
    let mut map = status_trailers(code, text);
    map.insert(names::RETRY_PUSHBACK, HeaderValue::from(-1));
    map
}

/// A refusal that states its retry delay twice: as gRPC retry pushback and as `google.rpc.RetryInfo`.
fn refusal_trailers(retry_after: i64) -> HeaderMap {
    let mut map = status_trailers(Code::Unavailable, REFUSAL);
    map.insert(
        names::RETRY_PUSHBACK,
        HeaderValue::from(millis_rounded_up(retry_after)),
    );
    let delay = Duration {
        seconds: retry_after / 1_000_000,
        nanos: (retry_after % 1_000_000) as i32 * 1000,
    };
    let info = RetryInfo {
        retry_delay: Some(delay),
    };
    let detail = Any {
        type_url: "type.googleapis.com/google.rpc.RetryInfo".into(),
        value: info.encode_to_vec(),
    };
    let status = Status {
        code: i32::from(Code::Unavailable.number()),
        message: REFUSAL.into(),
        details: vec![detail],
    };
    if let Ok(value) = HeaderValue::from_str(&BINARY.encode(status.encode_to_vec())) {
        map.insert("grpc-status-details-bin", value);
    }
    map
}

/// A refusal or failure of a streamed call, sent to the client as a message of the stream.
pub struct StreamError {
    /// The error text.
    pub text: String,
    /// How long the client should wait before it retries; `None` for a failure.
    pub retry_after_ms: Option<i64>,
}

impl StreamError {
    fn failed(text: String) -> StreamError {
        StreamError {
            text,
            retry_after_ms: None,
        }
    }
}

/// The refusal or failure of a streamed call; `None` if it was served.
pub fn stream_error(
    answer: Answer,
    model: &str,
    worker: Option<&HeaderMap>,
) -> Option<StreamError> {
    match answer {
        Answer::Served => None,
        Answer::WorkerStatus => {
            let text = |key: &str| {
                let value = worker.and_then(|trailers| trailers.get(key));
                value.and_then(|v| v.to_str().ok()).unwrap_or("")
            };
            let code = text("grpc-status");
            let message = text("grpc-message");
            Some(StreamError::failed(format!(
                "failed: the function answered status {code}: {message}"
            )))
        }
        Answer::Refused { retry_after } => Some(StreamError {
            text: REFUSAL.into(),
            retry_after_ms: Some(millis_rounded_up(retry_after)),
        }),
        Answer::Failed(reason) => Some(StreamError::failed(failure_status(reason).1.into())),
        Answer::UnknownFunction => Some(StreamError::failed(format!(
            "failed: no function {model:?} in the settings"
        ))),
    }
}

#[cfg(test)]
mod tests;
