//! The oracle checks the facts of a run against invariants.
//!
//! [`Oracle::evaluate`] collects the facts by request and by process (`collect`), then checks the invariants of requests (`requests`)
//! and of processes (`processes`).

mod collect;
mod processes;
mod requests;

use crate::facts::{Effect, Fact, FrontEndIndex, RequestId, WorkerId};
use processes::Lifetime;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// By how much the timeout in an attempt may exceed the client's remaining time.
const TIMEOUT_SLACK: Duration = Duration::from_millis(150);
/// By how much facts of different sockets may be recorded out of order.
const ORDER_SLACK: Duration = Duration::from_millis(100);
/// Shortest delay of the harness that makes violations of that time doubtful.
const DOUBTFUL_DELAY: Duration = Duration::from_millis(40);

/// An invariant that the oracle checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Every request gets an answer.
    Answered,
    /// Every answer comes within the request's timeout.
    InTime,
    /// Every answer has a valid status and the expected body.
    ProperAnswer,
    /// A request whose effect must not happen twice is not sent again after it may have run.
    NoEffectTwice,
    /// A request never has two attempts at once.
    OneAttempt,
    /// No attempt starts after the client was answered, disconnected or timed out.
    ClientPresent,
    /// The timeout in an attempt is not longer than the client's remaining time.
    AttemptTimeout,
    /// A front end sends no attempts to a worker that it knows to drain.
    Drain,
    /// Every event of the endpoint list reaches every front end in time.
    ListReceived,
    /// A process ends only after a signal, and with the exit status that the signal implies.
    Process,
    /// A process is ready in time.
    Ready,
    /// A malformed request is never served, and is answered or its connection closed in time.
    Abuse,
    /// A process reports no violation of its own checks when it ends.
    SelfChecks,
}

/// A violation of an invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The violated invariant.
    pub invariant: Invariant,
    /// The time of the violation, since the start of the run.
    pub at: Duration,
    /// The request, if the invariant is one of requests.
    pub id: Option<RequestId>,
    /// What was observed.
    pub description: String,
    /// Whether the harness itself was delayed at that time, so that the violation may not be real.
    pub doubtful: bool,
}

/// Counts of a run.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Requests that clients sent.
    pub sent: usize,
    /// Complete responses by status.
    pub statuses: BTreeMap<u16, usize>,
    /// Requests whose client disconnected before a response.
    pub disconnected: usize,
    /// Requests without an answer that violate no invariant, for example because their process was killed.
    pub excused: usize,
    /// Attempts that proxies read.
    pub attempts: usize,
    /// Processes started.
    pub processes: usize,
    /// Signals sent.
    pub signals: usize,
    /// Beginnings and ends of faults of the network, of discovery and of clients.
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

/// An attempt of a request at a worker.
#[derive(Clone, Copy)]
struct Attempt {
    started: Duration,
    /// When the attempt ended, and whether the worker answered that it did not run.
    ended: Option<(Duration, bool)>,
}

/// The facts of one run, and the violations in them.
pub struct Oracle {
    facts: Vec<(Duration, Fact)>,
    sent: HashMap<RequestId, Vec<Sent>>,
    attempts: HashMap<RequestId, Vec<Attempt>>,
    processes: HashMap<ProcessId, Lifetime>,
    /// When each request ended for its client: answered, disconnected, or timed out.
    ends: HashMap<RequestId, Duration>,
    /// The state changes of each worker: the event, and whether the worker takes calls from then on.
    states: HashMap<WorkerId, Vec<(u64, bool)>>,
    violations: Vec<Violation>,
    /// Counts of the run.
    pub counts: Counts,
}

impl Oracle {
    /// Collects the facts of a run, and checks the invariants on them.
    pub fn evaluate(facts: Vec<(Duration, Fact)>) -> Oracle {
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

    /// All violations, with the doubtful ones.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// The facts of a request, and those of its processes from 2 s before it until its end, as lines of text.
    pub fn timeline(&self, id: RequestId) -> Vec<String> {
        let processes: Vec<ProcessId> = self
            .sent
            .get(&id)
            .into_iter()
            .flatten()
            .map(|sent| sent.process)
            .collect();
        let own: Vec<_> = self
            .facts
            .iter()
            .filter(|(_, fact)| request_of(fact) == Some(id))
            .collect();
        let (Some(first), Some(last)) = (own.first(), own.last()) else {
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

    /// The last time that the request was sent before `at`, with a tolerance of [`ORDER_SLACK`].
    fn sent_before(&self, id: RequestId, at: Duration) -> Option<Sent> {
        let all = self.sent.get(&id)?;
        all.iter()
            .rev()
            .find(|sent| sent.at <= at + ORDER_SLACK)
            .or(all.first())
            .copied()
    }

    /// Marks violations around the times at which the harness itself was delayed, for invariants that depend on time.
    fn mark_doubtful(&mut self) {
        let delays = self.facts.iter().filter_map(|(at, fact)| match fact {
            Fact::HarnessDelayed(by) if *by >= DOUBTFUL_DELAY => {
                Some((at.saturating_sub(*by), *at))
            }
            _ => None,
        });
        let delays: Vec<_> = delays.collect();
        for violation in &mut self.violations {
            let depends_on_time = !matches!(
                violation.invariant,
                Invariant::Process | Invariant::SelfChecks
            );
            let near = |(from, to): &(Duration, Duration)| {
                *from <= violation.at + ORDER_SLACK
                    && violation.at <= *to + TIMEOUT_SLACK + ORDER_SLACK
            };
            violation.doubtful = depends_on_time && delays.iter().any(near);
        }
    }
}

/// The request of a fact, for facts of requests.
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

/// The process of a fact, for starts, signals and ends of processes.
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
