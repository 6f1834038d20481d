//! Read access to a dispatcher, and the switches of its optional counters.

use super::Dispatcher;
use crate::class_counters::ClassCounterTable;
use crate::config::{DispatchConfig, FunctionSpec};
use crate::counters::Counters;
use crate::message::CallId;
use std::collections::BTreeMap;
use tansyrouter::{Class, FunctionId, FunctionTableSizes, Time, WorkerState};

impl Dispatcher {
    /// When the next [`Input::Tick`](crate::Input::Tick) is due, unless another input comes first.
    pub fn next_due(&self) -> Option<Time> {
        [
            self.timers.next_due().map(Time),
            self.pending_lookups.next_due(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Counters of calls, attempts and control requests.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Counts final answers by class from now on.
    pub fn enable_class_counters(&mut self) {
        self.class_counters.get_or_insert_default();
    }

    /// Enables class counters, and values answers by these classes, by name, instead of by the settings in force.
    pub fn set_valuation_classes(&mut self, classes: BTreeMap<String, Class>) {
        self.class_counters
            .get_or_insert_default()
            .set_valuation_classes(classes);
    }

    /// Counters of final answers by class, if enabled.
    pub fn class_counters(&self) -> Option<&ClassCounterTable> {
        self.class_counters.as_deref()
    }

    /// The number of accepted calls that are not answered yet.
    pub fn open_calls(&self) -> usize {
        self.calls.values().filter(|call| !call.answered).count()
    }

    /// Whether no call, attempt or control request is left.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.pending_lookups.is_empty() && self.control_requests.is_empty()
    }

    /// The configuration in force, with the classes in the order of the router.
    pub fn config(&self) -> &DispatchConfig {
        &self.config
    }

    /// The number of workers that accept work.
    pub fn ready_workers(&self) -> usize {
        self.worker_states
            .values()
            .filter(|state| **state == WorkerState::Ready)
            .count()
    }

    /// Whether calls are accepted and a worker is ready.
    pub fn is_ready(&self) -> bool {
        !self.shutting_down && !self.conflicting.all && self.ready_workers() > 0
    }

    /// Finds a function by name.
    pub fn function(&self, name: &str) -> Option<&FunctionSpec> {
        self.function_names
            .find(name)
            .and_then(|id| self.function_specs.get(&FunctionId(id)))
    }

    /// The functions in the order of the settings, each with its estimated state: `READY`, `LOADING` or `UNAVAILABLE`.
    pub fn function_states(&self) -> Vec<(&FunctionSpec, &'static str)> {
        let idle_timeout = self.config.settings.idle_timeout;
        let state = |spec: &FunctionSpec| {
            let activity = self
                .function_names
                .find(&spec.name)
                .and_then(|id| self.function_activity.get(&FunctionId(id)));
            let is_recent = |at: Time| self.now.since(at) < idle_timeout;
            match activity {
                Some(activity) if activity.warm_at.is_some_and(is_recent) => "READY",
                Some(activity) if activity.loading > 0 => "LOADING",
                _ => "UNAVAILABLE",
            }
        };
        self.config
            .functions
            .iter()
            .map(|spec| (spec, state(spec)))
            .collect()
    }

    /// What the router remembers of functions. Visits every function.
    pub fn function_table_sizes(&self) -> FunctionTableSizes {
        self.router.function_table_sizes()
    }

    /// The number of known function names and worker names.
    pub fn name_counts(&self) -> (usize, usize) {
        (self.function_names.len(), self.worker_names.len())
    }

    /// The class name of an open call.
    pub fn class_of(&self, id: CallId) -> Option<&str> {
        let class = self.calls.get(&id)?.class;
        self.class_names.get(class).map(String::as_str)
    }
}
