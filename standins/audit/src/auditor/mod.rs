//! Streams to calls and attempts, and the rules checked on them.
//!
//! `Auditor` reads entries one by one. Its parts: `streams` (frames to events of a call), `answers` (rule 1, what a client
//! gets), `attempts` (rules 0, 2 and 3, what a worker is sent), `cold_start` (rule 4) and `load_budget` (rule 5).

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

/// Audits a recording, and gives the history of each call, in the order in which they came.
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

/// While a front end's process did nothing.
struct Pause {
    front: usize,
    from: i64,
    /// When it was resumed or killed.
    to: Option<i64>,
}

/// The state of an audit.
struct Auditor<'a> {
    rules: &'a Rules,
    connections: BTreeMap<u64, Connection>,
    calls: BTreeMap<String, Call>,
    /// By front end and worker: since when the front end's list says that the worker drains.
    draining: BTreeMap<(usize, usize), i64>,
    /// When workers started.
    starts: Vec<(i64, usize)>,
    /// When front ends sent load requests.
    load_requests: Vec<(i64, usize)>,
    /// When front ends were killed.
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
                "failed under overload: sent more than a cold worker can do",
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

    /// Whether its front end's process was stopped in the call's time: it can't have met the deadline.
    fn was_paused(&self, call: &Call) -> bool {
        self.pauses.iter().any(|pause| {
            pause.front == call.front
                && pause.from <= call.due
                && pause.to.is_none_or(|to| to >= call.at)
        })
    }

    /// Checks what only the whole recording shows. `end` is its last entry's time.
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
