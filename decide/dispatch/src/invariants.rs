//! A check of the rules at run time: told of what really left and came, it counts what must never be. It shares nothing with
//! the ledger's guards, so that an error there is seen here.
//!
//! A count over zero is a defect of this program, whoever else failed.

use crate::message::CallId;
use std::collections::{BTreeSet, HashMap};
use tansyrouter::{Effect, Span, Time};

/// A worker may be told so much more than the client has left, microseconds.
const PATIENCE_SLACK: Span = 150_000;
/// An attempt may begin so long after its client has gone, microseconds.
const GONE_SLACK: Span = 100_000;

/// Workers that drain or are gone of which the check knows at most.
const DRAINED: usize = 4096;

/// What must never be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// An attempt left while another at the same call was out.
    TwoAttempts,
    /// An attempt left after the call had its answer, or its client had gone.
    SentAfterEnd,
    /// A call that must not run twice was sent again though it may have run.
    RepeatedUnsafe,
    /// A keyed call was sent again after its repeats are dropped no more.
    RepeatedLate,
    /// An attempt left for a worker that drains or is gone.
    SentToDrained,
    /// A load left for a worker that drains or is gone.
    LoadedAtDrained,
    /// A worker was told more time than the client had left.
    PatienceTooLong,
    /// A call was answered twice.
    AnsweredTwice,
    /// A connection was closed with its call unanswered.
    ClosedUnanswered,
}

impl Violation {
    /// All of them.
    pub const ALL: [Violation; 9] = [
        Violation::TwoAttempts,
        Violation::SentAfterEnd,
        Violation::RepeatedUnsafe,
        Violation::RepeatedLate,
        Violation::SentToDrained,
        Violation::LoadedAtDrained,
        Violation::PatienceTooLong,
        Violation::AnsweredTwice,
        Violation::ClosedUnanswered,
    ];
}

/// What is known of one call.
#[derive(Debug)]
struct Watched {
    effect: Effect,
    /// When its client's time is up.
    deadline: Time,
    /// When the attempt that is out had left.
    out: Option<Time>,
    /// When the first attempt that may have run had left.
    may_have_run: Option<Time>,
    answered: bool,
    gone: Option<Time>,
}

/// The check.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    calls: HashMap<CallId, Watched>,
    /// Workers that drain or are gone, until they are told ready again.
    drained: BTreeSet<String>,
    counts: [u64; Violation::ALL.len()],
}

impl InvariantChecker {
    /// How often each was violated.
    pub fn counts(&self) -> impl Iterator<Item = (Violation, u64)> + '_ {
        Violation::ALL.into_iter().zip(self.counts)
    }
    /// Violations in all.
    pub fn total_violations(&self) -> u64 {
        self.counts.iter().sum()
    }
    /// Calls that are watched.
    pub fn watched_calls(&self) -> usize {
        self.calls.len()
    }

    fn check(&mut self, found: &[(bool, Violation)]) -> Vec<Violation> {
        let violated: Vec<Violation> = found.iter().filter(|f| f.0).map(|f| f.1).collect();
        for violation in &violated {
            self.counts[*violation as usize] += 1;
        }
        violated
    }

    /// A call was taken; its client waits until then.
    pub fn on_accepted(&mut self, call: CallId, effect: Effect, deadline: Time) {
        let watched = Watched {
            effect,
            deadline,
            out: None,
            may_have_run: None,
            answered: false,
            gone: None,
        };
        self.calls.insert(call, watched);
    }

    /// The list told of a worker.
    pub fn on_worker_state(&mut self, name: &str, ready: bool) {
        if ready {
            self.drained.remove(name);
        } else {
            self.drained.insert(name.to_string());
        }
        // Workers that are gone are never told of again.
        if self.drained.len() > DRAINED {
            self.drained.pop_first();
        }
    }

    /// The first byte of an attempt has left.
    pub fn on_attempt_sent(
        &mut self,
        now: Time,
        call: CallId,
        worker: &str,
        patience: Span,
    ) -> Vec<Violation> {
        let drained = self.drained.contains(worker);
        let Some(c) = self.calls.get_mut(&call) else {
            return self.check(&[(true, Violation::SentAfterEnd)]);
        };
        let ended = c.answered || c.gone.is_some_and(|at| now.since(at) > GONE_SLACK);
        let late = match (c.effect, c.may_have_run) {
            (Effect::Keyed { window, .. }, Some(first)) => now.since(first) >= window,
            _ => false,
        };
        let found = [
            (c.out.is_some(), Violation::TwoAttempts),
            (ended, Violation::SentAfterEnd),
            (
                c.effect == Effect::Unsafe && c.may_have_run.is_some(),
                Violation::RepeatedUnsafe,
            ),
            (late, Violation::RepeatedLate),
            (drained, Violation::SentToDrained),
            (
                patience > c.deadline.since(now).max(0) + PATIENCE_SLACK,
                Violation::PatienceTooLong,
            ),
        ];
        c.out = Some(now);
        self.check(&found)
    }

    /// An attempt that had left has ended.
    pub fn on_attempt_ended(&mut self, call: CallId, never_ran: bool) {
        let Some(c) = self.calls.get_mut(&call) else {
            return;
        };
        let left = c.out.take();
        if let Some(left) = left.filter(|_| !never_ran) {
            c.may_have_run.get_or_insert(left);
        }
        self.forget(call);
    }

    /// The first byte of an order to load has left.
    pub fn on_load_sent(&mut self, worker: &str) -> Vec<Violation> {
        let drained = self.drained.contains(worker);
        self.check(&[(drained, Violation::LoadedAtDrained)])
    }

    /// A call's answer was given.
    pub fn on_answered(&mut self, call: CallId) -> Vec<Violation> {
        let Some(c) = self.calls.get_mut(&call) else {
            return self.check(&[(true, Violation::AnsweredTwice)]);
        };
        let twice = std::mem::replace(&mut c.answered, true);
        let violated = self.check(&[(twice, Violation::AnsweredTwice)]);
        self.forget(call);
        violated
    }

    /// A call's client has gone.
    pub fn on_client_left(&mut self, now: Time, call: CallId) {
        let Some(c) = self.calls.get_mut(&call) else {
            return;
        };
        c.gone.get_or_insert(now);
        self.forget(call);
    }

    /// This side closes a connection whose call is open.
    pub fn on_connection_closed(&mut self, call: CallId) -> Vec<Violation> {
        let owed = self
            .calls
            .get(&call)
            .is_some_and(|c| !c.answered && c.gone.is_none());
        self.check(&[(owed, Violation::ClosedUnanswered)])
    }

    /// Lets go of a call that is owed nothing and has nothing out.
    fn forget(&mut self, call: CallId) {
        let done = |c: &Watched| c.out.is_none() && (c.answered || c.gone.is_some());
        if self.calls.get(&call).is_some_and(done) {
            self.calls.remove(&call);
        }
    }
}
