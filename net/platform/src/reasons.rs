//! Why connections were closed, requests refused and attempts repeated: counted here, told in the totals.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use tansy_dispatch::AttemptOutcome;
use tansyrouter::Span;

/// Why a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed or reset it.
    ClientLeft,
    /// It never sent a byte.
    Silent,
    /// It was answered, and sent nothing after that.
    Idle,
    /// Its place was needed.
    GaveWay,
    /// What it sent was no request.
    BadRequest,
    /// Its answer was not taken in time.
    NotTaken,
    /// Its request asked for that, or this front end takes no more.
    LastAnswer,
}

impl CloseReason {
    const ALL: [CloseReason; 7] = [
        CloseReason::ClientLeft,
        CloseReason::Silent,
        CloseReason::Idle,
        CloseReason::GaveWay,
        CloseReason::BadRequest,
        CloseReason::NotTaken,
        CloseReason::LastAnswer,
    ];

    /// For logs.
    pub fn as_str(self) -> &'static str {
        match self {
            CloseReason::ClientLeft => "client_left",
            CloseReason::Silent => "silent",
            CloseReason::Idle => "idle",
            CloseReason::GaveWay => "gave_way",
            CloseReason::BadRequest => "bad_request",
            CloseReason::NotTaken => "not_taken",
            CloseReason::LastAnswer => "last_answer",
        }
    }
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// Its time was over when it was read.
    TooLate,
    /// No worker could take it, or this front end takes no more.
    NeverSent,
    /// Attempts were made, and none of them ran.
    NoneRan,
}

impl RefusalReason {
    const ALL: [RefusalReason; 3] = [
        RefusalReason::TooLate,
        RefusalReason::NeverSent,
        RefusalReason::NoneRan,
    ];

    /// By the attempts made, and the time waited and given, microseconds.
    pub fn of(attempts: usize, waited: Span, budget: Span) -> RefusalReason {
        match attempts {
            0 if waited > 0 && waited >= budget => RefusalReason::TooLate,
            0 => RefusalReason::NeverSent,
            _ => RefusalReason::NoneRan,
        }
    }

    /// For logs.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::TooLate => "too_late",
            RefusalReason::NeverSent => "never_sent",
            RefusalReason::NoneRan => "none_ran",
        }
    }
}

/// The counts since the start.
#[derive(Debug, Default)]
pub struct Reasons {
    closed: [Cell<u64>; CloseReason::ALL.len()],
    refused: [Cell<u64>; RefusalReason::ALL.len()],
    /// By how the attempt before had ended.
    repeated: RefCell<BTreeMap<String, u64>>,
    /// Connections to workers, by how they ended.
    disconnected: RefCell<BTreeMap<String, u64>>,
}

fn count(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}

impl Reasons {
    /// A client's connection was closed.
    pub fn closed(&self, reason: CloseReason) {
        count(&self.closed[reason as usize]);
    }
    /// A request was refused.
    pub fn refused(&self, reason: RefusalReason) {
        count(&self.refused[reason as usize]);
    }
    /// A request was sent once more; its attempt before had ended so.
    pub fn repeated(&self, last: AttemptOutcome) {
        *self.repeated.borrow_mut().entry(label(last)).or_default() += 1;
    }
    /// A connection to a worker has ended so.
    pub fn disconnected(&self, seen: AttemptOutcome) {
        *self
            .disconnected
            .borrow_mut()
            .entry(label(seen))
            .or_default() += 1;
    }
}

/// The sorts of ends are few: statuses of workers and what sockets show.
fn label(seen: AttemptOutcome) -> String {
    seen.to_string().to_lowercase().replace(' ', "_")
}

impl std::fmt::Display for Reasons {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let closed = CloseReason::ALL
            .iter()
            .zip(&self.closed)
            .map(|(r, n)| (r.as_str(), n.get()));
        let refused = RefusalReason::ALL
            .iter()
            .zip(&self.refused)
            .map(|(r, n)| (r.as_str(), n.get()));
        for (reason, n) in closed.filter(|c| c.1 > 0) {
            write!(f, "closed.{reason}={n} ")?;
        }
        for (reason, n) in refused.filter(|c| c.1 > 0) {
            write!(f, "refused.{reason}={n} ")?;
        }
        for (reason, n) in self.repeated.borrow().iter() {
            write!(f, "repeated.{reason}={n} ")?;
        }
        for (reason, n) in self.disconnected.borrow().iter() {
            write!(f, "disconnected.{reason}={n} ")?;
        }
        Ok(())
    }
}
