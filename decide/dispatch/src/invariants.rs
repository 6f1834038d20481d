//! Checks invariants at run time against what was actually sent and received. It shares no code with the guards of the
//! request table, so it detects their errors.
//!
//! A nonzero count is a defect of this program, whatever its peers do.

use crate::message::CallId;
use std::collections::{BTreeSet, HashMap};
use tansyrouter::{Effect, Micros, Time};

/// Allowed excess of the budget given to a worker over the time left to the client, microseconds.
const BUDGET_SLACK: Micros = 150_000;
/// How long after a client left an attempt at its call may still be sent, microseconds.
const CLIENT_LEFT_SLACK: Micros = 100_000;

/// Maximum number of workers remembered as not ready.
const MAX_NOT_READY: usize = 4096;

/// A violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// An attempt was sent while another attempt at the same call was in progress.
    TwoAttempts,
    /// An attempt was sent after the call was answered or its client had left.
    SentAfterEnd,
    /// A call that must not run twice was sent again although it may have run.
    RepeatedUnsafe,
    /// A keyed call was sent again after the window in which workers drop its repeats.
    RepeatedLate,
    /// An attempt was sent to a worker that is draining or gone.
    SentToDrained,
    /// A load was sent to a worker that is draining or gone.
    LoadedAtDrained,
    /// A worker was given more time than the client had left.
    PatienceTooLong,
    /// A call was answered twice.
    AnsweredTwice,
    /// A client connection was closed before its call was answered.
    ClosedUnanswered,
}

impl Violation {
    /// All violations, in the order of their counts.
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

#[derive(Debug)]
struct TrackedCall {
    effect: Effect,
    /// When the client stops waiting.
    deadline: Time,
    /// When the attempt in progress was sent.
    attempt_sent: Option<Time>,
    /// When the first attempt that may have run was sent.
    may_have_run_since: Option<Time>,
    answered: bool,
    client_left: Option<Time>,
}

/// Checks calls, attempts and loads, and counts violations.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    calls: HashMap<CallId, TrackedCall>,
    /// Workers that are draining or gone, until they are listed as ready again.
    not_ready: BTreeSet<String>,
    counts: [u64; Violation::ALL.len()],
}

impl InvariantChecker {
    /// The number of violations of each kind.
    pub fn counts(&self) -> impl Iterator<Item = (Violation, u64)> + '_ {
        Violation::ALL.into_iter().zip(self.counts)
    }
    /// The number of violations of all kinds.
    pub fn total_violations(&self) -> u64 {
        self.counts.iter().sum()
    }
    /// The number of calls being tracked.
    pub fn tracked_calls(&self) -> usize {
        self.calls.len()
    }

    fn count(&mut self, checks: &[(bool, Violation)]) -> Vec<Violation> {
        let violated: Vec<Violation> = checks
            .iter()
            .filter(|(violated, _)| *violated)
            .map(|(_, violation)| *violation)
            .collect();
        for violation in &violated {
            self.counts[*violation as usize] += 1;
        }
        violated
    }

    /// A call was accepted, whose client waits until `deadline`.
    pub fn on_accepted(&mut self, id: CallId, effect: Effect, deadline: Time) {
        let tracked = TrackedCall {
            effect,
            deadline,
            attempt_sent: None,
            may_have_run_since: None,
            answered: false,
            client_left: None,
        };
        self.calls.insert(id, tracked);
    }

    /// A worker was listed, as ready or not.
    pub fn on_worker_state(&mut self, name: &str, ready: bool) {
        if ready {
            self.not_ready.remove(name);
        } else {
            self.not_ready.insert(name.to_string());
        }
        // Workers that are gone are not listed again, so their names would accumulate.
        if self.not_ready.len() > MAX_NOT_READY {
            self.not_ready.pop_first();
        }
    }

    /// The first byte of an attempt was sent, with this budget for the worker.
    pub fn on_attempt_sent(
        &mut self,
        now: Time,
        id: CallId,
        worker: &str,
        budget: Micros,
    ) -> Vec<Violation> {
        let not_ready = self.not_ready.contains(worker);
        let Some(call) = self.calls.get_mut(&id) else {
            return self.count(&[(true, Violation::SentAfterEnd)]);
        };
        let ended = call.answered
            || call
                .client_left
                .is_some_and(|at| now.since(at) > CLIENT_LEFT_SLACK);
        let late = match (call.effect, call.may_have_run_since) {
            (Effect::Keyed { window, .. }, Some(first)) => now.since(first) >= window,
            _ => false,
        };
        let checks = [
            (call.attempt_sent.is_some(), Violation::TwoAttempts),
            (ended, Violation::SentAfterEnd),
            (
                call.effect == Effect::Unsafe && call.may_have_run_since.is_some(),
                Violation::RepeatedUnsafe,
            ),
            (late, Violation::RepeatedLate),
            (not_ready, Violation::SentToDrained),
            (
                budget > call.deadline.since(now).max(0) + BUDGET_SLACK,
                Violation::PatienceTooLong,
            ),
        ];
        call.attempt_sent = Some(now);
        self.count(&checks)
    }

    /// An attempt that was sent has ended.
    pub fn on_attempt_ended(&mut self, id: CallId, never_ran: bool) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let sent = call.attempt_sent.take();
        if let Some(sent) = sent.filter(|_| !never_ran) {
            call.may_have_run_since.get_or_insert(sent);
        }
        self.remove_if_done(id);
    }

    /// The first byte of a load was sent.
    pub fn on_load_sent(&mut self, worker: &str) -> Vec<Violation> {
        let not_ready = self.not_ready.contains(worker);
        self.count(&[(not_ready, Violation::LoadedAtDrained)])
    }

    /// A call was answered.
    pub fn on_answered(&mut self, id: CallId) -> Vec<Violation> {
        let Some(call) = self.calls.get_mut(&id) else {
            return self.count(&[(true, Violation::AnsweredTwice)]);
        };
        let twice = std::mem::replace(&mut call.answered, true);
        let violated = self.count(&[(twice, Violation::AnsweredTwice)]);
        self.remove_if_done(id);
        violated
    }

    /// The client of a call left.
    pub fn on_client_left(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.client_left.get_or_insert(now);
        self.remove_if_done(id);
    }

    /// This front end closes the client connection of a call.
    pub fn on_connection_closed(&mut self, id: CallId) -> Vec<Violation> {
        let unanswered = self
            .calls
            .get(&id)
            .is_some_and(|call| !call.answered && call.client_left.is_none());
        self.count(&[(unanswered, Violation::ClosedUnanswered)])
    }

    /// Removes a call that has ended and has no attempt in progress.
    fn remove_if_done(&mut self, id: CallId) {
        let done = |call: &TrackedCall| {
            call.attempt_sent.is_none() && (call.answered || call.client_left.is_some())
        };
        if self.calls.get(&id).is_some_and(done) {
            self.calls.remove(&id);
        }
    }
}
