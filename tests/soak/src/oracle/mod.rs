//! The invariants, checked on the facts of a run alone.
//!
//! [`Oracle::judge`] collects the facts by request and by process (`collect`), then checks what requests show (`requests`) and
//! what processes show (`processes`).

mod collect;
mod processes;
mod requests;

use crate::facts::{Effect, Fact, FrontEndIndex, RequestId, WorkerId};
use processes::Lifetime;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// A worker's timeout may be longer than the time that the client has left by so much.
const TIMEOUT_SLACK: Duration = Duration::from_millis(150);
/// Facts of two sockets may be recorded in the other order by so much.
const ORDER_SLACK: Duration = Duration::from_millis(100);
/// What a harness that ran late by this much saw then is doubtful.
const DOUBTFUL: Duration = Duration::from_millis(40);

/// Which invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Every request gets an answer.
    Answered,
    /// In its time.
    InTime,
    /// A proper one.
    ProperAnswer,
    /// No effect twice.
    NoEffectTwice,
    /// Never two attempts at once.
    OneAttempt,
    /// Nothing is begun for a client that has gone or was answered.
    ClientPresent,
    /// A worker is given no more time than the client has left.
    AttemptTimeout,
    /// Nothing goes to a worker that is known to drain.
    Drain,
    /// Events of the endpoint list reach every front end.
    ListReceived,
    /// Processes end only when signalled to, and in good order.
    Process,
    /// They are ready in time.
    Ready,
    /// Those who send no requests are answered or closed soon, and never served.
    Abuse,
    /// The program's own checks found nothing.
    SelfChecks,
}

/// An invariant that did not hold.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Which.
    pub invariant: Invariant,
    /// When it was seen.
    pub at: Duration,
    /// The request, if it is about one.
    pub id: Option<RequestId>,
    /// What was seen.
    pub description: String,
    /// The harness itself ran late then.
    pub doubtful: bool,
}

/// How often each end was seen.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Requests sent.
    pub sent: usize,
    /// Of them answered, by status.
    pub statuses: BTreeMap<u16, usize>,
    /// Clients that disconnected before a response.
    pub disconnected: usize,
    /// Excused ends: the process was killed, or it closed an idle connection as the request was sent.
    pub excused: usize,
    /// Attempts.
    pub attempts: usize,
    /// Processes started.
    pub processes: usize,
    /// Signals sent.
    pub signals: usize,
    /// Faults of the network, of discovery and of clients that began or ended.
    pub fault_changes: usize,
}

/// A front end, and the number of its process.
type ProcessId = (FrontEndIndex, u64);

/// A request as its client sent it.
#[derive(Clone, Copy)]
struct Sent {
    at: Duration,
    process: ProcessId,
    effect: Effect,
    timeout: Duration,
    idle_before: bool,
}

/// One attempt of a request at a worker.
#[derive(Clone, Copy)]
struct Attempt {
    began: Duration,
    /// When it ended, and whether the worker promised that it never ran.
    ended: Option<(Duration, bool)>,
}

/// The facts of one run, and the violations in them.
pub struct Oracle {
    facts: Vec<(Duration, Fact)>,
    sent: HashMap<RequestId, Vec<Sent>>,
    attempts: HashMap<RequestId, Vec<Attempt>>,
    processes: HashMap<ProcessId, Lifetime>,
    /// When each request's client had its end: answered, disconnected, or timed out.
    ends: HashMap<RequestId, Duration>,
    /// The states of each worker by event, and whether it takes work then.
    states: HashMap<WorkerId, Vec<(u64, bool)>>,
    violations: Vec<Violation>,
    /// What was counted.
    pub counts: Counts,
}

