//! Tests the conversion of a worker's reply to an outcome and trailers.

use tansy_dispatch::outcome::classify;
use tansy_dispatch::{AttemptOutcome, CacheStatus, ResponseStage};
use tansy_platform::parse_reply;

#[test]
fn fields_are_read_as_trailers_and_load_report() {
    let reply = parse_reply(
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
    assert_eq!(
        parse_reply(b"200", b"-", true).trailers.concurrent_calls,
        Some(0)
    );
    assert_eq!(
        parse_reply(b"200", b"replicas=2", false).trailers.instances,
        Some(2)
    );
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
        let reply = parse_reply(word.as_bytes(), b"n=no_image", false);
        assert_eq!(
            classify(reply.outcome, &reply.trailers).outcome.never_ran(),
            never,
            "{word}"
        );
    }
}
