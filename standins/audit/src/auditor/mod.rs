//! Reconstructs calls and attempts from stream events, and checks the rules on them.
//!
//! `Auditor` processes the entries in order. Module `streams` maps stream events to calls and attempts. The rules are in
//! `answers` (rule 1, final answers to clients), `attempts` (rules 0, 2 and 3, requests to workers), `cold_start` (rule 4)
//! and `load_budget` (rule 5).

mod answers;
mod attempts;
mod calls;
mod cold_start;
mod load_budget;
mod streams;

use crate::record::{Entry, Event, Link, Mark};
use crate::report::{Audit, CallEnd, CallHistory, Violation};
use crate::rules::Rules;
use calls::{Call, Connection};
use std::collections::BTreeMap;

/// Audits a recording.
pub fn audit(entries: &[Entry], rules: &Rules) -> Audit {
    audit_with_history(entries, rules).0
}

/// Audits a recording, and also returns the history of each call, ordered by arrival.
pub fn audit_with_history(entries: &[Entry], rules: &Rules) -> (Audit, Vec<CallHistory>) {
    let mut auditor = Auditor::new(rules);
    for entry in entries {
        auditor.on_entry(entry);
    }
    let calls = auditor.calls.iter();
    let mut histories: Vec<CallHistory> = calls.map(|(id, call)| call.history(id)).collect();
    histories.sort_by_key(|history| history.at);
    let end = entries.last().map_or(0, |entry| entry.at);
    (auditor.conclude(end), histories)
}

/// A period in which a front end's process was stopped.
struct Pause {
    front: usize,
    from: i64,
    /// When the process was resumed or killed; `None` while it is stopped.
    to: Option<i64>,
}

/// The state of an audit.
struct Auditor<'a> {
    rules: &'a Rules,
    connections: BTreeMap<u64, Connection>,
    calls: BTreeMap<String, Call>,
    /// When a front end's list began to show a worker as draining, by front end and worker.
    draining: BTreeMap<(usize, usize), i64>,
    /// Start times with the worker.
    starts: Vec<(i64, usize)>,
    /// Times of load requests with the front end that sent them.
    load_requests: Vec<(i64, usize)>,
    /// Times at which front ends were killed, with the front end.
    kills: Vec<(i64, usize)>,
    pauses: Vec<Pause>,
    report: Audit,
}

impl<'a> Auditor<'a> {
    fn new(rules: &'a Rules) -> Auditor<'a> {
        Auditor {
            rules,
            connections: BTreeMap::new(),
            calls: BTreeMap::new(),
            draining: BTreeMap::new(),
            starts: Vec::new(),
            load_requests: Vec::new(),
            kills: Vec::new(),
            pauses: Vec::new(),
            report: Audit::default(),
        }
    }

    fn violation(
        &mut self,
        rule: u8,
        at: i64,
        subject: impl Into<String>,
        reason: impl Into<String>,
    ) {
        self.report.violations.push(Violation {
            rule,
            at,
            subject: subject.into(),
            reason: reason.into(),
        });
    }

    fn on_entry(&mut self, entry: &Entry) {
        match &entry.event {
            Event::Open(Link::Peer { .. }) => {}
            Event::Open(link) => {
                let connection = Connection::new(*link, entry.at);
                self.connections.insert(entry.connection, connection);
            }
            Event::Bytes(from_client, bytes) => {
                self.on_bytes(entry.at, entry.connection, *from_client, bytes);
            }
            Event::Close(by) => self.on_close(entry.at, entry.connection, *by),
            Event::Mark(mark) => self.on_mark(entry.at, mark),
        }
    }

    fn on_mark(&mut self, at: i64, mark: &Mark) {
        match *mark {
            Mark::Draining { front, worker } => {
                self.draining.insert((front, worker), at);
            }
            Mark::DrainEnded { front, worker } => {
                self.draining.remove(&(front, worker));
            }
            Mark::Started { worker } => self.starts.push((at, worker)),
            Mark::Overloaded { worker } => self.violation(
                4,
                at,
                format!("worker {worker}"),
                "failed under overload: sent more work than a cold worker can serve",
            ),
            Mark::Killed { front } => self.on_killed(at, front),
            Mark::Stopped { front } => self.pauses.push(Pause {
                front,
                from: at,
                to: None,
            }),
            Mark::Resumed { front } => self.end_pause(front, at),
            Mark::Proposed { .. } | Mark::InForce { .. } => {}
        }
    }

    fn on_killed(&mut self, at: i64, front: usize) {
        self.end_pause(front, at);
        self.kills.push((at, front));
        for call in self.calls.values_mut().filter(|call| call.front == front) {
            call.finish(CallEnd::Killed, at);
        }
    }

    fn end_pause(&mut self, front: usize, at: i64) {
        let pauses = self.pauses.iter_mut();
        for pause in pauses.filter(|pause| pause.front == front && pause.to.is_none()) {
            pause.to = Some(at);
        }
    }

    /// Whether the front end's process was stopped between the call's arrival and its deadline, which excuses a late answer.
    fn was_paused(&self, call: &Call) -> bool {
        self.pauses.iter().any(|pause| {
            pause.front == call.front
                && pause.from <= call.due
                && pause.to.is_none_or(|to| to >= call.at)
        })
    }

    /// Runs the checks that need the complete recording, and returns the result. `end` is the time of the last entry.
    fn conclude(mut self, end: i64) -> Audit {
        for call in self.calls.values() {
            *self.report.ends.entry(call.end).or_default() += 1;
        }
        let mut violations = self.unanswered(end);
        violations.extend(self.overlapping_attempts());
        let starts = self.starts.iter();
        violations.extend(starts.filter_map(|(at, worker)| self.cold_overload(*at, *worker)));
        violations.extend(self.excess_load_requests());
        self.report.violations.extend(violations);
        self.report.violations.sort_by_key(|violation| violation.at);
        self.report
    }
}
