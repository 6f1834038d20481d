//! Settings of a router: classes of requests, limits, and capabilities of its environment.

use crate::time::{Micros, SECOND};

/// The group of workers that deduplicates keyed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// Every worker.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// The effect of running a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeats have no further effect.
    Safe,
    /// A group of workers drops repeats for `window`, counted from when the first attempt that may have run was sent.
    Keyed {
        /// The workers that drop repeats of each other's requests.
        group: DedupGroup,
        /// How long repeats are dropped.
        window: Micros,
    },
    /// Each repeat has an effect.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The latency objective: an answer has its full value until this long after arrival.
    pub latency_objective: Micros,
    /// The objective increases by this multiple of the work hint of the request.
    pub objective_per_work: f64,
    /// How long a client waits, including its own retries.
    pub deadline: Micros,
    /// Whether a request may run more than once.
    pub effect: Effect,
    /// The value of an answer within the objective.
    pub priority_weight: f64,
    /// The fraction of that value that an answer after the objective has.
    pub late_weight: f64,
    /// Whether answers are streamed.
    pub streamed: bool,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its quota in requests per second, over all front ends.
    pub quota_per_s: f64,
    /// Its fraction of the service, 0 to 1.
    pub fraction: f64,
}

/// What a worker does with a call of a function that is not loaded there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissPolicy {
    /// Loads the function while the call waits.
    Load,
    /// Answers [`Outcome::NotLoaded`](crate::Outcome::NotLoaded); only load requests load functions.
    Miss,
}

/// How load reports reach the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// Attached to outcomes and to probe results.
    Attached,
    /// Only with probe results.
    Pulled,
    /// There are no load reports.
    Absent,
}

/// The budget of load requests within any `period`: `free + arrival_share * arrivals`.
#[derive(Clone, Copy, Debug)]
pub struct LoadBudget {
    /// Load requests that are always allowed.
    pub free: f64,
    /// Further load requests allowed per arriving request.
    pub arrival_share: f64,
    /// The period over which both are counted.
    pub period: Micros,
}

/// The settings of a router.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The index of this front end among all front ends.
    pub front_end_index: usize,
    /// The number of front ends, including this one.
    pub front_ends: usize,
    /// The zone of this front end.
    pub zone: usize,
    /// The classes of requests; [`Arrival::class`](crate::Arrival::class) is an index into them.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The value of a request over the quota of its tenant, as a fraction of its usual value.
    pub over_quota_weight: f64,
    /// Whether values are per unit of work instead of per request.
    pub weight_by_work: bool,
    /// Whether the list of workers is pushed, without requests for it.
    pub list_pushed: bool,
    /// The maximum interval between requests for the list, if it is not pushed.
    pub max_list_poll_interval: Micros,
    /// [`Action::Cancel`](crate::Action::Cancel) is allowed.
    pub may_cancel: bool,
    /// [`Action::Probe`](crate::Action::Probe) is allowed.
    pub may_probe: bool,
    /// [`Action::Load`](crate::Action::Load) and [`Action::Unload`](crate::Action::Unload) are allowed.
    pub may_load: bool,
    /// A request may have two attempts in flight at once.
    pub may_hedge: bool,
    /// The maximum number of attempts of a request.
    pub max_attempts: u32,
    /// The maximum number of open requests at a front end.
    pub max_open_requests: usize,
    /// The longest retry delay that clients follow; 0 if they follow none.
    pub max_retry_after: Micros,
    /// The timeout of connection attempts.
    pub connect_timeout: Micros,
    /// What a worker does with a call of a function that is not loaded there.
    pub miss_policy: MissPolicy,
    /// The memory that the process may use, in bytes; `None` if it is not limited.
    pub memory_limit: Option<u64>,
    /// How long an idle instance stays loaded at least.
    pub idle_timeout: Micros,
    /// The timeout of load requests.
    pub load_timeout: Micros,
    /// The budget of load requests, if there is one.
    pub load_budget: Option<LoadBudget>,
    /// Whether outcomes report that an instance was already loaded.
    pub reports_warm: bool,
    /// Whether outcomes report the number of calls of the function at the worker.
    pub reports_concurrency: bool,
    /// How load reports reach the router.
    pub reports: Reports,
    /// Memory of each kind of machine, MB.
    pub kind_memory_mb: Vec<f64>,
    /// Price of an attempt in another zone, as a fraction of the value of a request.
    pub cross_zone_price: f64,
    /// Price of loading from the shared store, in the same unit.
    pub fetch_price: f64,
    /// Price of having all memory idle, in the same unit.
    pub idle_price: f64,
    /// Price of a probe or load request, in the same unit.
    pub probe_price: f64,
    /// The fraction of its capacity that a worker has when it starts.
    pub slow_start_from: f64,
    /// How long after its start a worker reaches its full capacity.
    pub slow_start_window: Micros,
    /// A starting worker fails when it is sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long.
    pub overload_window: Micros,
    /// Time after the list entry within which sends to a draining or gone worker must stop.
    pub drain_grace: Micros,
    /// Tolerance for final answers after the client's deadline.
    pub answer_slack: Micros,
    /// The minimum interval between two batches of events.
    pub tick: Micros,
}

impl Default for Settings {
    /// One front end, one safe class, workers that load on a miss, no limits.
    fn default() -> Settings {
        Settings {
            front_end_index: 0,
            front_ends: 1,
            zone: 0,
            classes: vec![Class {
                latency_objective: SECOND,
                objective_per_work: 0.0,
                deadline: 5 * SECOND,
                effect: Effect::Safe,
                priority_weight: 1.0,
                late_weight: 0.0,
                streamed: false,
            }],
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            weight_by_work: false,
            list_pushed: true,
            max_list_poll_interval: 10 * SECOND,
            may_cancel: true,
            may_probe: false,
            may_load: true,
            may_hedge: false,
            max_attempts: 4,
            max_open_requests: 20_000,
            max_retry_after: 0,
            connect_timeout: SECOND / 4,
            miss_policy: MissPolicy::Load,
            memory_limit: None,
            idle_timeout: 10 * SECOND,
            load_timeout: 10 * SECOND,
            load_budget: None,
            reports_warm: true,
            reports_concurrency: false,
            reports: Reports::Absent,
            kind_memory_mb: Vec::new(),
            cross_zone_price: 0.0,
            fetch_price: 0.0,
            idle_price: 0.0,
            probe_price: 0.0,
            slow_start_from: 0.2,
            slow_start_window: 10 * SECOND,
            overload_multiple: 2.0,
            overload_window: 2 * SECOND,
            drain_grace: SECOND,
            answer_slack: SECOND / 100,
            tick: SECOND / 1000,
        }
    }
}

/// Invalid settings, with the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSettings(pub String);

impl std::fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "invalid settings: {}", self.0)
    }
}

impl std::error::Error for InvalidSettings {}
