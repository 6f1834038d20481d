//! Into the router's settings.

use crate::error::SettingsError;
use crate::schema::{Class, InstanceSettings, ServiceSettings, Tenant};
use crate::validate::validate;
use tansyrouter as router;
use tansyrouter::Span;

/// The effect of a class whose requests carry a key by which workers drop repeats.
pub const KEYED_EFFECT: &str = "idempotency_key";

/// Seconds as microseconds.
pub fn micros(seconds: f64) -> Span {
    (seconds * 1e6).round() as Span
}

/// A load report from fields by their names in the settings; a field that is not known is left out.
pub fn load_report<'a>(fields: impl Iterator<Item = (&'a str, Option<f64>)>) -> router::LoadReport {
    let mut report = router::LoadReport::default();
    for (name, value) in fields {
        let slot = match name {
            "depth" => &mut report.queued,
            "concurrent" => &mut report.held,
            "load_share" => &mut report.busy,
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

/// The router's settings, or the first value that makes no sense.
///
/// One literal over 50 lines: each of the router's settings has its line here, and the compiler sees that none is
/// missing.
pub fn router_settings(settings: &InstanceSettings) -> Result<router::Settings, SettingsError> {
    validate(settings)?;
    let (limits, rules) = (&settings.policy_limits, &settings.rules);
    let specifics = &settings.specifics;
    let defaults = router::Settings::default();
    Ok(router::Settings {
        me: settings.index,
        siblings: settings.siblings,
        zone: settings.locality,
        classes: settings
            .classes
            .iter()
            .map(router_class)
            .collect::<Result<_, _>>()?,
        tenants: settings.tenants.iter().map(router_tenant).collect(),
        over_quota_worth: settings.over_share_worth,
        worth_by_work: settings.value_by == "work",
        list_pushed: settings.discovery != "on_request",
        ask_within: micros(rules.ask_within_s),
        may_cancel: limits.cancel,
        may_probe: limits.probes,
        may_order: specifics.orders,
        may_double: limits.second_copies,
        max_attempts: limits.max_attempts.unwrap_or(defaults.max_attempts),
        max_held: limits.most_held.unwrap_or(defaults.max_held),
        max_stay_away: if limits.retry_after {
            micros(limits.max_retry_after_s)
        } else {
            0
        },
        connect_timeout: micros(limits.connect_timeout_s),
        when_absent: miss_policy(specifics),
        idle_life: micros(specifics.idle_life_s),
        order_timeout: micros(specifics.load_wait_s),
        ration: load_budget(specifics),
        tells_warm: specifics.says_warm,
        tells_crowd: specifics.tells_crowd,
        reports: report_mode(&settings.telemetry.how),
        kind_memory_mb: specifics.kind_memory_mb.clone(),
        cross_zone_price: settings.prices.cross_zone,
        fetch_price: settings.prices.origin,
        idle_price: specifics.price_of_idle,
        probe_price: settings.prices.probe,
        cold_from: rules.cold_from,
        warm_up: micros(rules.warm_up_s),
        fall_multiple: rules.fall_multiple,
        fall_after: micros(rules.fall_s),
        drain_grace: micros(rules.drain_grace_s),
        answer_slack: micros(rules.answer_slack_s),
        tick: micros(settings.tick_s),
    })
}

fn router_class(class: &Class) -> Result<router::Class, SettingsError> {
    let group = match class.group.as_str() {
        "zone" => router::Group::Zone,
        "cell" => router::Group::Cell,
        _ => router::Group::All,
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
        aim: micros(class.aim_s),
        aim_stretch: class.aim_stretch,
        deadline: micros(class.deadline_s),
        effect,
        worth: class.gain,
        late_worth: class.late_worth,
        streamed: class.streamed,
    })
}

fn router_tenant(tenant: &Tenant) -> router::Tenant {
    router::Tenant {
        quota_per_s: tenant.quota_per_s,
        fraction: tenant.fraction,
    }
}

fn miss_policy(specifics: &ServiceSettings) -> router::WhenAbsent {
    if specifics.when_absent == "miss" {
        router::WhenAbsent::Miss
    } else {
        router::WhenAbsent::Load
    }
}

fn load_budget(specifics: &ServiceSettings) -> Option<router::Ration> {
    (specifics.load_period_s > 0.0).then(|| router::Ration {
        free: specifics.load_free,
        part: specifics.load_part,
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
