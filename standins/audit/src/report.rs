//! The result of an audit: totals, violations, and the history of each call.

use std::collections::BTreeMap;

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule's number; 0 stands for two attempts of a call open at the same time.
    pub rule: u8,
    /// Time since the start of the recording, microseconds.
    pub at: i64,
    /// The id of the call, or the worker or front end concerned.
    pub subject: String,
    /// A description of the violation.
    pub reason: String,
}

/// How a call ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallEnd {
    /// The call was answered successfully.
    Served,
    /// The front end refused the call.
    Refused,
    /// The front end reported a failure.
    Failed,
    /// The client cancelled the call or disconnected before an answer.
    Left,
    /// The front end was killed before it answered.
    Killed,
    /// The call had not ended when the recording did.
    Open,
}

/// The result of an audit.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    /// Calls started.
    pub started: usize,
    /// Number of calls by how they ended.
    pub ends: BTreeMap<CallEnd, usize>,
    /// Attempts sent to workers.
    pub attempts: usize,
    /// Attempts beyond each call's first.
    pub retries: usize,
    /// Load requests sent to workers.
    pub loads: usize,
    /// Violations, ordered by time.
    pub violations: Vec<Violation>,
}

/// The history of one call.
#[derive(Clone, Debug)]
pub struct CallHistory {
    /// The request's id.
    pub id: String,
    /// The front end that received the call.
    pub front: usize,
    /// When the call arrived at the front end, microseconds of the recording.
    pub at: i64,
    /// The called function.
    pub function: String,
    /// How the call ended.
    pub end: CallEnd,
    /// For each attempt: when it was sent, the timeout passed to the worker, and whether it is known not to have run.
    pub attempts: Vec<(i64, Option<i64>, bool)>,
}
