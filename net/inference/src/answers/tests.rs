//! Tests that clients can read the retry advice in the trailers of refused and failed calls.

use super::*;

#[test]
fn a_refusal_states_its_retry_delay_as_pushback_and_as_retry_info() {
    let map = unary_trailers(
        Answer::Refused {
            retry_after: 1_500_001,
        },
        "f",
        None,
    );
    assert_eq!(map["grpc-status"], "14");
    assert_eq!(map[names::RETRY_PUSHBACK], "1501");
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
fn a_failure_tells_the_client_not_to_retry() {
    for (reason, code) in [
        (FailureReason::Deadline, "4"),
        (FailureReason::ConnectionLost, "10"),
        (FailureReason::WorkerFailed, "13"),
        (FailureReason::ShuttingDown, "10"),
    ] {
        let map = unary_trailers(Answer::Failed(reason), "f", None);
        assert_eq!(
            (
                map["grpc-status"].to_str().unwrap(),
                &map[names::RETRY_PUSHBACK]
            ),
            (code, &HeaderValue::from(-1))
        );
    }
}
