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

/// The rules' figures; all durations in microseconds.
#[derive(Clone, Debug)]
pub struct Rules {
    /// By function: its class's effect and deadline.
    pub functions: BTreeMap<String, (Effect, i64)>,
    /// The longest time between the change of an endpoint list and its reading.
    pub list_read: i64,
    /// After reading that a worker drains, nothing new goes to it once this has passed.
    pub drain_grace: i64,
    /// A fresh worker's capacity: share at first, time until all of it, cores.
    pub cold: (f64, i64, f64),
    /// A worker falls over when sent more than this multiple of its capacity over this time.
    pub fall: (f64, i64),
    /// Load requests allowed: so many, and so many for each call taken, in any such time.
    pub ration: Option<(f64, f64, i64)>,
    /// A load request may leave so long after it was decided: its connection has to be made first.
    pub connect: i64,
    /// The largest difference between a relay's clock and a peer's.
    pub slack: i64,
}

impl Rules {
    /// What repeating a call of the function does; a function that isn't listed counts as unsafe.
    pub(crate) fn effect(&self, function: &str) -> Effect {
        self.functions
            .get(function)
            .map_or(Effect::Unsafe, |(effect, _)| *effect)
    }
}
