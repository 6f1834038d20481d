//! A worker's answer to what the ledger is told of it.
//!
//! | word | as | it can have run |
//! |---|---|---|
//! | `200` | OK with an answer | yes |
//! | `404` | the promise that it is not loaded | no |
//! | `503` | the promise that it was turned away | no |
//! | `504` | the promise that its time was over | no |
//! | `500`, and any other | an error | yes |

use tansy_dispatch::{AttemptOutcome, CacheStatus, LoadReport, NeverRan, ResponseStage, Trailers};

/// What an answer says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answered {
    /// How the attempt or order was seen to end.
    pub seen: AttemptOutcome,
    /// What came with it.
    pub told: Trailers,
}

/// gRPC's numbers, in which the ledger is told of statuses.
const OK: u8 = 0;
const INTERNAL: u8 = 13;
const UNAVAILABLE: u8 = 14;

/// Reads an answer's word and fields. `crowd`: the settings say that answers tell of other calls.
pub fn answer(word: &[u8], fields: &[u8], crowd: bool) -> Answered {
    let mut told = Trailers {
        concurrent_calls: crowd.then_some(0),
        ..Trailers::default()
    };
    let text = std::str::from_utf8(fields).unwrap_or("-");
    for (name, value) in text.split(',').filter_map(|f| f.split_once('=')) {
        match name {
            "n" => {
                told.cache_status = match value {
                    "ready" => CacheStatus::Warm,
                    "loaded" => CacheStatus::StartedLoad,
                    "queued" => CacheStatus::AwaitedLoad,
                    "no_image" => CacheStatus::LoadFailed,
                    _ => CacheStatus::Unreported,
                }
            }
            "peers_in" if crowd => {
                told.concurrent_calls = value.parse().ok().or(told.concurrent_calls)
            }
            "replicas" => told.instances = value.parse().ok(),
            "l" => told.report = Some(report(value)),
            _ => {}
        }
    }
    let (code, stage, never_ran) = match word {
        b"200" => (OK, ResponseStage::Last, None),
        b"404" => (
            UNAVAILABLE,
            ResponseStage::Headers,
            Some(NeverRan::NotLoaded),
        ),
        b"503" => (
            UNAVAILABLE,
            ResponseStage::Headers,
            Some(NeverRan::TurnedAway),
        ),
        b"504" => (UNAVAILABLE, ResponseStage::Headers, Some(NeverRan::Expired)),
        _ => (INTERNAL, ResponseStage::Headers, None),
    };
    Answered {
        seen: AttemptOutcome::Status { code, stage },
        told: Trailers { never_ran, ..told },
    }
}

/// A load report: `name:value;name:value`, with the settings' names or the simulator's.
fn report(text: &str) -> LoadReport {
    let fields = text.split(';').filter_map(|f| f.split_once(':'));
    let fields = fields.map(|(name, value)| {
        let name = match name {
            "queue" => "depth",
            "inflight" => "concurrent",
            "util" => "load_share",
            "latency_ms" => "mean_ms",
            "qps" => "tps",
            "eps" => "err_ps",
            other => other,
        };
        (name, value.parse::<f64>().ok().filter(|x| x.is_finite()))
    });
    let r = tansy_conf::report(fields);
    LoadReport {
        queued: r.queued,
        in_flight: r.held,
        busy: r.busy,
        memory_pinned: r.memory_pinned,
        loads: r.loads,
        mean_ms: r.mean_ms,
        served_per_s: r.served_per_s,
        errors_per_s: r.errors_per_s,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_answer_tells_of_its_instance_and_its_worker() {
        let a = answer(
            b"200",
            b"n=ready,peers_in=3,l=inflight:7;util:0.61;x0:0.5;x1:2",
            true,
        );
        assert_eq!(
            a.seen,
            AttemptOutcome::Status {
                code: OK,
                stage: ResponseStage::Last
            }
        );
        assert_eq!(
            (
                a.told.cache_status,
                a.told.concurrent_calls,
                a.told.never_ran
            ),
            (CacheStatus::Warm, Some(3), None)
        );
        let r = a.told.report.unwrap();
        assert_eq!(
            (r.in_flight, r.busy, r.memory_pinned, r.loads),
            (Some(7.0), Some(0.61), Some(0.5), Some(2.0))
        );
        assert_eq!(answer(b"200", b"-", true).told.concurrent_calls, Some(0));
        assert_eq!(answer(b"200", b"replicas=2", false).told.instances, Some(2));
    }

    #[test]
    fn only_the_pages_words_promise_that_nothing_ran() {
        use tansy_dispatch::outcome::classify;
        for (word, never) in [
            ("200", false),
            ("404", true),
            ("503", true),
            ("504", true),
            ("500", false),
            ("x", false),
        ] {
            let a = answer(word.as_bytes(), b"n=no_image", false);
            assert_eq!(
                classify(a.seen, &a.told).outcome.never_ran(),
                never,
                "{word}"
            );
        }
    }
}
