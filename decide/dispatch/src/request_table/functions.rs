//! Functions learned from calls, and the removal of unused names.

use super::Dispatcher;
use crate::config::FunctionSpec;
use crate::message::Call;
use std::collections::BTreeSet;
use tansyrouter::{FunctionId, Micros, SECOND};

/// How long an unused function is kept, in idle lives of its instances.
const RETENTION_IDLE_LIVES: Micros = 4;
/// Additional time for which a name is kept, so that the router forgets the function first, microseconds.
const RETENTION_MARGIN: Micros = 5 * SECOND;

impl Dispatcher {
    /// The function of a call: one from the settings, or one learned from the resource requirements in calls.
    pub(super) fn resolve_function(&mut self, call: &Call) -> Option<FunctionId> {
        let known = self.function_names.find(&call.function).map(FunctionId);
        let Some(shape) = call.shape else {
            return known;
        };
        let id = match known {
            Some(id) => id,
            None => FunctionId(self.function_names.intern(&call.function).ok()?),
        };
        if known.is_none() || self.learned_functions.contains_key(&id) {
            self.learned_functions.insert(id, self.now);
            let spec = self
                .function_specs
                .entry(id)
                .or_insert_with(|| FunctionSpec {
                    name: call.function.clone(),
                    class: 0,
                    lanes: shape.lanes,
                    memory_mb: shape.memory_mb,
                    load_time: shape.load_time,
                    versions: Vec::new(),
                });
            spec.lanes = shape.lanes;
            spec.memory_mb = shape.memory_mb;
            spec.load_time = shape.load_time;
        }
        Some(id)
    }

    /// Records the use of a learned function, so that its name is kept.
    pub(super) fn mark_used(&mut self, function: FunctionId) {
        if let Some(last_used) = self.learned_functions.get_mut(&function) {
            *last_used = self.now;
        }
    }

    /// Removes learned functions that were not used for some time, and names of gone workers without requests in progress.
    pub(super) fn remove_unused_names(&mut self) {
        let settings = &self.config.settings;
        let retention = settings
            .idle_timeout
            .saturating_mul(RETENTION_IDLE_LIVES)
            .max(settings.load_timeout)
            + RETENTION_MARGIN;
        let mut functions_in_use: BTreeSet<u64> =
            self.calls.values().map(|call| call.function.0).collect();
        let mut workers_in_use: BTreeSet<u64> = self.worker_states.keys().map(|w| w.0).collect();
        let attempts = self.calls.values().filter_map(|call| call.attempt.as_ref());
        workers_in_use.extend(attempts.map(|attempt| attempt.worker.0));
        for request in self.control_requests.values() {
            functions_in_use.insert(request.function.0);
            workers_in_use.insert(request.worker.0);
        }
        let now = self.now;
        let names = &mut self.function_names;
        let specs = &mut self.function_specs;
        let activity = &mut self.function_activity;
        self.learned_functions.retain(|function, last_used| {
            let in_use =
                functions_in_use.contains(&function.0) || now.since(*last_used) < retention;
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
