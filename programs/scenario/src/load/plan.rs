//! Parameters of the load generator.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tansy_settings::{FunctionSpec, Settings};

/// A function that clients call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadFunction {
    /// Name of the function.
    pub name: String,
    /// Timeout that clients send; 0: none, so that the class's deadline applies.
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

/// Parameters of the load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Addresses of the front ends.
    pub front_ends: Vec<SocketAddr>,
    /// Functions to call; the first ones are called most often.
    pub functions: Vec<LoadFunction>,
    /// Range of a call's work.
    pub work_ms: RangeInclusive<i64>,
    /// Calls per second.
    pub rate: u64,
    /// Time during which calls are sent.
    pub seconds: f64,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Prefix of the calls' ids.
    pub id_prefix: &'static str,
    /// All calls are unary, read at once and never cancelled, and all functions are called equally often.
    pub simple_calls: bool,
    /// Stops the plan once set: no further calls are started.
    pub stop: Option<Arc<AtomicBool>>,
}

impl LoadPlan {
    /// Number of calls if the plan is not stopped.
    pub(super) fn call_count(&self) -> u64 {
        (self.rate as f64 * self.seconds) as u64
    }

    pub(super) fn is_stopped(&self) -> bool {
        let stop = self.stop.as_ref();
        stop.is_some_and(|flag| flag.load(Ordering::Relaxed))
    }
}
