//! What can be read of a dispatcher from outside, and which of its optional counters it keeps.

use super::Dispatcher;
use crate::class_counters::ClassCounterTable;
use crate::config::{DispatchConfig, FunctionSpec};
use crate::counters::Counters;
use crate::message::CallId;
use std::collections::BTreeMap;
use tansyrouter::{Class, FunctionId, Time, WorkerState};

impl Dispatcher {
    /// When [`Input::Tick`](crate::Input::Tick) is wanted at the latest.
    pub fn next_due(&self) -> Option<Time> {
        [
            self.timers.next_due().map(Time),
            self.pending_lookups.next_due(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// The counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Counts final answers by class from now on.
    pub fn enable_class_counters(&mut self) {
        self.class_counters.get_or_insert_default();
    }

    /// Answers that are counted by class are valued by these classes, by name, whatever the settings in force say.
    pub fn set_valuation_classes(&mut self, classes: BTreeMap<String, Class>) {
        self.class_counters
            .get_or_insert_default()
            .set_valuation_classes(classes);
    }

    /// Final answers by class, if they are counted.
    pub fn class_counters(&self) -> Option<&ClassCounterTable> {
        self.class_counters.as_deref()
    }

    /// Calls that were accepted and are owed an answer.
    pub fn open_calls(&self) -> usize {
        self.calls.values().filter(|call| !call.answered).count()
    }

    /// Whether nothing is left: no call, no attempt, no control request.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.pending_lookups.is_empty() && self.control_requests.is_empty()
    }

    /// The settings in force, with the router's own list of classes.
    pub fn config(&self) -> &DispatchConfig {
        &self.config
    }

    /// Workers that accept work.
    pub fn ready_workers(&self) -> usize {
        self.worker_states
            .values()
            .filter(|state| **state == WorkerState::Ready)
            .count()
    }

    /// Whether calls are accepted.
    pub fn is_ready(&self) -> bool {
        !self.shutting_down && !self.conflicting.all && self.ready_workers() > 0
    }

    /// A function by name.
    pub fn function(&self, name: &str) -> Option<&FunctionSpec> {
        self.function_names
            .find(name)
            .and_then(|id| self.function_specs.get(&FunctionId(id)))
    }

    /// The functions in the order of the settings, each with its believed state: `READY`, `LOADING` or `UNAVAILABLE`.
    pub fn function_states(&self) -> Vec<(&FunctionSpec, &'static str)> {
        let idle_timeout = self.config.settings.idle_timeout;
        let state = |spec: &FunctionSpec| {
            let activity = self
                .function_names
                .find(&spec.name)
                .and_then(|id| self.function_activity.get(&FunctionId(id)));
            let recent = |at: Time| self.now.since(at) < idle_timeout;
            match activity {
                Some(activity) if activity.warm_at.is_some_and(recent) => "READY",
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

    /// How many names of functions and of workers are known.
    pub fn name_counts(&self) -> (usize, usize) {
        (self.function_names.len(), self.worker_names.len())
    }

    /// The class of an open call, for logs.
    pub fn class_of(&self, id: CallId) -> Option<&str> {
        let class = self.calls.get(&id)?.class;
        self.class_names.get(class).map(String::as_str)
    }
}