impl Oracle {
    /// Collects these facts, and checks the invariants on them.
    pub fn judge(facts: Vec<(Duration, Fact)>) -> Oracle {
        let mut oracle = Oracle {
            facts,
            sent: HashMap::new(),
            attempts: HashMap::new(),
            processes: HashMap::new(),
            ends: HashMap::new(),
            states: HashMap::new(),
            violations: Vec::new(),
            counts: Counts::default(),
        };
        let facts = std::mem::take(&mut oracle.facts);
        facts
            .iter()
            .for_each(|(at, fact)| oracle.collect(*at, fact));
        facts.iter().for_each(|(at, fact)| oracle.check(*at, fact));
        oracle.check_list(&facts);
        oracle.check_ready();
        oracle.facts = facts;
        oracle.mark_doubtful();
        oracle
    }

    /// What did not hold.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// The facts of one request, and those of its processes around it.
    pub fn timeline(&self, id: RequestId) -> Vec<String> {
        let processes: Vec<ProcessId> = self
            .sent
            .get(&id)
            .into_iter()
            .flatten()
            .map(|sent| sent.process)
            .collect();
        let mine: Vec<_> = self
            .facts
            .iter()
            .filter(|(_, fact)| request_of(fact) == Some(id))
            .collect();
        let (Some(first), Some(last)) = (mine.first(), mine.last()) else {
            return Vec::new();
        };
        let around = first.0.saturating_sub(Duration::from_secs(2))..=last.0;
        let shown = self.facts.iter().filter(|(at, fact)| {
            let is_of_request = request_of(fact) == Some(id);
            let is_of_process = changed_process(fact).is_some_and(|it| processes.contains(&it));
            is_of_request || is_of_process && around.contains(at)
        });
        shown
            .map(|(at, fact)| format!("{:9.3} s  {fact:?}", at.as_secs_f64()))
            .collect()
    }

    fn report(
        &mut self,
        invariant: Invariant,
        at: Duration,
        id: Option<RequestId>,
        description: String,
    ) {
        self.violations.push(Violation {
            invariant,
            at,
            id,
            description,
            doubtful: false,
        });
    }

    /// The last time that a request was sent before this moment, as far as the order is known.
    fn sent_before(&self, id: RequestId, at: Duration) -> Option<Sent> {
        let all = self.sent.get(&id)?;
        all.iter()
            .rev()
            .find(|sent| sent.at <= at + ORDER_SLACK)
            .or(all.first())
            .copied()
    }

    /// Marks what was seen while the harness itself ran late.
    fn mark_doubtful(&mut self) {
        let late = self.facts.iter().filter_map(|(at, fact)| match fact {
            Fact::HarnessDelayed(by) if *by >= DOUBTFUL => Some((at.saturating_sub(*by), *at)),
            _ => None,
        });
        let late: Vec<_> = late.collect();
        for violation in &mut self.violations {
            let timed = !matches!(
                violation.invariant,
                Invariant::Process | Invariant::SelfChecks
            );
            let near = |(from, to): &(Duration, Duration)| {
                *from <= violation.at + ORDER_SLACK
                    && violation.at <= *to + TIMEOUT_SLACK + ORDER_SLACK
            };
            violation.doubtful = timed && late.iter().any(near);
        }
    }
}

/// The request that a fact is about, if it is about one.
fn request_of(fact: &Fact) -> Option<RequestId> {
    match fact {
        Fact::RequestSent { id, .. }
        | Fact::ResponseReceived { id, .. }
        | Fact::ClientDisconnected { id }
        | Fact::ConnectionLost { id, .. }
        | Fact::ResponseTimedOut { id }
        | Fact::AttemptStarted { id, .. }
        | Fact::AttemptEnded { id, .. } => Some(*id),
        _ => None,
    }
}

/// The process whose life a fact changes, if it changes one.
fn changed_process(fact: &Fact) -> Option<ProcessId> {
    match *fact {
        Fact::ProcessStarted { front_end, process }
        | Fact::ProcessReady { front_end, process }
        | Fact::SignalSent {
            front_end, process, ..
        }
        | Fact::ProcessExited {
            front_end, process, ..
        } => Some((front_end, process)),
        _ => None,
    }
}
