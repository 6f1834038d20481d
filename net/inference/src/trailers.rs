//! Trailers of workers, and the metadata that is forwarded.

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
const MAX_REPORT_BYTES: usize = 4096;

fn text<'a>(map: &'a HeaderMap, key: &str) -> Option<&'a str> {
    map.get(key).and_then(|v| v.to_str().ok()).map(str::trim)
}

/// Reads the trailers of an answer. What can't be read counts as not stated.
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
            .and_then(|v| report(v.as_bytes())),
    }
}

fn report(value: &[u8]) -> Option<LoadReport> {
    if value.len() > MAX_REPORT_BYTES {
        return None;
    }
    let orca = OrcaLoadReport::decode(&*BINARY.decode(value).ok()?).ok()?;
    // Absent numbers are 0 on this wire, so only the named ones differ from "not reported".
    let figure = |x: f64| Some(x).filter(|x| x.is_finite() && *x >= 0.0);
    let named = |key: &str| orca.named_metrics.get(key).copied().and_then(figure);
    Some(LoadReport {
        queued: named("queued"),
        in_flight: named("held"),
        busy: figure(orca.cpu_utilization),
        memory_pinned: figure(orca.mem_utilization),
        loads: named("loads"),
        mean_ms: named("mean_ms"),
        served_per_s: figure(orca.rps_fractional),
        errors_per_s: figure(orca.eps),
    })
}

/// Whether a key is the call's own metadata: neither HTTP's nor gRPC's nor ours.
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

/// A call's own metadata, as it is forwarded to the worker.
pub fn forwarded_metadata(map: &HeaderMap) -> HeaderMap {
    map.iter()
        .filter(|(k, _)| is_forwarded(k.as_str()))
        .map(|(k, v)| (k.clone(), v.clone()))
        .collect()
}

/// A worker's status and own metadata, as they are forwarded to the client.
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
