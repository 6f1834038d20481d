//! Which waiting call is refused when another client needs what it holds: its connection, or its share of the open
//! requests.
//!
//! Only a call of which no attempt was ever sent may be refused then: nothing of it can have run. Callers choose the
//! names of functions, so calls of functions that workers are known to have are refused last.

use super::instances::Function;
use super::queue::QueueKey;
use super::Router;
use crate::{Action, FunctionId};

/// What is known of a waiting call's function. Calls of the greatest tier are refused first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ShedTier {
    /// A worker has served a call of it or reported an instance of it.
    Confirmed,
    /// Its first load is in progress.
    Loading,
    /// No load of it has been requested yet.
    Untried,
    /// A worker has reported that a load of it failed.
    LoadFailed,
}

/// The position of a function in the order in which waiting calls are refused.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ShedKey {
    tier: ShedTier,
    /// The last of its queued calls that were never sent.
    call: QueueKey,
    function: FunctionId,
}

impl Function {
    fn shed_tier(&self) -> ShedTier {
        if self.confirmed {
            ShedTier::Confirmed
        } else if self.load_failed {
            ShedTier::LoadFailed
        } else if self.pending_loads > 0 {
            ShedTier::Loading
        } else {
            ShedTier::Untried
        }
    }
}

impl Router {
    /// Refuses one waiting call, as another client needs what it holds. With `only_unlikely`, calls of functions that
    /// a worker is known to have or to load are spared.
    ///
    /// # Departure from the base algorithm
    ///
    /// The base algorithm holds a call for as long as its client waits. A front end has a limited number of
    /// connections, and a client that gets none is not answered at all. So the call that would be served last is
    /// refused.
    ///
    /// Trade-off: a call that might still have been served in time is refused.
    pub(super) fn shed_waiting_call(&mut self, only_unlikely: bool, actions: &mut Vec<Action>) {
        let Some(next) = self.shed_order.last() else {
            return;
        };
        if only_unlikely && next.tier <= ShedTier::Loading {
            return;
        }
        let request = next.call.request();
        actions.push(Action::Shed { request });
        self.close_request(request);
    }

    /// Updates the position of a function after a change of its queue or of what is known of it.
    pub(super) fn update_shed_order(&mut self, function_id: FunctionId) {
        let Some(function) = self.functions.get_mut(&function_id) else {
            return;
        };
        let tier = function.shed_tier();
        let last = function.unsent.last().copied();
        let key = last.map(|call| ShedKey {
            tier,
            call,
            function: function_id,
        });
        if function.shed_key == key {
            return;
        }
        let before = std::mem::replace(&mut function.shed_key, key);
        if let Some(before) = before {
            self.shed_order.remove(&before);
        }
        if let Some(key) = key {
            self.shed_order.insert(key);
        }
    }
}
