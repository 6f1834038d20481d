//! Converts a worker's reply to the outcome and trailers that the dispatcher expects.
//!
//! | status word | outcome | may have run |
//! |---|---|---|
//! | `200` | OK with a response | yes |
//! | `404` | never ran: the function is not loaded | no |
//! | `503` | never ran: the worker rejected the call | no |
//! | `504` | never ran: the call's time had expired | no |
//! | `500` and any other | an error | yes |

use tansy_dispatch::{AttemptOutcome, CacheStatus, LoadReport, NeverRan, ResponseStage, Trailers};

/// A parsed reply.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerReply {
    /// The outcome of the attempt or control request.
    pub outcome: AttemptOutcome,
    /// The reply's fields as trailers.
    pub trailers: Trailers,
}

// gRPC status codes, as the dispatcher expects them.
const OK: u8 = 0;
const INTERNAL: u8 = 13;
const UNAVAILABLE: u8 = 14;

/// Parses the status word and the fields of a reply. `reports_concurrency`: the settings state that replies report the
/// number of concurrent calls.
pub fn parse_reply(word: &[u8], fields: &[u8], reports_concurrency: bool) -> WorkerReply {
    let mut trailers = Trailers {
        concurrent_calls: reports_concurrency.then_some(0),
        ..Trailers::default()
    };
    let text = std::str::from_utf8(fields).unwrap_or("-");
    for (name, value) in text.split(',').filter_map(|field| field.split_once('=')) {
        match name {
            "n" => {
                trailers.cache_status = match value {
                    "ready" => CacheStatus::Warm,
                    "loaded" => CacheStatus::StartedLoad,
                    "queued" => CacheStatus::AwaitedLoad,
                    "no_image" => CacheStatus::LoadFailed,
                    _ => CacheStatus::Unreported,
                }
            }
            "peers_in" if reports_concurrency => {
                trailers.concurrent_calls = value.parse().ok().or(trailers.concurrent_calls)
            }
            "replicas" => trailers.instances = value.parse().ok(),
            "l" => trailers.report = Some(load_report(value)),
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
    WorkerReply {
        outcome: AttemptOutcome::Status { code, stage },
        trailers: Trailers {
            never_ran,
            ..trailers
        },
    }
}

/// Parses a load report, `name:value;name:value`. Two sets of names are accepted for the same metrics.
fn load_report(text: &str) -> LoadReport {
    let fields = text.split(';').filter_map(|field| field.split_once(':'));
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
        let value = value.parse::<f64>().ok();
        (name, value.filter(|value| value.is_finite()))
    });
    let report = tansy_conf::load_report(fields);
    LoadReport {
        queued: report.queued,
        in_flight: report.in_flight,
        busy: report.utilization,
        memory_pinned: report.memory_pinned,
        loads: report.loads,
        mean_ms: report.mean_ms,
        served_per_s: report.served_per_s,
        errors_per_s: report.errors_per_s,
    }
}
