//! The settings of an instance, in the one form that the simulator's first message and the platform's configuration
//! share, read into the module's. Nothing is decided here: what is absent takes the wire page's defaults.

use serde::Deserialize;
use tansyrouter as t;
use tansyrouter::Span;

/// The effect of a class whose requests carry a key by which workers drop repeats.
pub const KEYED: &str = "idempotency_key";

/// Seconds as microseconds.
pub fn span(seconds: f64) -> Span {
    (seconds * 1e6).round() as Span
}

fn one() -> f64 {
    1.0
}

/// A load report from fields by their names in the settings; a field that is not known is left out.
pub fn report<'a>(fields: impl Iterator<Item = (&'a str, Option<f64>)>) -> t::LoadReport {
    let mut report = t::LoadReport::default();
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

/// The settings object. Times are in seconds; what is absent takes the wire page's defaults.
#[derive(Clone, Debug, Deserialize)]
pub struct Conf {
    /// This front end's number.
    #[serde(default)]
    pub me: usize,
    /// How many there are.
    #[serde(default = "one_usize")]
    pub siblings: usize,
    /// Its zone's place.
    #[serde(default)]
    pub locality: usize,
    /// Names of the zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Names of the machine kinds.
    #[serde(default)]
    pub machine_types: Vec<String>,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// Worth over a tenant's share.
    #[serde(default)]
    pub over_share_worth: f64,
    /// What worth counts by.
    #[serde(default)]
    pub value_by: String,
    /// How the list comes.
    #[serde(default)]
    pub discovery: String,
    /// What is allowed.
    #[serde(default)]
    pub policy_limits: Limits,
    /// The prices.
    #[serde(default)]
    pub prices: Prices,
    /// The rules' figures.
    #[serde(default)]
    pub rules: Rules,
    /// The service's figures.
    #[serde(default)]
    pub specifics: Specifics,
    /// The reports.
    #[serde(default)]
    pub telemetry: Telemetry,
    /// Seconds between two batches.
    #[serde(default)]
    pub tick_s: f64,
}

fn one_usize() -> usize {
    1
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
pub struct Class {
    /// Its name.
    #[serde(default)]
    pub name: String,
    /// Full worth is earned up to here, seconds.
    pub aim_s: f64,
    /// The aim grows by this multiple of the work.
    #[serde(default)]
    pub aim_stretch: f64,
    /// Seconds a client waits in all.
    pub deadline_s: f64,
    /// What a repeat does.
    pub effect: String,
    /// Workers that drop repeats.
    #[serde(default)]
    pub group: String,
    /// For how many seconds they do.
    #[serde(default)]
    pub repeat_window_s: f64,
    /// Worth.
    #[serde(default = "one")]
    pub gain: f64,
    /// Share of it after the aim.
    #[serde(default)]
    pub late_worth: f64,
    /// Answers stream.
    #[serde(default)]
    pub streamed: bool,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
pub struct Tenant {
    /// Its name.
    #[serde(default)]
    pub name: String,
    /// Part of the service.
    #[serde(default)]
    pub fraction: f64,
    /// Requests a second within its share.
    #[serde(default)]
    pub quota_per_s: f64,
}

/// What the site allows.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Attempts may be given up.
    pub cancel: bool,
    /// Seconds for a connection.
    pub connect_timeout_s: f64,
    /// Seconds after which an idle connection is closed.
    pub keepalive_s: f64,
    /// Attempts a request may have.
    pub max_attempts: Option<u32>,
    /// Longest advice heeded, seconds.
    pub max_retry_after_s: f64,
    /// Requests held at once.
    pub most_held: Option<usize>,
    /// Requests on one connection.
    pub multiplex: Option<usize>,
    /// Probes are allowed.
    pub probes: bool,
    /// Advice reaches clients.
    pub retry_after: bool,
    /// Two attempts at once are allowed.
    pub second_copies: bool,
}

/// Prices, as shares of a request's worth.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Prices {
    /// Of crossing zones.
    pub cross_zone: f64,
    /// Of a fetch from the store.
    pub origin: f64,
    /// Of a probe or an order.
    pub probe: f64,
}

/// Figures of the rules.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Rules {
    /// Seconds past the deadline.
    pub answer_slack_s: f64,
    /// Seconds between two askings for the list.
    pub ask_within_s: f64,
    /// Least share of capacity at a start.
    pub cold_from: f64,
    /// Seconds to stop sending.
    pub drain_grace_s: f64,
    /// Multiple under which a cold worker falls.
    pub fall_multiple: f64,
    /// For so many seconds.
    pub fall_s: f64,
    /// Seconds until all of it.
    pub warm_up_s: f64,
}

