//! Which functions the router remembers. Callers choose the names of functions, so their number is limited.
//!
//! A function is in use while one of its requests is open or one of its loads is in progress; then it is not forgotten.
//! The others are idle. A function is confirmed once a worker has served a call of it or reported an instance of it:
//! callers cannot make confirmed functions by naming them.

use super::instances::Function;
use super::Router;
use crate::{FunctionId, Time, WorkerId};
use std::collections::BTreeSet;
use std::mem::size_of;

/// The memory limit divided by this is used for functions.
const MEMORY_DIVISOR: u64 = 8;

/// Approximate memory for one function in the router and the dispatcher, without its order of workers, in bytes.
const FUNCTION_BYTES: u64 = 2048;

/// Minimum number of functions that are remembered, whatever the memory limit.
const MIN_FUNCTIONS: u64 = 256;

/// The idle functions, by the time of their latest call.
#[derive(Default)]
pub(super) struct IdleFunctions {
    unconfirmed: BTreeSet<(Time, FunctionId)>,
    confirmed: BTreeSet<(Time, FunctionId)>,
}

impl IdleFunctions {
    fn insert(&mut self, id: FunctionId, function: &Function) {
        let key = (function.last_call(), id);
        self.tier(function).insert(key);
    }

    pub(super) fn remove(&mut self, id: FunctionId, function: &Function) {
        let key = (function.last_call(), id);
        self.tier(function).remove(&key);
    }

    fn tier(&mut self, function: &Function) -> &mut BTreeSet<(Time, FunctionId)> {
        if function.confirmed {
            &mut self.confirmed
        } else {
            &mut self.unconfirmed
        }
    }

    /// Removes and returns the function to forget next: the least recently called unconfirmed one, or, if there is
    /// none, the least recently called one.
    fn pop(&mut self) -> Option<FunctionId> {
        let next = self.unconfirmed.pop_first();
        let next = next.or_else(|| self.confirmed.pop_first());
        next.map(|(_, id)| id)
    }
}

impl Function {
    fn last_call(&self) -> Time {
        self.recent_calls.updated_at
    }

    /// Whether one of its requests is open or one of its loads is in progress.
    pub(super) fn is_in_use(&self) -> bool {
        self.open_requests > 0 || self.pending_loads > 0
    }
}

/// What a router remembers of functions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FunctionTableSizes {
    /// Functions.
    pub functions: usize,
    /// Instances of them, one for each worker where one was sought or found.
    pub instances: usize,
    /// Entries in their orders of workers by affinity.
    pub ranked_workers: usize,
}

impl Router {
    /// Whether the router remembers a function. It requests nothing for functions that it does not remember.
    pub fn knows_function(&self, function: FunctionId) -> bool {
        self.functions.contains_key(&function)
    }

    /// Whether a worker has served a call of a function or reported an instance of it.
    pub fn is_confirmed(&self, function: FunctionId) -> bool {
        let function = self.functions.get(&function);
        function.is_some_and(|function| function.confirmed)
    }

    /// Returns the sizes of the tables of functions, for logs and tests. Visits every function.
    pub fn function_table_sizes(&self) -> FunctionTableSizes {
        let mut sizes = FunctionTableSizes {
            functions: self.functions.len(),
            ..FunctionTableSizes::default()
        };
        for function in self.functions.values() {
            sizes.instances += function.instances.len();
            sizes.ranked_workers += function.affinity_order.borrow().workers.len();
        }
        sizes
    }

    /// Returns the number of functions above which idle ones are forgotten; `None` without a memory limit.
    fn function_limit(&self) -> Option<usize> {
        let memory = self.settings.memory_limit? / MEMORY_DIVISOR;
        let order = self.ready_count as u64 * size_of::<(f64, WorkerId)>() as u64;
        let limit = (memory / (FUNCTION_BYTES + order)).max(MIN_FUNCTIONS);
        usize::try_from(limit).ok()
    }

    /// Forgets idle functions until there is room for another one.
    ///
    /// # Departure from the base algorithm
    ///
    /// The base algorithm keeps state for every function. Under a memory limit, functions that no worker has confirmed
    /// are forgotten first, so that calls of any number of unknown functions do not displace what was learned of the
    /// others.
    ///
    /// Trade-off: a forgotten function that is called again starts without estimates.
    pub(super) fn make_room_for_function(&mut self) {
        let Some(limit) = self.function_limit() else {
            return;
        };
        while self.functions.len() >= limit {
            let Some(id) = self.idle_functions.pop() else {
                return;
            };
            self.functions.remove(&id);
        }
    }

    /// Takes a function out of the idle ones, before its use or before an update of what is known of it.
    pub(super) fn start_use(&mut self, id: FunctionId) {
        if let Some(function) = self.functions.get_mut(&id) {
            if std::mem::take(&mut function.idle) {
                self.idle_functions.remove(id, function);
            }
        }
    }

    /// Counts a function as idle if it is not in use any more.
    pub(super) fn end_use(&mut self, id: FunctionId) {
        if let Some(function) = self.functions.get_mut(&id) {
            if !function.is_in_use() && !std::mem::replace(&mut function.idle, true) {
                self.idle_functions.insert(id, function);
            }
        }
    }
}
