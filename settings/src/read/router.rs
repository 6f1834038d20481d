//! The router's settings.

use super::classes::tenants;
use super::Sections;
use crate::record::RecordReader;
use crate::value::{Kind, Node, Scalar};
use tansyrouter as router;

/// Reads the router's settings: one field a line, so that the compiler sees that none is missing.
pub(super) fn router_settings(
    sections: &Sections<'_>,
    zone: usize,
    classes: Vec<router::Class>,
) -> Option<router::Settings> {
    let (all, front) = (sections.all, sections.front);
    let (worker, prices) = (sections.worker, sections.prices);
    Some(router::Settings {
        front_end_index: usize::try_from(front.int("me")?).ok()?,
        front_ends: usize::try_from(front.int("siblings")?).ok()?,
        zone,
        classes,
        tenants: tenants(&sections.tenants)?,
        over_quota_weight: all.number("over_quota_worth")?,
        weight_by_work: all.flag("worth_by_work")?,
        list_pushed: front.flag("list_pushed")?,
        max_list_poll_interval: front.int("ask_within")?,
        max_retry_after: front.int("max_stay_away")?,
        answer_slack: front.int("answer_slack")?,
        tick: front.int("tick")?,
        may_cancel: worker.flag("may_cancel")?,
        may_probe: worker.flag("may_probe")?,
        may_load: worker.flag("may_order")?,
        // Never: no call has two attempts open at once.
        may_hedge: false,
        max_attempts: u32::try_from(worker.int("max_attempts")?).ok()?,
        max_open_requests: usize::try_from(front.int("max_held")?).ok()?,
        connect_timeout: worker.int("connect_timeout")?,
        miss_policy: miss_policy(worker)?,
        idle_timeout: worker.int("idle_life")?,
        load_timeout: worker.int("order_timeout")?,
        load_budget: load_budget(worker)?,
        reports_warm: worker.flag("tells_warm")?,
        reports_concurrency: worker.flag("tells_crowd")?,
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

/// What a worker does on a call of a function that is not loaded there.
fn miss_policy(worker: RecordReader<'_>) -> Option<router::MissPolicy> {
    Some(match worker.text("when_absent")? {
        "miss" => router::MissPolicy::Miss,
        _ => router::MissPolicy::Load,
    })
}

/// How workers report their load.
fn reports(worker: RecordReader<'_>) -> Option<router::Reports> {
    Some(match worker.text("reports")? {
        "pulled" => router::Reports::Pulled,
        "absent" => router::Reports::Absent,
        _ => router::Reports::Attached,
    })
}

/// The bound of load requests, if one is set.
fn load_budget(worker: RecordReader<'_>) -> Option<Option<router::LoadBudget>> {
    let Some(record) = worker.inner("ration") else {
        return Some(None);
    };
    Some(Some(router::LoadBudget {
        free: record.number("free")?,
        arrival_share: record.number("part")?,
        period: record.int("period")?,
    }))
}

/// Memory of the kinds of machines, MB.
fn kind_memory_mb(worker: RecordReader<'_>) -> Option<Vec<f64>> {
    let megabytes = |node: &Node| match node.kind {
        Kind::Scalar(Scalar::Size(bytes)) => Some(bytes as f64 / 1e6),
        _ => None,
    };
    let kinds = worker.list("kind_memory")?.iter();
    Some(kinds.filter_map(megabytes).collect())
}
