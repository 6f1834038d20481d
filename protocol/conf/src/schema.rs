//! The JSON schema of the settings. Field names are those of the simulator's first message and of the platform's
//! configuration.

use serde::Deserialize;

fn one() -> f64 {
    1.0
}

/// The settings of a front end. Times are in seconds; absent fields take the defaults given here.
#[derive(Clone, Debug, Deserialize)]
pub struct InstanceSettings {
    /// The index of this front end, from 0.
    #[serde(default, rename = "me")]
    pub index: usize,
    /// The number of front ends, including this one.
    #[serde(default = "one_usize")]
    pub siblings: usize,
    /// The zone of this front end, as an index into `zones`.
    #[serde(default)]
    pub locality: usize,
    /// The names of the zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// The names of the machine kinds.
    #[serde(default)]
    pub machine_types: Vec<String>,
    /// The classes of requests; at least one.
    pub classes: Vec<Class>,
    /// The tenants.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// The value of a request over its tenant's quota, as a share of its usual value.
    #[serde(default)]
    pub over_share_worth: f64,
    /// `work` weights a request's value by its work; otherwise all requests of a class count the same.
    #[serde(default)]
    pub value_by: String,
    /// `on_request` if the front end fetches the list of workers; otherwise the list is pushed.
    #[serde(default)]
    pub discovery: String,
    /// Limits that the site sets.
    #[serde(default)]
    pub policy_limits: PolicyLimits,
    /// The prices of actions.
    #[serde(default)]
    pub prices: Prices,
    /// Parameters of worker start, drain and overload.
    #[serde(default)]
    pub rules: RuleSettings,
    /// Parameters of loading and of instances.
    #[serde(default)]
    pub specifics: ServiceSettings,
    /// The load reports of workers.
    #[serde(default)]
    pub telemetry: Telemetry,
    /// Least seconds between two batches of events.
    #[serde(default)]
    pub tick_s: f64,
}

fn one_usize() -> usize {
    1
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
pub struct Class {
    /// The name, unique among the classes.
    #[serde(default)]
    pub name: String,
    /// The latency objective, seconds. An answer within it earns the full value.
    pub aim_s: f64,
    /// Multiple of a request's work by which its objective is extended.
    #[serde(default)]
    pub aim_stretch: f64,
    /// Seconds after which the client stops waiting.
    pub deadline_s: f64,
    /// The effect of a repeated request: `read_like`, `idempotency_key` or `non_idempotent`.
    pub effect: String,
    /// The scope within which workers deduplicate requests: `all`, `zone` or `cell`.
    #[serde(default)]
    pub group: String,
    /// Seconds for which workers deduplicate requests.
    #[serde(default)]
    pub repeat_window_s: f64,
    /// The priority weight of a request.
    #[serde(default = "one")]
    pub gain: f64,
    /// The share of the value that an answer earns after the objective.
    #[serde(default)]
    pub late_worth: f64,
    /// Whether responses are streamed.
    #[serde(default)]
    pub streamed: bool,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
pub struct Tenant {
    /// The name.
    #[serde(default)]
    pub name: String,
    /// The tenant's share of the service.
    #[serde(default)]
    pub fraction: f64,
    /// The quota, requests per second.
    #[serde(default)]
    pub quota_per_s: f64,
}

/// Limits that the site sets.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct PolicyLimits {
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Seconds within which a connection must be established.
    pub connect_timeout_s: f64,
    /// Seconds after which an idle connection is closed.
    pub keepalive_s: f64,
    /// The most attempts of a request.
    pub max_attempts: Option<u32>,
    /// The longest retry delay that clients respect, seconds.
    pub max_retry_after_s: f64,
    /// The most open requests of a front end.
    pub most_held: Option<usize>,
    /// The most concurrent requests on one connection.
    pub multiplex: Option<usize>,
    /// Whether workers may be probed.
    pub probes: bool,
    /// Whether refusals can state a retry delay.
    pub retry_after: bool,
    /// Whether a request may have two attempts at once (hedging).
    pub second_copies: bool,
}

/// Prices, as shares of a request's value.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Prices {
    /// The price of an attempt in another zone.
    pub cross_zone: f64,
    /// The price of fetching a function from the store.
    pub origin: f64,
    /// The price of a probe or a load request.
    pub probe: f64,
}

/// Parameters of worker start, drain and overload.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RuleSettings {
    /// Seconds after the deadline within which an answer must be sent.
    pub answer_slack_s: f64,
    /// The most seconds between two fetches of the list of workers.
    pub ask_within_s: f64,
    /// The share of its capacity that a worker has when it starts.
    pub cold_from: f64,
    /// Seconds within which the front end must stop sending to a draining worker.
    pub drain_grace_s: f64,
    /// The multiple of its capacity at which an overloaded worker fails while it warms up.
    pub fall_multiple: f64,
    /// Seconds of such overload after which the worker fails.
    pub fall_s: f64,
    /// Seconds from a worker's start until it has its full capacity.
    pub warm_up_s: f64,
}

/// Parameters of loading and of instances.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct ServiceSettings {
    /// Seconds that an idle instance is kept.
    pub idle_life_s: f64,
    /// The memory of a worker by machine kind, MB.
    pub kind_memory_mb: Vec<f64>,
    /// Load requests allowed in each period without regard to arrivals.
    pub load_free: f64,
    /// Load requests allowed for each request that arrives.
    pub load_part: f64,
    /// The period in which load requests are limited, seconds; 0: no limit.
    pub load_period_s: f64,
    /// Seconds that a load request may take.
    pub load_wait_s: f64,
    /// Whether load requests are allowed.
    pub orders: bool,
    /// The price of idle memory.
    pub price_of_idle: f64,
    /// Whether responses report if the instance was warm.
    pub says_warm: bool,
    /// Whether responses report the number of concurrent calls.
    pub tells_crowd: bool,
    /// `miss` if a worker rejects a call of a function that is not loaded; otherwise the worker loads it.
    pub when_absent: String,
}

/// The load reports of workers.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Telemetry {
    /// The names of the reported fields.
    pub fields: Vec<String>,
    /// `piggyback` if responses carry reports, `pull` if probes fetch them; otherwise there are none.
    pub how: String,
}
