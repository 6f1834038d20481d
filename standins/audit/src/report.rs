//! What an audit gives: totals, violations, and each call's history.

use std::collections::BTreeMap;

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule's number; 0: two attempts open at once.
    pub rule: u8,
    /// When, in microseconds of the recording.
    pub at: i64,
    /// The call's id, or the worker or front end.
    pub subject: String,
    /// In words.
    pub reason: String,
}

/// How a call ended at its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallEnd {
    /// An answer.
    Served,
    /// A refusal.
    Refused,
    /// A failure.
    Failed,
    /// The client cancelled or disconnected before.
    Left,
    /// Its front end was killed.
    Killed,
    /// None of these.
    Open,
}

/// The result of an audit.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    /// Calls started.
    pub started: usize,
    /// Calls by how they ended.
    pub ends: BTreeMap<CallEnd, usize>,
    /// Attempts sent to workers.
    pub attempts: usize,
    /// Attempts beyond each call's first.
    pub retries: usize,
    /// Load requests.
    pub loads: usize,
    /// Violations, by time.
    pub violations: Vec<Violation>,
}

/// The history of one call.
#[derive(Clone, Debug)]
pub struct CallHistory {
    /// Its id.
    pub id: String,
    /// The front end that its client asked.
    pub front: usize,
    /// When the call reached that front end.
    pub at: i64,
    /// Its function.
    pub function: String,
    /// How it ended.
    pub end: CallEnd,
    /// Each attempt: when it left, the timeout that the worker was given, and whether it is known not to have run.
    pub attempts: Vec<(i64, Option<i64>, bool)>,
}
