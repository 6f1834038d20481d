//! What a router is configured with: classes of requests, limits, and what its environment supports.

use crate::time::{Micros, SECOND};

/// The workers among which repeats of a keyed request are dropped.
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
    /// A repeat is harmless.
    Safe,
    /// A group of workers drops repeats for `window` after the first attempt that may have run was sent.
    Keyed {
        /// The workers that share knowledge of repeats.
        group: DedupGroup,
        /// How long repeats are dropped.
        window: Micros,
    },
    /// A repeat would act twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The latency objective: an answer up to here after arrival has its full value.
    pub latency_objective: Micros,
    /// The objective grows by this multiple of the request's own work (0: it does not).
    pub objective_per_work: f64,
    /// How long a client waits, over all its tries.
    pub deadline: Micros,
    /// Whether repeats are allowed.
    pub effect: Effect,
    /// The value of an answer within the objective.
    pub priority_weight: f64,
    /// The share of that value left to an answer after the objective.
    pub late_weight: f64,
    /// Whether the answer is streamed.
    pub streamed: bool,
}

/// One tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second within its quota, over all front ends.
    pub quota_per_s: f64,
    /// Its share of the service, 0 to 1.
    pub fraction: f64,
}

/// What a worker does with a call of a function that is not loaded there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissPolicy {
    /// It loads the function while the call waits.
    Load,
    /// It answers [`Outcome::NotLoaded`](crate::Outcome::NotLoaded); only a load request loads.
    Miss,
}

/// How load reports reach the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// Attached to outcomes and to probe results.
    Attached,
    /// With probe results only.
    Pulled,
    /// There are none.
    Absent,
}

/// The budget of load requests: `free + part x requests received`, over any `period`.
#[derive(Clone, Copy, Debug)]
pub struct LoadBudget {
    /// Load requests that need no request of a client.
    pub free: f64,
    /// Load requests for each request received.
    pub arrival_share: f64,
    /// The time over which both are counted.
    pub period: Micros,
}

/// The settings of a router.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This front end's number among its siblings.
    pub front_end_index: usize,
    /// How many front ends there are, this one included.
    pub front_ends: usize,
    /// The zone of this front end.
    pub zone: usize,
    /// The classes of requests; a request names one by its index here.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The value of a request over its tenant's quota, as a share of its usual value.
    pub over_quota_weight: f64,
    /// Value counts for each unit of work, not for each request.
    pub weight_by_work: bool,
    /// Whether the list of workers arrives without being asked for.
    pub list_pushed: bool,
    /// Where it must be asked for: the longest time between two times of asking.
    pub max_list_poll_interval: Micros,
    /// [`Action::Cancel`](crate::Action::Cancel) is allowed.
    pub may_cancel: bool,
    /// [`Action::Probe`](crate::Action::Probe) is allowed.
    pub may_probe: bool,
    /// [`Action::Load`](crate::Action::Load) and [`Action::Unload`](crate::Action::Unload) are allowed.
    pub may_load: bool,
    /// A request may have two attempts in flight at once.
    pub may_hedge: bool,
    /// The number of attempts a request may have.
    pub max_attempts: u32,
    /// The number of requests that may be open at a front end.
    pub max_open_requests: usize,
    /// The longest advice to wait before a retry that clients follow; 0: they follow none.
    pub max_retry_after: Micros,
    /// A connection that is not made within this time has failed.
    pub connect_timeout: Micros,
    /// What a worker does with a call of a function that is not loaded there.
    pub miss_policy: MissPolicy,
    /// The least time that an idle instance stays loaded.
    pub idle_timeout: Micros,
    /// A load request without an answer for so long has failed.
    pub load_timeout: Micros,
    /// The budget of load requests, if there is one.
    pub load_budget: Option<LoadBudget>,
    /// Whether outcomes state that an instance was loaded already.
    pub reports_warm: bool,
    /// Whether outcomes state how many calls of the function were at the worker.
    pub reports_concurrency: bool,
    /// How load reports reach the router.
    pub reports: Reports,
    /// Memory of each kind of machine, MB.
    pub kind_memory_mb: Vec<f64>,
    /// Price of an attempt that crosses zones, as a share of a request's value.
    pub cross_zone_price: f64,
    /// Price of a fetch from the shared store, likewise.
    pub fetch_price: f64,
    /// Price of all memory being idle, likewise.
    pub idle_price: f64,
    /// Price of one probe or load request, likewise.
    pub probe_price: f64,
    /// A starting worker has at least this share of its capacity.
    pub slow_start_from: f64,
    /// And all of it after this time.
    pub slow_start_window: Micros,
    /// A worker that is still starting fails when sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long.
    pub overload_window: Micros,
    /// Sends to a draining or gone worker must stop within this time of its list entry.
    pub drain_grace: Micros,
    /// A final answer so long after the client's deadline is still in time.
    pub answer_slack: Micros,
    /// Least time between two batches of events.
    pub tick: Micros,
}

impl Default for Settings {
    /// One front end, one safe class, workers that load on a miss, nothing limited.
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

/// Settings that contradict themselves, with the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSettings(pub String);

impl std::fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings make no sense: {}", self.0)
    }
}

impl std::error::Error for InvalidSettings {}
