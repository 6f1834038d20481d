//! Tests the conversion of a worker's answer to an outcome and trailers.

use tansy_dispatch::outcome::classify;
use tansy_dispatch::{AttemptOutcome, CacheStatus, ResponseStage};
use tansy_platform::{parse_answer, AnswerError, WorkerReply};

const TAG: &[u8] = b"9b1f03aa5c7e2d41";
const BODY: &[u8] = b"body";

/// The reply of an answer with this status word and these fields.
fn read(word: &[u8], fields: &[u8], reports_concurrency: bool) -> WorkerReply {
    let answer = parse_answer(&[TAG, word, fields, BODY], reports_concurrency).unwrap();
    assert_eq!((answer.tag, answer.body), (TAG, BODY));
    answer.reply
}

#[test]
fn fields_are_read_as_trailers_and_load_report() {
    let reply = read(
        b"200",
        b"n=ready,peers_in=3,l=inflight:7;util:0.61;x0:0.5;x1:2",
        true,
    );
    assert_eq!(
        reply.outcome,
        AttemptOutcome::Status {
            code: 0,
            stage: ResponseStage::Last
        }
    );
    assert_eq!(
        (
            reply.trailers.cache_status,
            reply.trailers.concurrent_calls,
            reply.trailers.never_ran
        ),
        (CacheStatus::Warm, Some(3), None)
    );
    let report = reply.trailers.report.unwrap();
    assert_eq!(
        (
            report.in_flight,
            report.busy,
            report.memory_pinned,
            report.loads
        ),
        (Some(7.0), Some(0.61), Some(0.5), Some(2.0))
    );
    assert_eq!(read(b"200", b"-", true).trailers.concurrent_calls, Some(0));
    assert_eq!(
        read(b"200", b"replicas=2", false).trailers.instances,
        Some(2)
    );
}

#[test]
fn alive_answers_a_probe_and_serves_no_attempt() {
    let answer = parse_answer(&[b"o7", b"alive", b"-", b""], true).unwrap();
    assert!(answer.answers_probe);
    let attempt = classify(answer.reply.outcome, &answer.reply.trailers).outcome;
    assert_eq!(attempt, tansyrouter::Outcome::Error);
    let other = parse_answer(&[b"o7", b"200", b"-", b""], true).unwrap();
    assert!(!other.answers_probe);
}

#[test]
fn only_404_503_and_504_guarantee_that_nothing_ran() {
    for (word, never) in [
        ("200", false),
        ("404", true),
        ("503", true),
        ("504", true),
        ("500", false),
        ("x", false),
    ] {
        let reply = read(word.as_bytes(), b"n=no_image", false);
        assert_eq!(
            classify(reply.outcome, &reply.trailers).outcome.never_ran(),
            never,
            "{word}"
        );
    }
}

#[test]
fn an_answer_needs_exactly_four_strings() {
    let strings: [&[u8]; 5] = [TAG, b"200", b"-", BODY, b"more"];
    for length in [0, 1, 2, 3, 5] {
        assert_eq!(
            parse_answer(&strings[..length], true),
            Err(AnswerError::Length { length }),
            "no part of an answer has a default"
        );
    }
    let empty = parse_answer(&[TAG, b"200", b"-", b""], true);
    assert_eq!(empty.map(|answer| answer.body), Ok(&b""[..]));
}

#[test]
fn malformed_fields_are_not_taken_for_absent_ones() {
    let malformed: [&[u8]; 5] = [b"", b"\xff\xfe", b"n=ready,", b"ready", b"n=ready,-"];
    for fields in malformed {
        assert_eq!(
            parse_answer(&[TAG, b"200", fields, BODY], true),
            Err(AnswerError::Fields),
            "{fields:?}"
        );
    }
    for (fields, name) in [
        ("peers_in=many", "peers_in"),
        ("peers_in=-1", "peers_in"),
        ("replicas=", "replicas"),
        ("replicas=99999999999", "replicas"),
    ] {
        assert_eq!(
            parse_answer(&[TAG, b"200", fields.as_bytes(), BODY], true),
            Err(AnswerError::Number { name }),
            "{fields}"
        );
    }
}
