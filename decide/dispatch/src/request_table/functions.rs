//! Functions learned from calls, and the removal of unused names.
//!
//! Callers choose the names of functions. The names that are kept are those that the router remembers, whose number it
//! limits, and those in use by calls and control requests.

use super::entries::FunctionActivity;
use super::Dispatcher;
use crate::config::FunctionSpec;
use crate::message::{Call, FunctionShape};
use crate::names::name_hash;
use std::collections::BTreeSet;
use tansyrouter::FunctionId;

/// Unused names are removed when there are this many more learned functions than twice those that the last removal
/// left, even if no cleanup is due.
const UNUSED_NAMES_MARGIN: usize = 64;

/// The function of a call.
#[derive(Clone, Copy)]
pub(super) struct CalledFunction {
    pub id: FunctionId,
    /// Its class in the router, unless the call states one.
    pub class: usize,
    pub shape: FunctionShape,
    /// The call describes it, not the settings or an earlier call.
    pub is_described_by_call: bool,
}

impl Dispatcher {
    /// The function of a call: one from the settings, or one described by the resource requirements in the call. `None`
    /// if it is unknown.
    pub(super) fn called_function(&self, call: &Call) -> Option<CalledFunction> {
        let id = FunctionId(name_hash(&call.function));
        let known = self.function_names.name(id.0);
        // Another function has the same id.
        if known.is_some_and(|name| name != call.function) {
            return None;
        }
        let is_learned = known.is_none() || self.learned_functions.contains(&id);
        if let Some(shape) = call.shape.filter(|_| is_learned) {
            return Some(CalledFunction {
                id,
                class: 0,
                shape,
                is_described_by_call: true,
            });
        }
        let spec = self.function_specs.get(&id)?;
        Some(CalledFunction {
            id,
            class: spec.class,
            shape: spec.shape(),
            is_described_by_call: false,
        })
    }

    /// Keeps the name and the resource requirements of a learned function whose call is passed to the router.
    pub(super) fn learn_function(&mut self, function: &CalledFunction, name: &str) {
        if !function.is_described_by_call || self.function_names.intern(name).is_err() {
            return;
        }
        self.learned_functions.insert(function.id);
        let spec = FunctionSpec {
            name: name.to_string(),
            class: function.class,
            lanes: function.shape.lanes,
            memory_mb: function.shape.memory_mb,
            load_time: function.shape.load_time,
            versions: Vec::new(),
        };
        self.function_specs.insert(function.id, spec);
    }

    /// The recent activity of a function, unless its name has been removed.
    pub(super) fn activity_mut(&mut self, function: FunctionId) -> Option<&mut FunctionActivity> {
        self.function_names.name(function.0)?;
        Some(self.function_activity.entry(function).or_default())
    }

    /// Removes unused names if that is due: at intervals, and when many functions were learned since the last removal,
    /// so that the cost of the removal is spread over the calls that named them.
    pub(super) fn remove_unused_names_if_due(&mut self) {
        let most = 2 * self.learned_after_cleanup + UNUSED_NAMES_MARGIN;
        if self.now < self.next_cleanup && self.learned_functions.len() <= most {
            return;
        }
        self.next_cleanup = self.now.plus(super::CLEANUP_INTERVAL);
        self.remove_unused_names();
        self.learned_after_cleanup = self.learned_functions.len();
    }

    /// Removes learned functions that the router has forgotten, and names of gone workers, without requests in progress.
    fn remove_unused_names(&mut self) {
        let mut functions_in_use: BTreeSet<u64> =
            self.calls.values().map(|call| call.function.0).collect();
        let mut workers_in_use: BTreeSet<u64> = self.worker_states.keys().map(|w| w.0).collect();
        let attempts = self.calls.values().filter_map(|call| call.attempt.as_ref());
        workers_in_use.extend(attempts.map(|attempt| attempt.worker.0));
        for request in self.control_requests.values() {
            functions_in_use.insert(request.function.0);
            workers_in_use.insert(request.worker.0);
        }
        let router = &self.router;
        let names = &mut self.function_names;
        let specs = &mut self.function_specs;
        let activity = &mut self.function_activity;
        self.learned_functions.retain(|function| {
            let in_use = router.knows_function(*function) || functions_in_use.contains(&function.0);
            if !in_use {
                names.remove(function.0);
                specs.remove(function);
                activity.remove(function);
            }
            in_use
        });
        self.worker_names.retain(|id| workers_in_use.contains(&id));
    }
}