/// Figures of this kind of service.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Specifics {
    /// Seconds an idle copy stays.
    pub idle_life_s: f64,
    /// Memory by machine kind.
    pub kind_memory_mb: Vec<f64>,
    /// Orders free.
    pub load_free: f64,
    /// Orders a request.
    pub load_part: f64,
    /// Their window, seconds.
    pub load_period_s: f64,
    /// Seconds for an order.
    pub load_wait_s: f64,
    /// Orders are allowed.
    pub orders: bool,
    /// Price of idle memory.
    pub price_of_idle: f64,
    /// Answers tell of the instance.
    pub says_warm: bool,
    /// Answers tell of other calls.
    pub tells_crowd: bool,
    /// What a worker does on a miss.
    pub when_absent: String,
}

/// Load reports.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Telemetry {
    /// Their fields.
    pub fields: Vec<String>,
    /// How they come.
    pub how: String,
}

/// A span or a figure that is longer or larger than anything it could be meant for.
const MOST: f64 = 1e9;

/// What of the settings makes no sense: the first key, its value, and what would be right.
pub fn check(c: &Conf) -> Result<(), String> {
    let within = |key: &str, value: f64, least: f64| {
        let wrong = !(least..=MOST).contains(&value);
        if wrong {
            Err(format!(
                "{key}: {value}; want a number from {least} to {MOST}"
            ))
        } else {
            Ok(())
        }
    };
    let above = |key: &str, value: f64| {
        let wrong = !(value > 0.0 && value <= MOST);
        if wrong {
            Err(format!(
                "{key}: {value}; want a number above 0, up to {MOST}"
            ))
        } else {
            Ok(())
        }
    };
    if c.classes.is_empty() {
        return Err("classes: []; want one class at least".into());
    }
    for (n, k) in c.classes.iter().enumerate() {
        let key = |name: &str| format!("classes[{n}].{name}");
        if k.name.is_empty() || c.classes[..n].iter().any(|before| before.name == k.name) {
            return Err(format!(
                "{}: {:?}; want a name of its own",
                key("name"),
                k.name
            ));
        }
        above(&key("aim_s"), k.aim_s)?;
        above(&key("deadline_s"), k.deadline_s)?;
        let others = [
            ("repeat_window_s", k.repeat_window_s),
            ("aim_stretch", k.aim_stretch),
        ];
        others
            .iter()
            .try_for_each(|(name, value)| within(&key(name), *value, 0.0))?;
        if !["", "all", "zone", "cell"].contains(&k.group.as_str()) {
            return Err(format!(
                "{}: {:?}; want all, zone or cell",
                key("group"),
                k.group
            ));
        }
    }
    let (l, r, s) = (&c.policy_limits, &c.rules, &c.specifics);
    let counts = [
        ("siblings", Some(c.siblings)),
        (
            "policy_limits.max_attempts",
            l.max_attempts.map(|n| n as usize),
        ),
        ("policy_limits.multiplex", l.multiplex),
        ("policy_limits.most_held", l.most_held),
    ];
    if let Some((key, _)) = counts.iter().find(|(_, n)| *n == Some(0)) {
        return Err(format!("{key}: 0; want 1 at least"));
    }
    let spans = [
        ("policy_limits.connect_timeout_s", l.connect_timeout_s),
        ("policy_limits.keepalive_s", l.keepalive_s),
        ("policy_limits.max_retry_after_s", l.max_retry_after_s),
        ("rules.answer_slack_s", r.answer_slack_s),
        ("rules.ask_within_s", r.ask_within_s),
        ("rules.cold_from", r.cold_from),
        ("rules.drain_grace_s", r.drain_grace_s),
        ("rules.fall_multiple", r.fall_multiple),
        ("rules.fall_s", r.fall_s),
        ("rules.warm_up_s", r.warm_up_s),
        ("specifics.idle_life_s", s.idle_life_s),
        ("specifics.load_free", s.load_free),
        ("specifics.load_part", s.load_part),
        ("specifics.load_period_s", s.load_period_s),
        ("specifics.load_wait_s", s.load_wait_s),
        ("tick_s", c.tick_s),
    ];
    spans
        .iter()
        .try_for_each(|(key, value)| within(key, *value, 0.0))
}

