//! Tests that load reports decode with or without padding and that invalid trailer values are ignored.

use super::*;

#[test]
fn a_report_is_read_with_or_without_padding_and_invalid_values_are_ignored() {
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
        map.insert(names::CONCURRENT_CALLS, "7".parse().unwrap());
        map.insert(names::CACHE_STATUS, "warm".parse().unwrap());
        let trailers = read_trailers(&map);
        let report = trailers.report.unwrap();
        assert_eq!(
            (report.queued, report.loads, report.busy),
            (Some(3.0), None, Some(0.5))
        );
        assert_eq!(
            (trailers.concurrent_calls, trailers.cache_status),
            (Some(7), CacheStatus::Warm)
        );
    }
    let mut map = HeaderMap::new();
    map.insert(names::LOAD_REPORT, "!!".parse().unwrap());
    map.insert(names::CONCURRENT_CALLS, "-1".parse().unwrap());
    map.insert(names::NEVER_RAN, "perhaps".parse().unwrap());
    assert_eq!(read_trailers(&map), Trailers::default());
}
