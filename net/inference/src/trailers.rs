//! What a worker's trailers tell, and what of a call's metadata is passed on.

use base64::alphabet;
use base64::engine::{DecodePaddingMode, GeneralPurpose, GeneralPurposeConfig};
use base64::Engine as _;
use http::HeaderMap;
use prost::Message;
use tansy_dispatch::{CacheStatus, LoadReport, NeverRan, Trailers};
use tansy_inference::names;
use tansy_inference::orca::OrcaLoadReport;

/// Base64 as gRPC's `-bin` keys have it: read with padding or without, written without.
pub const BINARY: GeneralPurpose = GeneralPurpose::new(
    &alphabet::STANDARD,
    GeneralPurposeConfig::new()
        .with_encode_padding(false)
        .with_decode_padding_mode(DecodePaddingMode::Indifferent),
);

/// Bytes of a load report that are read at most.
const REPORT_BYTES: usize = 4096;

fn text<'a>(map: &'a HeaderMap, key: &str) -> Option<&'a str> {
    map.get(key).and_then(|v| v.to_str().ok()).map(str::trim)
}

/// What the trailers of an answer tell. What can't be read counts as not told.
pub fn told(map: &HeaderMap) -> Trailers {
    let note = match text(map, names::INSTANCE) {
        Some("warm") => CacheStatus::Warm,
        Some("began-load") => CacheStatus::StartedLoad,
        Some("awaited-load") => CacheStatus::AwaitedLoad,
        Some("load-failed") => CacheStatus::LoadFailed,
        _ => CacheStatus::Unreported,
    };
    let never_ran = match text(map, names::NEVER_RAN) {
        Some("not-loaded") => Some(NeverRan::NotLoaded),
        Some("turned-away") => Some(NeverRan::TurnedAway),
        _ => None,
    };
    Trailers {
        cache_status: note,
        never_ran,
        concurrent_calls: text(map, names::CROWD).and_then(|t| t.parse().ok()),
        instances: text(map, names::INSTANCES).and_then(|t| t.parse().ok()),
        report: map
            .get(names::LOAD_REPORT)
            .and_then(|v| report(v.as_bytes())),
    }
}

fn report(value: &[u8]) -> Option<LoadReport> {
    if value.len() > REPORT_BYTES {
        return None;
    }
    let r = OrcaLoadReport::decode(&*BINARY.decode(value).ok()?).ok()?;
    // Absent numbers are 0 on this wire, so only the named ones can be told from "not reported".
    let figure = |x: f64| Some(x).filter(|x| x.is_finite() && *x >= 0.0);
    let named = |key: &str| r.named_metrics.get(key).copied().and_then(figure);
    Some(LoadReport {
        queued: named("queued"),
        in_flight: named("held"),
        busy: figure(r.cpu_utilization),
        memory_pinned: figure(r.mem_utilization),
        loads: named("loads"),
        mean_ms: named("mean_ms"),
        served_per_s: figure(r.rps_fractional),
        errors_per_s: figure(r.eps),
    })
}

/// Whether a key is the call's own metadata: neither HTTP's nor gRPC's nor ours.
fn passed_on(key: &str) -> bool {
    let reserved = matches!(
        key,
        "te" | "content-type"
            | "content-length"
            | "user-agent"
            | "host"
            | "connection"
            | "accept-encoding"
    );
    !reserved
        && !key.starts_with("grpc-")
        && !key.starts_with("tansy-")
        && key != names::LOAD_REPORT
}

/// A call's own metadata, for the worker.
pub fn metadata(map: &HeaderMap) -> HeaderMap {
    map.iter()
        .filter(|(k, _)| passed_on(k.as_str()))
        .map(|(k, v)| (k.clone(), v.clone()))
        .collect()
}

/// A worker's status and own metadata, for the client.
pub fn answer(map: &HeaderMap) -> HeaderMap {
    const STATUS: [&str; 3] = ["grpc-status", "grpc-message", "grpc-status-details-bin"];
    let keep = |k: &str| passed_on(k) || STATUS.contains(&k);
    map.iter()
        .filter(|(k, _)| keep(k.as_str()))
        .map(|(k, v)| (k.clone(), v.clone()))
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_report_is_read_with_padding_or_without_and_nonsense_is_not_told() {
        let sent = OrcaLoadReport {
            cpu_utilization: 0.5,
            named_metrics: [("queued".to_string(), 3.0), ("loads".to_string(), -1.0)].into(),
            ..Default::default()
        };
        let bytes = sent.encode_to_vec();
        let plain = BINARY.encode(&bytes);
        let padded = base64::engine::general_purpose::STANDARD.encode(&bytes);
        for value in [plain, padded] {
            let mut map = HeaderMap::new();
            map.insert(names::LOAD_REPORT, value.parse().unwrap());
            map.insert(names::CROWD, "7".parse().unwrap());
            map.insert(names::INSTANCE, "warm".parse().unwrap());
            let t = told(&map);
            let r = t.report.unwrap();
            assert_eq!((r.queued, r.loads, r.busy), (Some(3.0), None, Some(0.5)));
            assert_eq!(
                (t.concurrent_calls, t.cache_status),
                (Some(7), CacheStatus::Warm)
            );
        }
        let mut map = HeaderMap::new();
        map.insert(names::LOAD_REPORT, "!!".parse().unwrap());
        map.insert(names::CROWD, "-1".parse().unwrap());
        map.insert(names::NEVER_RAN, "perhaps".parse().unwrap());
        assert_eq!(told(&map), Trailers::default());
    }
}