/// The module's settings, or what of them makes no sense.
pub fn settings(c: &Conf) -> Result<t::Settings, String> {
    check(c)?;
    let class = |k: &Class| {
        let group = match k.group.as_str() {
            "zone" => t::Group::Zone,
            "cell" => t::Group::Cell,
            _ => t::Group::All,
        };
        let effect = match k.effect.as_str() {
            "read_like" => t::Effect::Safe,
            KEYED => t::Effect::Keyed {
                group,
                window: span(k.repeat_window_s),
            },
            "non_idempotent" => t::Effect::Unsafe,
            other => {
                let want = "want read_like, idempotency_key or non_idempotent";
                return Err(format!("class {:?}: effect: {other:?}; {want}", k.name));
            }
        };
        Ok(t::Class {
            aim: span(k.aim_s),
            aim_stretch: k.aim_stretch,
            deadline: span(k.deadline_s),
            effect,
            worth: k.gain,
            late_worth: k.late_worth,
            streamed: k.streamed,
        })
    };
    let (l, r, s, base) = (
        &c.policy_limits,
        &c.rules,
        &c.specifics,
        t::Settings::default(),
    );
    let tenant = |n: &Tenant| t::Tenant {
        quota_per_s: n.quota_per_s,
        fraction: n.fraction,
    };
    Ok(t::Settings {
        me: c.me,
        siblings: c.siblings,
        zone: c.locality,
        classes: c.classes.iter().map(class).collect::<Result<_, String>>()?,
        tenants: c.tenants.iter().map(tenant).collect(),
        over_quota_worth: c.over_share_worth,
        worth_by_work: c.value_by == "work",
        list_pushed: c.discovery != "on_request",
        ask_within: span(r.ask_within_s),
        may_cancel: l.cancel,
        may_probe: l.probes,
        may_order: s.orders,
        may_double: l.second_copies,
        max_attempts: l.max_attempts.unwrap_or(base.max_attempts),
        max_held: l.most_held.unwrap_or(base.max_held),
        max_stay_away: if l.retry_after {
            span(l.max_retry_after_s)
        } else {
            0
        },
        connect_timeout: span(l.connect_timeout_s),
        when_absent: if s.when_absent == "miss" {
            t::WhenAbsent::Miss
        } else {
            t::WhenAbsent::Load
        },
        idle_life: span(s.idle_life_s),
        order_timeout: span(s.load_wait_s),
        ration: (s.load_period_s > 0.0).then(|| t::Ration {
            free: s.load_free,
            part: s.load_part,
            period: span(s.load_period_s),
        }),
        tells_warm: s.says_warm,
        tells_crowd: s.tells_crowd,
        reports: match c.telemetry.how.as_str() {
            "piggyback" => t::Reports::Attached,
            "pull" => t::Reports::Pulled,
            _ => t::Reports::Absent,
        },
        kind_memory_mb: s.kind_memory_mb.clone(),
        cross_zone_price: c.prices.cross_zone,
        fetch_price: c.prices.origin,
        idle_price: s.price_of_idle,
        probe_price: c.prices.probe,
        cold_from: r.cold_from,
        warm_up: span(r.warm_up_s),
        fall_multiple: r.fall_multiple,
        fall_after: span(r.fall_s),
        drain_grace: span(r.drain_grace_s),
        answer_slack: span(r.answer_slack_s),
        tick: span(c.tick_s),
    })
}
