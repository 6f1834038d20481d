//! What the clients of a scenario send.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tansy_settings::{FunctionSpec, Settings};

/// A function that clients call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadFunction {
    /// Its name.
    pub name: String,
    /// What clients say that they wait, microseconds; 0: nothing, so that the class's deadline holds.
    pub timeout_us: i64,
}

impl LoadFunction {
    /// A function of the settings, with its class's deadline as the timeout.
    pub fn with_deadline(function: &FunctionSpec, settings: &Settings) -> LoadFunction {
        LoadFunction {
            name: function.name.clone(),
            timeout_us: settings.dispatch.settings.classes[function.class].deadline,
        }
    }

    /// All functions of the settings, with their classes' deadlines as timeouts.
    pub fn all(settings: &Settings) -> Vec<LoadFunction> {
        let functions = settings.dispatch.functions.iter();
        functions
            .map(|function| LoadFunction::with_deadline(function, settings))
            .collect()
    }
}

/// What the clients of a scenario send.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Where the front ends are.
    pub front_ends: Vec<SocketAddr>,
    /// The functions; the first ones are called most often.
    pub functions: Vec<LoadFunction>,
    /// Milliseconds of work of a call.
    pub work_ms: RangeInclusive<i64>,
    /// Calls a second.
    pub rate: u64,
    /// Seconds.
    pub seconds: f64,
    /// Seed of all random choices.
    pub seed: u64,
    /// The calls' ids begin with this.
    pub id_prefix: &'static str,
    /// Calls are unary, read at once and never cancelled; functions are called equally often.
    pub simple_calls: bool,
    /// No call is begun once this is set.
    pub stop: Option<Arc<AtomicBool>>,
}

impl LoadPlan {
    /// How many calls there are if nothing stops the plan.
    pub(super) fn call_count(&self) -> u64 {
        (self.rate as f64 * self.seconds) as u64
    }

    pub(super) fn is_stopped(&self) -> bool {
        let stop = self.stop.as_ref();
        stop.is_some_and(|flag| flag.load(Ordering::Relaxed))
    }
}
