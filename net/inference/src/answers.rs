//! The ledger's final answers in gRPC's terms.

use crate::trailers::BINARY;
use base64::Engine as _;
use http::{HeaderMap, HeaderValue};
use prost::Message;
use tansy_dispatch::{Answer, FailureReason};
use tansy_frames::grpc::Code;
use tansy_inference::names;
use tansy_net_grpc::server::trailers;

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

/// A span in whole milliseconds, rounded up: earlier would be too early.
pub fn millis(span: i64) -> i64 {
    span.max(0).saturating_add(999) / 1000
}

/// What a failure says, and its code.
pub fn failure(why: FailureReason) -> (Code, &'static str) {
    match why {
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

/// What a refusal says.
pub const REFUSAL: &str =
    "refused: no worker could take the call in its time; it did not run, or a repeat is harmless";

/// The trailers of a unary call's final answer; of `Served` and `Passed` the worker's own.
pub fn unary(answer: Answer, model: &str, worker: Option<&HeaderMap>) -> HeaderMap {
    match answer {
        Answer::Served | Answer::WorkerStatus => worker
            .map(crate::trailers::answer)
            .unwrap_or_else(|| trailers(Code::Ok, "")),
        Answer::Refused {
            retry_after: stay_away,
        } => {
            let mut map = trailers(Code::Unavailable, REFUSAL);
            map.insert(names::PUSHBACK, HeaderValue::from(millis(stay_away)));
            let delay = Duration {
                seconds: stay_away / 1_000_000,
                nanos: (stay_away % 1_000_000) as i32 * 1000,
            };
            let detail = Any {
                type_url: "type.googleapis.com/google.rpc.RetryInfo".into(),
                value: RetryInfo {
                    retry_delay: Some(delay),
                }
                .encode_to_vec(),
            };
            let code = i32::from(Code::Unavailable.number());
            let status = Status {
                code,
                message: REFUSAL.into(),
                details: vec![detail],
            };
            if let Ok(value) = HeaderValue::from_str(&BINARY.encode(status.encode_to_vec())) {
                map.insert("grpc-status-details-bin", value);
            }
            map
        }
        Answer::Failed(why) => {
            let (code, text) = failure(why);
            let mut map = trailers(code, text);
            map.insert(names::PUSHBACK, HeaderValue::from(-1));
            map
        }
        Answer::UnknownFunction => {
            let mut map = trailers(
                Code::NotFound,
                &format!("no function {model:?} in the settings"),
            );
            map.insert(names::PUSHBACK, HeaderValue::from(-1));
            map
        }
    }
}

/// The text of a streamed call's refusal or failure, with its advice in milliseconds; none: it was served.
pub fn streamed(
    answer: Answer,
    model: &str,
    worker: Option<&HeaderMap>,
) -> Option<(String, Option<i64>)> {
    match answer {
        Answer::Served => None,
        Answer::WorkerStatus => {
            let text = |key: &str| {
                worker
                    .and_then(|m| m.get(key))
                    .and_then(|v| v.to_str().ok())
                    .unwrap_or("")
            };
            let (code, message) = (text("grpc-status"), text("grpc-message"));
            Some((
                format!("failed: the function answered status {code}: {message}"),
                None,
            ))
        }
        Answer::Refused {
            retry_after: stay_away,
        } => Some((REFUSAL.into(), Some(millis(stay_away)))),
        Answer::Failed(why) => Some((failure(why).1.into(), None)),
        Answer::UnknownFunction => Some((
            format!("failed: no function {model:?} in the settings"),
            None,
        )),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_refusal_tells_when_to_come_back_in_both_forms() {
        let map = unary(
            Answer::Refused {
                retry_after: 1_500_001,
            },
            "f",
            None,
        );
        assert_eq!(map["grpc-status"], "14");
        assert_eq!(map[names::PUSHBACK], "1501");
        let details = BINARY
            .decode(map["grpc-status-details-bin"].as_bytes())
            .unwrap();
        let status = Status::decode(&details[..]).unwrap();
        let info = RetryInfo::decode(&status.details[0].value[..]).unwrap();
        assert_eq!(
            info.retry_delay,
            Some(Duration {
                seconds: 1,
                nanos: 500_001_000
            })
        );
    }

    #[test]
    fn a_failure_promises_nothing_and_asks_for_no_repeat() {
        for (why, code) in [
            (FailureReason::Deadline, "4"),
            (FailureReason::ConnectionLost, "10"),
            (FailureReason::WorkerFailed, "13"),
            (FailureReason::ShuttingDown, "10"),
        ] {
            let map = unary(Answer::Failed(why), "f", None);
            assert_eq!(
                (map["grpc-status"].to_str().unwrap(), &map[names::PUSHBACK]),
                (code, &HeaderValue::from(-1))
            );
        }
    }
}
