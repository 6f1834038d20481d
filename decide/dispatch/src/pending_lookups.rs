//! Calls that wait until the settings of their function are known, with limits on their number and waiting time.
//!
//! Each call that is added is released or refused exactly once, unless it is removed because its client left. It waits at
//! most [`MAX_WAIT`], and no longer than its own budget allows.

use crate::message::{Call, CallId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tansyrouter::{Micros, Time};

/// Maximum number of calls that wait at the same time.
pub const MAX_PENDING_CALLS: usize = 4096;
/// Maximum number of calls of one function that wait at the same time.
pub const MAX_PENDING_CALLS_PER_FUNCTION: usize = 512;
/// Longest wait of a call, microseconds, so that its refusal reaches the client within 0.49 s.
pub const MAX_WAIT: Micros = 480_000;

/// Why a waiting call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitRefusal {
    /// Too many calls wait.
    Full,
    /// The longest wait of the call is over, or it has no time to wait.
    TimedOut,
    /// The lookup does not permit the call.
    LookupRefused,
    /// The front end is shutting down.
    ShuttingDown,
}

/// How the wait of a call ends.
#[derive(Clone, Debug, PartialEq)]
pub enum WaitOutcome {
    /// The lookup ended in time and does not refuse the call.
    Release {
        /// The call.
        call: Call,
        /// How long the call waited, microseconds.
        waited: Micros,
    },
    /// The call is refused.
    Refuse {
        /// The call.
        call: CallId,
        /// The reason.
        reason: WaitRefusal,
    },
}

/// The effect of a lookup on the calls that wait for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupResult {
    /// The calls are released, because the function is known or known not to exist.
    Proceed,
    /// The calls are refused.
    Refuse,
}

#[derive(Debug)]
struct WaitingCall {
    call: Call,
    since: Time,
    deadline: Time,
}

impl WaitingCall {
    /// Ends the wait with the result of the lookup.
    fn finish(self, now: Time, result: LookupResult) -> WaitOutcome {
        let reason = match result {
            LookupResult::Proceed if now < self.deadline => {
                let waited = now.since(self.since).max(0);
                return WaitOutcome::Release {
                    call: self.call,
                    waited,
                };
            }
            LookupResult::Proceed => WaitRefusal::TimedOut,
            LookupResult::Refuse => WaitRefusal::LookupRefused,
        };
        WaitOutcome::Refuse {
            call: self.call.id,
            reason,
        }
    }
}

/// Calls that wait for lookups.
#[derive(Debug, Default)]
pub struct PendingLookups {
    calls: HashMap<CallId, WaitingCall>,
    /// Calls by function; ids ascend in the order of arrival.
    functions: BTreeMap<String, BTreeSet<CallId>>,
    deadlines: BTreeSet<(Time, CallId)>,
    closed: bool,
}

impl PendingLookups {
    /// Adds a call that waits for at most `max_wait` microseconds. A call that cannot wait is refused at once.
    pub fn add(
        &mut self,
        now: Time,
        call: Call,
        max_wait: Micros,
        outcomes: &mut Vec<WaitOutcome>,
    ) {
        let id = call.id;
        if self.calls.contains_key(&id) {
            return;
        }
        if let Some(reason) = self.refusal(&call.function, max_wait) {
            outcomes.push(WaitOutcome::Refuse { call: id, reason });
            return;
        }
        let deadline = now.plus(max_wait.min(MAX_WAIT));
        self.functions
            .entry(call.function.clone())
            .or_default()
            .insert(id);
        self.deadlines.insert((deadline, id));
        let waiting = WaitingCall {
            call,
            since: now,
            deadline,
        };
        self.calls.insert(id, waiting);
    }

    fn refusal(&self, function: &str, max_wait: Micros) -> Option<WaitRefusal> {
        let of_function = self.functions.get(function).map_or(0, BTreeSet::len);
        if self.closed {
            Some(WaitRefusal::ShuttingDown)
        } else if max_wait <= 0 {
            Some(WaitRefusal::TimedOut)
        } else if self.calls.len() >= MAX_PENDING_CALLS
            || of_function >= MAX_PENDING_CALLS_PER_FUNCTION
        {
            Some(WaitRefusal::Full)
        } else {
            None
        }
    }

    /// Ends the wait of all calls of a function with the result of its lookup, in the order of arrival.
    pub fn resolve(
        &mut self,
        now: Time,
        function: &str,
        result: LookupResult,
        outcomes: &mut Vec<WaitOutcome>,
    ) {
        for id in self.functions.remove(function).unwrap_or_default() {
            let Some(waiting) = self.calls.remove(&id) else {
                continue;
            };
            self.deadlines.remove(&(waiting.deadline, id));
            outcomes.push(waiting.finish(now, result));
        }
    }

    /// Removes a call whose client left, without an outcome. Returns whether the call was waiting.
    pub fn remove(&mut self, id: CallId) -> bool {
        let Some(waiting) = self.take(id) else {
            return false;
        };
        self.deadlines.remove(&(waiting.deadline, id));
        true
    }

    /// Refuses the calls whose longest wait is over.
    pub fn expire(&mut self, now: Time, outcomes: &mut Vec<WaitOutcome>) {
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            self.deadlines.pop_first();
            self.take(id);
            outcomes.push(WaitOutcome::Refuse {
                call: id,
                reason: WaitRefusal::TimedOut,
            });
        }
    }

    /// Refuses all calls, and all that are added later.
    pub fn close(&mut self, outcomes: &mut Vec<WaitOutcome>) {
        self.closed = true;
        self.functions = BTreeMap::new();
        self.deadlines = BTreeSet::new();
        let mut all: Vec<CallId> = self.calls.drain().map(|(id, _)| id).collect();
        all.sort();
        outcomes.extend(all.into_iter().map(|call| WaitOutcome::Refuse {
            call,
            reason: WaitRefusal::ShuttingDown,
        }));
    }

    fn take(&mut self, id: CallId) -> Option<WaitingCall> {
        let waiting = self.calls.remove(&id)?;
        if let Some(of_function) = self.functions.get_mut(&waiting.call.function) {
            of_function.remove(&id);
            if of_function.is_empty() {
                self.functions.remove(&waiting.call.function);
            }
        }
        Some(waiting)
    }

    /// When [`PendingLookups::expire`] must run next.
    pub fn next_due(&self) -> Option<Time> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Functions that calls wait for.
    pub fn functions(&self) -> impl Iterator<Item = &str> {
        self.functions.keys().map(String::as_str)
    }

    /// Whether a call is waiting.
    pub fn contains(&self, id: CallId) -> bool {
        self.calls.contains_key(&id)
    }

    /// The number of waiting calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call is waiting.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}
