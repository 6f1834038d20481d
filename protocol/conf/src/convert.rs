//! Converts the JSON settings and load reports to the router's types.

use crate::error::SettingsError;
use crate::schema::{Class, InstanceSettings, ServiceSettings, Tenant};
use crate::validate::validate;
use tansyrouter as router;
use tansyrouter::Micros;

/// The effect of a class whose requests carry an idempotency key, by which workers recognize duplicates.
pub const KEYED_EFFECT: &str = "idempotency_key";

/// Converts seconds to microseconds.
pub fn micros(seconds: f64) -> Micros {
    (seconds * 1e6).round() as Micros
}

/// Builds a load report from fields under their names in the settings. Unknown fields are ignored.
pub fn load_report<'a>(fields: impl Iterator<Item = (&'a str, Option<f64>)>) -> router::LoadReport {
    let mut report = router::LoadReport::default();
    for (name, value) in fields {
        let slot = match name {
            "depth" => &mut report.queued,
            "concurrent" => &mut report.in_flight,
            "load_share" => &mut report.utilization,
            "x0" => &mut report.memory_pinned,
            "x1" => &mut report.loads,
            "mean_ms" => &mut report.mean_ms,
            "tps" => &mut report.served_per_s,
            "err_ps" => &mut report.errors_per_s,
            _ => continue,
        };
        *slot = value;
    }
    report
}

/// Converts to the router's settings; an error names the first invalid value.
pub fn router_settings(settings: &InstanceSettings) -> Result<router::Settings, SettingsError> {
    validate(settings)?;
    let (limits, rules) = (&settings.policy_limits, &settings.rules);
    let specifics = &settings.specifics;
    let defaults = router::Settings::default();
    Ok(router::Settings {
        front_end_index: settings.index,
        front_ends: settings.siblings,
        zone: settings.locality,
        classes: settings
            .classes
            .iter()
            .map(router_class)
            .collect::<Result<_, _>>()?,
        tenants: settings.tenants.iter().map(router_tenant).collect(),
        over_quota_weight: settings.over_share_worth,
        weight_by_work: settings.value_by == "work",
        list_pushed: settings.discovery != "on_request",
        max_list_poll_interval: micros(rules.ask_within_s),
        may_cancel: limits.cancel,
        may_probe: limits.probes,
        may_load: specifics.orders,
        may_hedge: limits.second_copies,
        max_attempts: limits.max_attempts.unwrap_or(defaults.max_attempts),
        max_open_requests: limits.most_held.unwrap_or(defaults.max_open_requests),
        max_retry_after: if limits.retry_after {
            micros(limits.max_retry_after_s)
        } else {
            0
        },
        connect_timeout: micros(limits.connect_timeout_s),
        miss_policy: miss_policy(specifics),
        // The settings do not state it.
        memory_limit: None,
        idle_timeout: micros(specifics.idle_life_s),
        load_timeout: micros(specifics.load_wait_s),
        load_budget: load_budget(specifics),
        reports_warm: specifics.says_warm,
        reports_concurrency: specifics.tells_crowd,
        reports: report_mode(&settings.telemetry.how),
        kind_memory_mb: specifics.kind_memory_mb.clone(),
        cross_zone_price: settings.prices.cross_zone,
        fetch_price: settings.prices.origin,
        idle_price: specifics.price_of_idle,
        probe_price: settings.prices.probe,
        slow_start_from: rules.cold_from,
        slow_start_window: micros(rules.warm_up_s),
        overload_multiple: rules.fall_multiple,
        overload_window: micros(rules.fall_s),
        drain_grace: micros(rules.drain_grace_s),
        answer_slack: micros(rules.answer_slack_s),
        tick: micros(settings.tick_s),
    })
}

fn router_class(class: &Class) -> Result<router::Class, SettingsError> {
    let group = match class.group.as_str() {
        "zone" => router::DedupGroup::Zone,
        "cell" => router::DedupGroup::Cell,
        _ => router::DedupGroup::All,
    };
    let effect = match class.effect.as_str() {
        "read_like" => router::Effect::Safe,
        KEYED_EFFECT => router::Effect::Keyed {
            group,
            window: micros(class.repeat_window_s),
        },
        "non_idempotent" => router::Effect::Unsafe,
        other => {
            return Err(SettingsError::UnknownEffect {
                class: class.name.clone(),
                effect: other.to_string(),
            })
        }
    };
    Ok(router::Class {
        latency_objective: micros(class.aim_s),
        objective_per_work: class.aim_stretch,
        deadline: micros(class.deadline_s),
        effect,
        priority_weight: class.gain,
        late_weight: class.late_worth,
        streamed: class.streamed,
    })
}

fn router_tenant(tenant: &Tenant) -> router::Tenant {
    router::Tenant {
        quota_per_s: tenant.quota_per_s,
        fraction: tenant.fraction,
    }
}

fn miss_policy(specifics: &ServiceSettings) -> router::MissPolicy {
    if specifics.when_absent == "miss" {
        router::MissPolicy::Miss
    } else {
        router::MissPolicy::Load
    }
}

fn load_budget(specifics: &ServiceSettings) -> Option<router::LoadBudget> {
    (specifics.load_period_s > 0.0).then(|| router::LoadBudget {
        free: specifics.load_free,
        arrival_share: specifics.load_part,
        period: micros(specifics.load_period_s),
    })
}

fn report_mode(how: &str) -> router::Reports {
    match how {
        "piggyback" => router::Reports::Attached,
        "pull" => router::Reports::Pulled,
        _ => router::Reports::Absent,
    }
}
