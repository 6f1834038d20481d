//! The parameters of the rules.

use std::collections::BTreeMap;

/// The effect of executing a call of a function more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// No additional effect: any call may be retried.
    Safe,
    /// Workers drop a retry with the same key within this window, microseconds.
    Keyed(i64),
    /// Each execution repeats the effect.
    Unsafe,
}

/// The slow start of a worker, during which its capacity grows linearly.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Share of the full capacity at the start.
    pub initial_share: f64,
    /// Time until the full capacity is reached, microseconds.
    pub window: i64,
    /// Full capacity, in seconds of work per second.
    pub cores: f64,
}

/// The overload at which a worker fails during its slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overload {
    /// The worker fails when it is sent more than this multiple of its current capacity.
    pub multiple: f64,
    /// Window over which the work is summed, microseconds.
    pub window: i64,
}

/// The number of load requests that a front end may send in any period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadBudget {
    /// Load requests allowed regardless of the number of calls.
    pub free: f64,
    /// Additional load requests allowed for each accepted call.
    pub per_call: f64,
    /// Length of the period, microseconds.
    pub period: i64,
}

/// The parameters of all rules. Durations are in microseconds.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The effect and the deadline of each function's class.
    pub functions: BTreeMap<String, (Effect, i64)>,
    /// Longest time from the change of an endpoint list until a front end has read it.
    pub list_read_delay: i64,
    /// Time after which nothing new may be sent to a worker that is listed as draining.
    pub drain_grace: i64,
    /// The slow start of workers.
    pub slow_start: SlowStart,
    /// The overload at which a worker fails during its slow start.
    pub overload: Overload,
    /// The budget for load requests; `None` disables the check.
    pub load_budget: Option<LoadBudget>,
    /// Longest delay of a load request between its decision and its sending, since a connection may have to be made first.
    pub connect_time: i64,
    /// Largest difference between the times that the proxy and a process see for the same event.
    pub clock_tolerance: i64,
}

impl Rules {
    /// The effect of executing a call of the function more than once; unlisted functions count as unsafe.
    pub(crate) fn effect(&self, function: &str) -> Effect {
        self.functions
            .get(function)
            .map_or(Effect::Unsafe, |(effect, _)| *effect)
    }
}
