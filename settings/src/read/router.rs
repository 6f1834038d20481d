//! Reads the router's settings.

use super::classes::tenants;
use super::Sections;
use crate::record::RecordReader;
use crate::value::{Kind, Node, Scalar};
use tansyrouter as router;

/// Reads the router's settings.
pub(super) fn router_settings(
    sections: &Sections<'_>,
    zone: usize,
    classes: Vec<router::Class>,
) -> Option<router::Settings> {
    let (root, front) = (sections.root, sections.front);
    let (worker, prices) = (sections.worker, sections.prices);
    Some(router::Settings {
        front_end_index: usize::try_from(front.int("me")?).ok()?,
        front_ends: usize::try_from(front.int("siblings")?).ok()?,
        zone,
        classes,
        tenants: tenants(&sections.tenants)?,
        over_quota_weight: root.number("over_quota_worth")?,
        weight_by_work: root.bool("worth_by_work")?,
        list_pushed: front.bool("list_pushed")?,
        max_list_poll_interval: front.int("ask_within")?,
        max_retry_after: front.int("max_stay_away")?,
        answer_slack: front.int("answer_slack")?,
        tick: front.int("tick")?,
        may_cancel: worker.bool("may_cancel")?,
        may_probe: worker.bool("may_probe")?,
        may_load: worker.bool("may_order")?,
        // The dispatcher never has two attempts of a call open at once.
        may_hedge: false,
        max_attempts: u32::try_from(worker.int("max_attempts")?).ok()?,
        max_open_requests: usize::try_from(front.int("max_held")?).ok()?,
        connect_timeout: worker.int("connect_timeout")?,
        miss_policy: miss_policy(worker)?,
        // Callers can only name functions of the settings, which limit the memory.
        memory_limit: None,
        idle_timeout: worker.int("idle_life")?,
        load_timeout: worker.int("order_timeout")?,
        load_budget: load_budget(worker)?,
        reports_warm: worker.bool("tells_warm")?,
        reports_concurrency: worker.bool("tells_crowd")?,
        reports: reports(worker)?,
        kind_memory_mb: kind_memory_mb(worker)?,
        cross_zone_price: prices.number("cross_zone")?,
        fetch_price: prices.number("fetch")?,
        idle_price: prices.number("idle")?,
        probe_price: prices.number("probe")?,
        slow_start_from: worker.number("cold_from")?,
        slow_start_window: worker.int("warm_up")?,
        overload_multiple: worker.number("fall_multiple")?,
        overload_window: worker.int("fall_after")?,
        drain_grace: worker.int("drain_grace")?,
    })
}

/// The behaviour of a worker on a call of a function that it has not loaded.
fn miss_policy(worker: RecordReader<'_>) -> Option<router::MissPolicy> {
    Some(match worker.text("when_absent")? {
        "miss" => router::MissPolicy::Miss,
        _ => router::MissPolicy::Load,
    })
}

/// The way in which workers report their load.
fn reports(worker: RecordReader<'_>) -> Option<router::Reports> {
    Some(match worker.text("reports")? {
        "pulled" => router::Reports::Pulled,
        "absent" => router::Reports::Absent,
        _ => router::Reports::Attached,
    })
}

/// The budget for load requests, if one is set.
fn load_budget(worker: RecordReader<'_>) -> Option<Option<router::LoadBudget>> {
    let Some(record) = worker.record("ration") else {
        return Some(None);
    };
    Some(Some(router::LoadBudget {
        free: record.number("free")?,
        arrival_share: record.number("part")?,
        period: record.int("period")?,
    }))
}

/// Memory of each kind of worker machine, MB.
fn kind_memory_mb(worker: RecordReader<'_>) -> Option<Vec<f64>> {
    let megabytes = |node: &Node| match node.kind {
        Kind::Scalar(Scalar::Size(bytes)) => Some(bytes as f64 / 1e6),
        _ => None,
    };
    let kinds = worker.list("kind_memory")?.iter();
    Some(kinds.filter_map(megabytes).collect())
}
