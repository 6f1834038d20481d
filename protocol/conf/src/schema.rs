//! The settings as JSON. Fields have the names that the simulator's first message and the platform's configuration give
//! them.

use serde::Deserialize;

fn one() -> f64 {
    1.0
}

/// The settings of an instance. Times are in seconds; what is absent takes the wire page's defaults.
#[derive(Clone, Debug, Deserialize)]
pub struct InstanceSettings {
    /// This front end's number among its siblings.
    #[serde(default, rename = "me")]
    pub index: usize,
    /// How many there are.
    #[serde(default = "one_usize")]
    pub siblings: usize,
    /// Its zone, as an index into `zones`.
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
    /// Priority weight of a request over its tenant's share.
    #[serde(default)]
    pub over_share_worth: f64,
    /// What value is counted by: `work`, or requests.
    #[serde(default)]
    pub value_by: String,
    /// How the list of workers comes: `on_request`, or unasked.
    #[serde(default)]
    pub discovery: String,
    /// What is allowed.
    #[serde(default)]
    pub policy_limits: PolicyLimits,
    /// The prices.
    #[serde(default)]
    pub prices: Prices,
    /// Figures of the rules.
    #[serde(default)]
    pub rules: RuleSettings,
    /// Figures of this kind of service.
    #[serde(default)]
    pub specifics: ServiceSettings,
    /// Load reports of workers.
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
    /// Latency objective, seconds: the full value is earned up to here.
    pub aim_s: f64,
    /// The objective grows by this multiple of the work.
    #[serde(default)]
    pub aim_stretch: f64,
    /// Seconds a client waits in all.
    pub deadline_s: f64,
    /// What a repeat of a request does.
    pub effect: String,
    /// Which workers drop repeats together: `all`, `zone` or `cell`.
    #[serde(default)]
    pub group: String,
    /// For how many seconds they drop repeats.
    #[serde(default)]
    pub repeat_window_s: f64,
    /// Priority weight of a request.
    #[serde(default = "one")]
    pub gain: f64,
    /// Share of the value that is earned after the objective.
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
pub struct PolicyLimits {
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Seconds for a connection.
    pub connect_timeout_s: f64,
    /// Seconds after which an idle connection is closed.
    pub keepalive_s: f64,
    /// Attempts a request may have.
    pub max_attempts: Option<u32>,
    /// Longest advice not to try again that clients follow, seconds.
    pub max_retry_after_s: f64,
    /// Requests held at once.
    pub most_held: Option<usize>,
    /// Requests on one connection.
    pub multiplex: Option<usize>,
    /// Probes are allowed.
    pub probes: bool,
    /// Advice not to try again reaches clients.
    pub retry_after: bool,
    /// Two attempts at once are allowed.
    pub second_copies: bool,
}

/// Prices, as shares of a request's value.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Prices {
    /// Of crossing zones.
    pub cross_zone: f64,
    /// Of a fetch from the store.
    pub origin: f64,
    /// Of a probe or a load request.
    pub probe: f64,
}

/// Figures of the rules.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RuleSettings {
    /// Seconds past the deadline.
    pub answer_slack_s: f64,
    /// Seconds between two requests for the list.
    pub ask_within_s: f64,
    /// Share of its capacity that a worker has at its start.
    pub cold_from: f64,
    /// Seconds within which nothing more is sent to a draining worker.
    pub drain_grace_s: f64,
    /// Overload multiple at which a cold worker fails.
    pub fall_multiple: f64,
    /// Seconds of that overload until it does.
    pub fall_s: f64,
    /// Seconds until a worker has all of its capacity.
    pub warm_up_s: f64,
}

/// Figures of this kind of service.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct ServiceSettings {
    /// Seconds that an idle instance is kept.
    pub idle_life_s: f64,
    /// Memory by machine kind.
    pub kind_memory_mb: Vec<f64>,
    /// Load requests that are free.
    pub load_free: f64,
    /// Load requests for each request.
    pub load_part: f64,
    /// The window that they are counted in, seconds.
    pub load_period_s: f64,
    /// Seconds that a load request may take.
    pub load_wait_s: f64,
    /// Load requests are allowed.
    pub orders: bool,
    /// Price of idle memory.
    pub price_of_idle: f64,
    /// Answers report whether the instance was warm.
    pub says_warm: bool,
    /// Answers report how many other calls ran.
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
