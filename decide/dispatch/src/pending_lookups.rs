//! Calls that wait until it is known what their function's settings are: how many, how long, and one end for each.
//!
//! Each call that is parked comes out once, released or refused, unless its client leaves before. It waits at most
//! [`MAX_WAIT`] and no longer than its own time allows.

use crate::message::{Call, CallId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tansyrouter::{Span, Time};

/// Calls that may wait at once ...
pub const MAX_CALLS: usize = 4096;
/// ... and of one function.
pub const MAX_CALLS_OF_FUNCTION: usize = 512;
/// A call waits no longer, microseconds: its refusal is to be at the client within 0.49 s, and has a way to go.
pub const MAX_WAIT: Span = 480_000;

/// Why a call that was parked is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitRefusal {
    /// Too many wait.
    Full,
    /// Its limit has come.
    TimedOut,
    /// What was learned does not let it be taken.
    Lookup,
    /// The front end closes.
    ShuttingDown,
}

/// The end of a call's wait.
#[derive(Clone, Debug, PartialEq)]
pub enum WaitEnd {
    /// It goes on, having waited so long.
    Release {
        /// The call.
        call: Call,
        /// Microseconds.
        waited: Span,
    },
    /// It is refused.
    Refuse {
        /// The call.
        call: CallId,
        /// Why.
        reason: WaitRefusal,
    },
}

/// What is learned of a function whose calls wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupResult {
    /// Its calls go on.
    Proceed,
    /// Its calls are refused.
    Refuse,
}

#[derive(Debug)]
struct WaitingCall {
    call: Call,
    came: Time,
    until: Time,
}

/// The calls that wait.
#[derive(Debug, Default)]
pub struct PendingLookups {
    calls: HashMap<CallId, WaitingCall>,
    /// By function, in the order in which they came.
    functions: BTreeMap<String, BTreeSet<CallId>>,
    limits: BTreeSet<(Time, CallId)>,
    closed: bool,
}

impl PendingLookups {
    /// Has a call wait, for `own` microseconds at most. One that can't wait is refused at once.
    pub fn add(&mut self, now: Time, call: Call, own: Span, out: &mut Vec<WaitEnd>) {
        let id = call.id;
        if self.calls.contains_key(&id) {
            return;
        }
        let of_one = self.functions.get(&call.function).map_or(0, BTreeSet::len);
        let reason = match () {
            () if self.closed => Some(WaitRefusal::ShuttingDown),
            () if own <= 0 => Some(WaitRefusal::TimedOut),
            () if self.calls.len() >= MAX_CALLS || of_one >= MAX_CALLS_OF_FUNCTION => {
                Some(WaitRefusal::Full)
            }
            () => None,
        };
        if let Some(reason) = reason {
            out.push(WaitEnd::Refuse { call: id, reason });
            return;
        }
        let until = now.plus(own.min(MAX_WAIT));
        self.functions
            .entry(call.function.clone())
            .or_default()
            .insert(id);
        self.limits.insert((until, id));
        self.calls.insert(
            id,
            WaitingCall {
                call,
                came: now,
                until,
            },
        );
    }

    /// Something was learned of a function: ends the wait of all its calls, in the order in which they came.
    pub fn resolve(
        &mut self,
        now: Time,
        function: &str,
        result: LookupResult,
        out: &mut Vec<WaitEnd>,
    ) {
        for id in self.functions.remove(function).unwrap_or_default() {
            let Some(w) = self.calls.remove(&id) else {
                continue;
            };
            self.limits.remove(&(w.until, id));
            out.push(match result {
                LookupResult::Proceed if now < w.until => WaitEnd::Release {
                    call: w.call,
                    waited: now.since(w.came).max(0),
                },
                LookupResult::Proceed => WaitEnd::Refuse {
                    call: id,
                    reason: WaitRefusal::TimedOut,
                },
                LookupResult::Refuse => WaitEnd::Refuse {
                    call: id,
                    reason: WaitRefusal::Lookup,
                },
            });
        }
    }

    /// The call's client has left. Whether it waited here; nothing more comes of it.
    pub fn remove(&mut self, id: CallId) -> bool {
        let Some(w) = self.take(id) else { return false };
        self.limits.remove(&(w.until, id));
        true
    }

    /// Refuses those whose limit has come.
    pub fn expire(&mut self, now: Time, out: &mut Vec<WaitEnd>) {
        while let Some((_, id)) = self
            .limits
            .first()
            .copied()
            .filter(|(until, _)| *until <= now)
        {
            self.limits.pop_first();
            self.take(id);
            out.push(WaitEnd::Refuse {
                call: id,
                reason: WaitRefusal::TimedOut,
            });
        }
    }

    /// Refuses all, and whatever comes from now on.
    pub fn close(&mut self, out: &mut Vec<WaitEnd>) {
        self.closed = true;
        (self.functions, self.limits) = Default::default();
        let mut all: Vec<CallId> = self.calls.drain().map(|(id, _)| id).collect();
        all.sort();
        out.extend(all.into_iter().map(|call| WaitEnd::Refuse {
            call,
            reason: WaitRefusal::ShuttingDown,
        }));
    }

    fn take(&mut self, id: CallId) -> Option<WaitingCall> {
        let w = self.calls.remove(&id)?;
        if let Some(of_one) = self.functions.get_mut(&w.call.function) {
            of_one.remove(&id);
            if of_one.is_empty() {
                self.functions.remove(&w.call.function);
            }
        }
        Some(w)
    }

    /// When [`PendingLookups::expire`] is wanted.
    pub fn next_due(&self) -> Option<Time> {
        self.limits.first().map(|l| l.0)
    }
    /// The functions whose calls wait.
    pub fn functions(&self) -> impl Iterator<Item = &str> {
        self.functions.keys().map(String::as_str)
    }
    /// Whether this call waits.
    pub fn contains(&self, id: CallId) -> bool {
        self.calls.contains_key(&id)
    }
    /// How many wait.
    pub fn len(&self) -> usize {
        self.calls.len()
    }
    /// Whether none does.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}
