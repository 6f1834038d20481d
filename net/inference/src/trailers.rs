//! Reads the trailers of workers, and selects the metadata that is forwarded between clients and workers.

use base64::alphabet;
use base64::engine::{DecodePaddingMode, GeneralPurpose, GeneralPurposeConfig};
use base64::Engine as _;
use http::HeaderMap;
use prost::Message;
use tansy_dispatch::{CacheStatus, LoadReport, NeverRan, Trailers};
use tansy_inference::names;
use tansy_inference::orca::OrcaLoadReport;

/// Base64 as used by gRPC's `-bin` keys: decoded with or without padding, encoded without.
pub const BINARY: GeneralPurpose = GeneralPurpose::new(
    &alphabet::STANDARD,
    GeneralPurposeConfig::new()
        .with_encode_padding(false)
        .with_decode_padding_mode(DecodePaddingMode::Indifferent),
);

/// The most bytes of an encoded load report; a longer one is ignored.
const MAX_REPORT_BYTES: usize = 4096;

fn text<'a>(map: &'a HeaderMap, key: &str) -> Option<&'a str> {
    map.get(key).and_then(|v| v.to_str().ok()).map(str::trim)
}

/// Reads the trailers of a response. Unreadable values are treated as absent.
pub fn read_trailers(map: &HeaderMap) -> Trailers {
    let cache_status = match text(map, names::CACHE_STATUS) {
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
        cache_status,
        never_ran,
        concurrent_calls: text(map, names::CONCURRENT_CALLS).and_then(|t| t.parse().ok()),
        instances: text(map, names::INSTANCE_COUNT).and_then(|t| t.parse().ok()),
        report: map
            .get(names::LOAD_REPORT)
            .and_then(|v| decode_report(v.as_bytes())),
    }
}

fn decode_report(value: &[u8]) -> Option<LoadReport> {
    if value.len() > MAX_REPORT_BYTES {
        return None;
    }
    let orca = OrcaLoadReport::decode(&*BINARY.decode(value).ok()?).ok()?;
    // In proto3 an absent number decodes to 0, so that only the named metrics can be told from unreported ones.
    let valid = |x: f64| Some(x).filter(|x| x.is_finite() && *x >= 0.0);
    let named = |key: &str| orca.named_metrics.get(key).copied().and_then(valid);
    Some(LoadReport {
        queued: named("queued"),
        in_flight: named("held"),
        busy: valid(orca.cpu_utilization),
        memory_pinned: valid(orca.mem_utilization),
        loads: named("loads"),
        mean_ms: named("mean_ms"),
        served_per_s: valid(orca.rps_fractional),
        errors_per_s: valid(orca.eps),
    })
}

/// Whether a key is application metadata: not reserved by HTTP, gRPC or this project.
fn is_forwarded(key: &str) -> bool {
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

/// The application metadata of a call, which is forwarded to the worker.
pub fn forwarded_metadata(map: &HeaderMap) -> HeaderMap {
    map.iter()
        .filter(|(k, _)| is_forwarded(k.as_str()))
        .map(|(k, v)| (k.clone(), v.clone()))
        .collect()
}

/// The status and the application metadata of a worker's response, which are forwarded to the client.
pub fn forwarded_trailers(map: &HeaderMap) -> HeaderMap {
    const STATUS: [&str; 3] = ["grpc-status", "grpc-message", "grpc-status-details-bin"];
    let forwarded = |k: &str| is_forwarded(k) || STATUS.contains(&k);
    map.iter()
        .filter(|(k, _)| forwarded(k.as_str()))
        .map(|(k, v)| (k.clone(), v.clone()))
        .collect()
}

#[cfg(test)]
mod tests;
