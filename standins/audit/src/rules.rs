//! The figures that the rules are checked with.

use std::collections::BTreeMap;

/// What a repeated attempt of a function's call does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: any call may be repeated.
    Safe,
    /// Workers drop a repeat of the same key within so many microseconds.
    Keyed(i64),
    /// It acts twice.
    Unsafe,
}

/// The capacity of a worker that has just started: it grows evenly to all of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// The share of its capacity at first.
    pub initial_share: f64,
    /// The time until it has all of it, microseconds.
    pub window: i64,
    /// All of it: seconds of work a second.
    pub cores: f64,
}

/// When a worker that has just started fails under overload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overload {
    /// It is sent more than this multiple of its present capacity.
    pub multiple: f64,
    /// The time over which its work is summed, microseconds.
    pub window: i64,
}

/// Load requests that a front end may send in any period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadBudget {
    /// So many whatever it takes.
    pub free: f64,
    /// So many more for each call that it took.
    pub per_call: f64,
    /// The period, microseconds.
    pub period: i64,
}

/// The rules' figures; all durations in microseconds.
#[derive(Clone, Debug)]
pub struct Rules {
    /// By function: its class's effect and deadline.
    pub functions: BTreeMap<String, (Effect, i64)>,
    /// The longest time between the change of an endpoint list and its reading.
    pub list_read_delay: i64,
    /// After reading that a worker drains, nothing new goes to it once this has passed.
    pub drain_grace: i64,
    /// The capacity of a worker that has just started.
    pub slow_start: SlowStart,
    /// The load that a worker that has just started can serve.
    pub overload: Overload,
    /// Load requests that a front end may send; none: they are not checked.
    pub load_budget: Option<LoadBudget>,
    /// A load request may leave so long after it was decided: its connection has to be made first.
    pub connect_time: i64,
    /// The largest difference between a relay's clock and a peer's.
    pub clock_tolerance: i64,
}

impl Rules {
    /// What repeating a call of the function does; a function that isn't listed counts as unsafe.
    pub(crate) fn effect(&self, function: &str) -> Effect {
        self.functions
            .get(function)
            .map_or(Effect::Unsafe, |(effect, _)| *effect)
    }
}
