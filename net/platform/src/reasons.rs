//! Counters of why client connections closed, requests were refused and attempts were retried; logged with the
//! totals.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use tansy_dispatch::AttemptOutcome;
use tansyrouter::Micros;

/// Why a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed or reset the connection.
    ClientLeft,
    /// The client never sent a byte.
    Silent,
    /// The client sent no further request after its last response.
    Idle,
    /// The connection was evicted to free its descriptor.
    Evicted,
    /// The client sent an invalid request.
    BadRequest,
    /// The client did not read its response in time.
    WriteTimedOut,
    /// The response was the last on its connection: the client did not ask for keep-alive, or the front end is
    /// shutting down.
    LastResponse,
}

impl CloseReason {
    const ALL: [CloseReason; 7] = [
        CloseReason::ClientLeft,
        CloseReason::Silent,
        CloseReason::Idle,
        CloseReason::Evicted,
        CloseReason::BadRequest,
        CloseReason::WriteTimedOut,
        CloseReason::LastResponse,
    ];

    /// The key in the logged totals.
    pub fn as_str(self) -> &'static str {
        match self {
            CloseReason::ClientLeft => "client_left",
            CloseReason::Silent => "silent",
            CloseReason::Idle => "idle",
            CloseReason::Evicted => "gave_way",
            CloseReason::BadRequest => "bad_request",
            CloseReason::WriteTimedOut => "not_taken",
            CloseReason::LastResponse => "last_answer",
        }
    }
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The deadline had passed when the request was read.
    DeadlinePassed,
    /// No attempt was sent: no worker could take the request, or the front end is shutting down.
    NotSent,
    /// Attempts were sent, but none of them ran.
    NoneRan,
}

impl RefusalReason {
    const ALL: [RefusalReason; 3] = [
        RefusalReason::DeadlinePassed,
        RefusalReason::NotSent,
        RefusalReason::NoneRan,
    ];

    /// Classifies a refusal by the number of attempts made, the time waited and the client's time budget, in
    /// microseconds.
    pub fn classify(attempts: usize, waited: Micros, budget: Micros) -> RefusalReason {
        match attempts {
            0 if waited > 0 && waited >= budget => RefusalReason::DeadlinePassed,
            0 => RefusalReason::NotSent,
            _ => RefusalReason::NoneRan,
        }
    }

    /// The key in the logged totals.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::DeadlinePassed => "too_late",
            RefusalReason::NotSent => "never_sent",
            RefusalReason::NoneRan => "none_ran",
        }
    }
}

/// Counts since the start of the process.
#[derive(Debug, Default)]
pub struct ReasonCounters {
    closed: [Cell<u64>; CloseReason::ALL.len()],
    refused: [Cell<u64>; RefusalReason::ALL.len()],
    /// Retries, by the outcome of the previous attempt.
    retried: RefCell<BTreeMap<String, u64>>,
    /// Closed connections to workers, by outcome.
    disconnected: RefCell<BTreeMap<String, u64>>,
}

fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl ReasonCounters {
    /// Counts the close of a client connection.
    pub fn count_closed(&self, reason: CloseReason) {
        increment(&self.closed[reason as usize]);
    }
    /// Counts a refused request.
    pub fn count_refused(&self, reason: RefusalReason) {
        increment(&self.refused[reason as usize]);
    }
    /// Counts a retry after an attempt that ended with `last`.
    pub fn count_retry(&self, last: AttemptOutcome) {
        *self
            .retried
            .borrow_mut()
            .entry(outcome_key(last))
            .or_default() += 1;
    }
    /// Counts the end of a connection to a worker.
    pub fn count_disconnected(&self, outcome: AttemptOutcome) {
        *self
            .disconnected
            .borrow_mut()
            .entry(outcome_key(outcome))
            .or_default() += 1;
    }
}

/// An outcome's key in the logged totals. The number of distinct keys is small: worker statuses and socket errors.
fn outcome_key(outcome: AttemptOutcome) -> String {
    outcome.to_string().to_lowercase().replace(' ', "_")
}

impl std::fmt::Display for ReasonCounters {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let closed = CloseReason::ALL
            .iter()
            .zip(&self.closed)
            .map(|(reason, total)| (reason.as_str(), total.get()));
        let refused = RefusalReason::ALL
            .iter()
            .zip(&self.refused)
            .map(|(reason, total)| (reason.as_str(), total.get()));
        for (reason, total) in closed.filter(|entry| entry.1 > 0) {
            write!(f, "closed.{reason}={total} ")?;
        }
        for (reason, total) in refused.filter(|entry| entry.1 > 0) {
            write!(f, "refused.{reason}={total} ")?;
        }
        for (outcome, total) in self.retried.borrow().iter() {
            write!(f, "repeated.{outcome}={total} ")?;
        }
        for (outcome, total) in self.disconnected.borrow().iter() {
            write!(f, "disconnected.{outcome}={total} ")?;
        }
        Ok(())
    }
}
