//! Final answers as their clients read them.

use super::*;

#[test]
fn a_refusal_says_when_to_come_back_in_both_forms() {
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
fn a_failure_promises_nothing_and_asks_for_no_repeat() {
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
