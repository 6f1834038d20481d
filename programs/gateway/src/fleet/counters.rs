//! The counters that operators and the canary analysis of rollouts read.

use tansy_dispatch::ClassCounters;
use tansy_fleet_wire::pb;
use tansy_net_inference::Driver;

/// The counters of this front end. The node fills in the front end's name and state.
pub(super) fn counters(driver: &Driver, zone: &str, label: &str) -> pb::CountsReply {
    let (account, _) = driver.counters();
    let classes = driver.with_dispatcher(|dispatcher| {
        let counters = dispatcher.class_counters().into_iter();
        counters
            .flat_map(|counters| counters.classes().iter().map(class_counters))
            .collect()
    });
    pb::CountsReply {
        zone: zone.into(),
        label: label.into(),
        memory_bytes: resident_bytes(),
        guard_interventions: account.guard_rejections,
        classes,
        ..Default::default()
    }
}

fn class_counters((name, counters): (&String, &ClassCounters)) -> pb::ClassCounters {
    let (latencies, latency_counts) = counters
        .latency
        .iter_recorded()
        .map(|bucket| (bucket.value_iterated_to(), bucket.count_at_value()))
        .unzip();
    pb::ClassCounters {
        class: name.clone(),
        requests: counters.ended,
        served: counters.served,
        rejected: counters.refused,
        failed: counters.failed,
        value_requested: counters.possible_value,
        value_served: counters.value,
        latencies,
        latency_counts,
    }
}

/// Resident memory of this process, or 0 if it can't be determined.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * rustix::param::page_size() as u64
}
