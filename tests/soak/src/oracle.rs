//! The invariants, judged from the facts of a run alone.

use crate::abuse::OWED_WITHIN;
use crate::clients::{CROSSING, LATE};
use crate::facts::{ConnectionEnd, Effect, Fact, Place, RequestId, Signal, WorkerId};
use crate::process::READY_WITHIN;
use crate::site::REPEAT_WINDOW;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// What a worker may be told beyond the time that the client has left.
const PATIENCE_SLACK: Duration = Duration::from_millis(150);
/// An attempt may begin so long after its client has gone.
const GONE_SLACK: Duration = Duration::from_millis(100);
/// Facts of two sockets may be noted in the other order by so much.
const ORDER_SLACK: Duration = Duration::from_millis(100);
/// A call may come so long after its front end held the event of the drain.
const DRAIN_SLACK: Duration = Duration::from_millis(300);
/// An event counts as told so long after it happened, whatever the coordinator does.
const TOLD_WITHIN: Duration = Duration::from_millis(8000);
/// Requests come until then after SIGTERM; later ones are nobody's.
const TAKEN_AFTER_TERM: Duration = Duration::from_millis(700);
/// A harness that ran late by this much makes what it saw then doubtful.
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
    ClientThere,
    /// A worker is told no more time than the client has left.
    Patience,
    /// Nothing goes to a worker that is known to drain.
    Drain,
    /// Events of the list are heard.
    ListHeard,
    /// Processes end only when told to, and in good order.
    Process,
    /// They are ready in time.
    Ready,
    /// Those who send no requests are answered or closed soon, and never served.
    Abuse,
    /// The program's own checks found nothing.
    OwnChecks,
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
    pub what: String,
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
    /// Clients that left.
    pub left: usize,
    /// Excused ends: the process was killed, or the request crossed an end.
    pub excused: usize,
    /// Attempts.
    pub attempts: usize,
    /// Processes started.
    pub processes: usize,
    /// Signals sent.
    pub signals: usize,
    /// Troubles of the network and of discovery.
    pub troubles: usize,
}

type ProcessId = (Place, u64);

#[derive(Clone, Copy)]
struct Sent {
    at: Duration,
    process: ProcessId,
    effect: Effect,
    timeout: Duration,
    idle_before: bool,
}

#[derive(Clone, Copy)]
struct Attempt {
    began: Duration,
    ended: Option<(Duration, bool)>,
}

impl Lifetime {
    /// How long it stood still in all.
    fn stopped(&self) -> Duration {
        self.stops.iter().map(|(from, to)| *to - *from).sum()
    }
    /// Whether it stood still then, or had just come out of that, and so could not answer in time what was due.
    fn was_still(&self, at: Duration) -> bool {
        let still = self.stopped_since.is_some_and(|since| since <= at);
        still
            || self
                .stops
                .iter()
                .any(|(from, to)| *from <= at && at <= *to + LATE)
    }
}

#[derive(Default)]
struct Lifetime {
    started: Duration,
    ready: Option<Duration>,
    terminated: Option<Duration>,
    killed: Option<Duration>,
    exited: Option<Duration>,
    /// When it stood still.
    stops: Vec<(Duration, Duration)>,
    stopped_since: Option<Duration>,
    /// The last event that it held, and since when.
    held: Vec<(Duration, u64)>,
    /// The last event that it can have heard of, and since when.
    told: Vec<(Duration, u64)>,
}

/// Judges one run.
pub struct Oracle {
    facts: Vec<(Duration, Fact)>,
    sent: HashMap<RequestId, Vec<Sent>>,
    attempts: HashMap<RequestId, Vec<Attempt>>,
    processes: HashMap<ProcessId, Lifetime>,
    /// When each request's client had its end: answered, left, or waited in vain.
    ends: HashMap<RequestId, Duration>,
    /// The states of each worker by event, and whether it takes work then.
    states: HashMap<WorkerId, Vec<(u64, bool)>>,
    violations: Vec<Violation>,
    /// What was counted.
    pub counts: Counts,
}

impl Oracle {
    /// Judges these facts.
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
            .map(|s| s.process)
            .collect();
        let mine: Vec<_> = self
            .facts
            .iter()
            .filter(|(_, f)| about(f) == Some(id))
            .collect();
        let (Some(first), Some(last)) = (mine.first(), mine.last()) else {
            return Vec::new();
        };
        let around = first.0.saturating_sub(Duration::from_secs(2))..=last.0;
        let shown = self.facts.iter().filter(|(at, f)| {
            let process = matches!(f, Fact::Signalled { place, process, .. } | Fact::Ready { place, process }
                | Fact::Started { place, process } | Fact::Exited { place, process, .. }
                if processes.contains(&(*place, *process)));
            about(f) == Some(id) || process && around.contains(at)
        });
        shown
            .map(|(at, f)| format!("{:9.3} s  {f:?}", at.as_secs_f64()))
            .collect()
    }

    fn collect(&mut self, at: Duration, fact: &Fact) {
        match *fact {
            Fact::Sent {
                id,
                place,
                process,
                effect,
                timeout,
                idle_before,
            } => {
                self.counts.sent += 1;
                let sent = Sent {
                    at,
                    process: (place, process),
                    effect,
                    timeout,
                    idle_before,
                };
                self.sent.entry(id).or_default().push(sent);
            }
            Fact::Answered { id, status, .. } => {
                *self.counts.statuses.entry(status).or_default() += 1;
                self.ends.insert(id, at);
            }
            Fact::Left { id } => {
                self.counts.left += 1;
                self.ends.insert(id, at);
            }
            Fact::Unanswered { id } => {
                self.ends.insert(id, at);
            }
            Fact::Listed {
                event,
                worker,
                ready,
            } => {
                self.states.entry(worker).or_default().push((event, ready));
            }
            Fact::Began { id, .. } => {
                self.counts.attempts += 1;
                self.attempts.entry(id).or_default().push(Attempt {
                    began: at,
                    ended: None,
                });
            }
            Fact::Ended { id, never_ran, .. } => {
                // Two at once are told apart below; the end belongs to the first that is open.
                let open = self
                    .attempts
                    .get_mut(&id)
                    .and_then(|a| a.iter_mut().find(|a| a.ended.is_none()));
                if let Some(attempt) = open {
                    attempt.ended = Some((at, never_ran));
                }
            }
            Fact::Started { place, process } => {
                self.counts.processes += 1;
                self.processes.insert(
                    (place, process),
                    Lifetime {
                        started: at,
                        ..Lifetime::default()
                    },
                );
            }
            Fact::Trouble(_) => self.counts.troubles += 1,
            _ => self.collect_process(at, fact),
        }
    }

    fn collect_process(&mut self, at: Duration, fact: &Fact) {
        let (Fact::Ready { place, process }
        | Fact::Signalled { place, process, .. }
        | Fact::Exited { place, process, .. }
        | Fact::Polled { place, process, .. }
        | Fact::Told { place, process, .. }) = fact
        else {
            return;
        };
        let Some(life) = self.processes.get_mut(&(*place, *process)) else {
            return;
        };
        match fact {
            Fact::Ready { .. } => life.ready = Some(at),
            Fact::Exited { .. } => life.exited = Some(at),
            Fact::Polled { event, .. } => life.held.push((at, *event)),
            Fact::Told { event, .. } => life.told.push((at, *event)),
            Fact::Signalled { signal, .. } => {
                self.counts.signals += 1;
                match signal {
                    Signal::Terminate => life.terminated = Some(at),
                    Signal::Kill => life.killed = Some(at),
                    Signal::Reload => {}
                    Signal::Stop => life.stopped_since = Some(at),
                    Signal::Continue => {
                        let since = life.stopped_since.take().unwrap_or(at);
                        life.stops.push((since, at));
                    }
                }
            }
            _ => {}
        }
    }

    fn violated(
        &mut self,
        invariant: Invariant,
        at: Duration,
        id: Option<RequestId>,
        what: String,
    ) {
        self.violations.push(Violation {
            invariant,
            at,
            id,
            what,
            doubtful: false,
        });
    }

    /// The last time that a request was sent before this moment, as far as the order is known.
    fn sent_before(&self, id: RequestId, at: Duration) -> Option<Sent> {
        let all = self.sent.get(&id)?;
        all.iter()
            .rev()
            .find(|s| s.at <= at + ORDER_SLACK)
            .or(all.first())
            .copied()
    }

    fn check(&mut self, at: Duration, fact: &Fact) {
        match *fact {
            Fact::Answered {
                id,
                status,
                own_body,
            } => self.check_answer(at, id, status, own_body),
            Fact::Dropped { id, how } => self.check_lost(at, id, Some(how)),
            Fact::Unanswered { id } => self.check_lost(at, id, None),
            Fact::Began {
                id,
                worker,
                patience_ms,
                waited,
                ..
            } => {
                self.check_repeat(at, id);
                if !waited {
                    self.check_attempt(at, id, patience_ms);
                    self.check_drain(at, id, worker);
                }
            }
            Fact::Abused {
                place,
                process,
                after,
                served,
            } => {
                self.check_abuse(at, (place, process), after, served);
            }
            Fact::Exited {
                place,
                process,
                code,
                ref account,
            } => {
                self.check_exit(at, (place, process), code, account);
            }
            _ => {}
        }
    }

    fn check_answer(&mut self, at: Duration, id: RequestId, status: u16, own_body: bool) {
        let Some(sent) = self.sent_before(id, at) else {
            return;
        };
        if !matches!(status, 200 | 502 | 503 | 504) {
            self.violated(
                Invariant::ProperAnswer,
                at,
                Some(id),
                format!("status {status} to a good request"),
            );
        }
        if status == 200 && !own_body {
            self.violated(
                Invariant::ProperAnswer,
                at,
                Some(id),
                "served with another body".into(),
            );
        }
        let took = at.saturating_sub(sent.at);
        let still = self
            .processes
            .get(&sent.process)
            .is_some_and(|life| life.was_still(at));
        if took > sent.timeout + LATE && !still {
            let what = format!("answered after {took:?} of {:?}", sent.timeout);
            self.violated(Invariant::InTime, at, Some(id), what);
        }
    }

    /// A request ended without an answer, by its connection's end (some) or by its time.
    fn check_lost(&mut self, at: Duration, id: RequestId, how: Option<ConnectionEnd>) {
        let Some(sent) = self.sent_before(id, at) else {
            return;
        };
        let Some(life) = self.processes.get(&sent.process) else {
            return;
        };
        let outright =
            life.killed.is_some_and(|k| k <= at + ORDER_SLACK) && life.terminated.is_none();
        let nobodys = life
            .terminated
            .is_some_and(|t| sent.at > t + TAKEN_AFTER_TERM);
        let crossed = how == Some(ConnectionEnd::Closed) && at.saturating_sub(sent.at) <= CROSSING;
        let still = how.is_none() && life.was_still(at);
        if outright || nobodys || crossed || still {
            self.counts.excused += 1;
            return;
        }
        let ended = how.map_or("no answer".to_string(), |how| {
            format!("connection ended: {how:?}")
        });
        let idle = if sent.idle_before {
            ", on a connection that had rested"
        } else {
            ""
        };
        let what = format!(
            "{ended} {:?} after it was sent{idle}",
            at.saturating_sub(sent.at)
        );
        self.violated(Invariant::Answered, at, Some(id), what);
    }

    fn check_attempt(&mut self, at: Duration, id: RequestId, patience_ms: u64) {
        let Some(sent) = self.sent_before(id, at) else {
            return;
        };
        let left = (sent.at + sent.timeout).saturating_sub(at);
        let patience = Duration::from_millis(patience_ms);
        if patience > left + PATIENCE_SLACK {
            let what = format!("a worker was told {patience:?}, the client had {left:?} left");
            self.violated(Invariant::Patience, at, Some(id), what);
        }
        let gone = self.ends.get(&id).copied();
        if let Some(gone) = gone.filter(|gone| at > *gone + GONE_SLACK) {
            let what = format!("an attempt began {:?} after its client's end", at - gone);
            self.violated(Invariant::ClientThere, at, Some(id), what);
        }
    }

    fn check_repeat(&mut self, at: Duration, id: RequestId) {
        let Some(sent) = self.sent_before(id, at) else {
            return;
        };
        let before: Vec<Attempt> = self
            .attempts
            .get(&id)
            .into_iter()
            .flatten()
            .filter(|a| a.began < at)
            .copied()
            .collect();
        for earlier in before {
            let (end, never_ran) = earlier.ended.unwrap_or((Duration::MAX, false));
            if end > at + ORDER_SLACK {
                let what = "an attempt began while another was open".to_string();
                self.violated(Invariant::OneAttempt, at, Some(id), what);
            }
            let after = at.saturating_sub(earlier.began);
            let twice = match sent.effect {
                Effect::Safe => false,
                Effect::Unsafe => true,
                Effect::Keyed => after > REPEAT_WINDOW + ORDER_SLACK,
            };
            if twice && !never_ran {
                let what = format!(
                    "sent again after {after:?} though it may have run: {:?}",
                    sent.effect
                );
                self.violated(Invariant::NoEffectTwice, at, Some(id), what);
            }
        }
    }

    fn check_drain(&mut self, at: Duration, id: RequestId, worker: WorkerId) {
        let Some(sent) = self.sent_before(id, at) else {
            return;
        };
        let Some(life) = self.processes.get(&sent.process) else {
            return;
        };
        let held = life
            .held
            .iter()
            .rev()
            .find(|(heard, _)| *heard + DRAIN_SLACK <= at)
            .map(|h| h.1);
        let Some(held) = held else { return };
        let told = life
            .told
            .iter()
            .filter(|(told, _)| *told <= at)
            .map(|t| t.1);
        let newest = told.max().unwrap_or(held);
        // Not ready by all that it knew, from well before until now.
        let states = self.states.get(&worker).map_or(&[][..], Vec::as_slice);
        let known = |event: u64| {
            states
                .iter()
                .rev()
                .find(|(e, _)| *e <= event)
                .is_none_or(|s| s.1)
        };
        let changed = states.iter().any(|(e, _)| *e > held && *e <= newest);
        if !known(held) && !changed {
            let what = format!("sent to worker {worker}, which it knew to drain (event {held})");
            self.violated(Invariant::Drain, at, Some(id), what);
        }
    }

    fn check_abuse(
        &mut self,
        at: Duration,
        process: ProcessId,
        after: Option<Duration>,
        served: bool,
    ) {
        if served {
            self.violated(
                Invariant::Abuse,
                at,
                None,
                format!("{process:?} served what is no request"),
            );
        }
        let Some(life) = self.processes.get(&process) else {
            return;
        };
        // One that stood still meanwhile could not answer.
        let still = life
            .stops
            .iter()
            .any(|(_, to)| *to + OWED_WITHIN + LATE >= at)
            || life.was_still(at);
        if !still && after.is_none_or(|after| after > OWED_WITHIN + LATE) {
            self.violated(
                Invariant::Abuse,
                at,
                None,
                format!("{process:?} left it open: {after:?}"),
            );
        }
    }

    fn check_exit(&mut self, at: Duration, process: ProcessId, code: Option<i32>, account: &str) {
        let Some(life) = self.processes.get(&process) else {
            return;
        };
        let (terminated, killed) = (life.terminated.is_some(), life.killed.is_some());
        let fine = match code {
            Some(0) => terminated,
            Some(_) => false,
            None => killed,
        };
        if !fine {
            let what = format!(
                "front end {} process {} ended with {code:?}",
                process.0, process.1
            );
            self.violated(Invariant::Process, at, None, what);
        }
        if code == Some(0) {
            for wanted in ["guarded=0", "violations=0", "open=0"] {
                let name = wanted.split('=').next().unwrap_or(wanted);
                let stands = account.split(' ').any(|w| w == wanted);
                if !stands && account.contains(&format!("{name}=")) {
                    self.violated(
                        Invariant::OwnChecks,
                        at,
                        None,
                        format!("{process:?}: {account}"),
                    );
                }
            }
        }
    }

    fn check_list(&mut self, facts: &[(Duration, Fact)]) {
        let listed = facts.iter().filter_map(|(at, f)| match f {
            Fact::Listed { event, .. } => Some((*at, *event)),
            _ => None,
        });
        let listed: Vec<_> = listed.collect();
        let down = outages(facts);
        let mut late = Vec::new();
        for (process, life) in &self.processes {
            let Some(ready) = life.ready else { continue };
            let end = [life.terminated, life.killed, life.exited]
                .into_iter()
                .flatten()
                .min();
            for (at, event) in &listed {
                let unheard: Duration = down
                    .iter()
                    .filter(|d| d.1 > *at)
                    .map(|d| d.1 - d.0.max(*at))
                    .sum();
                let due = (*at).max(ready) + TOLD_WITHIN + life.stopped() + unheard;
                let alive = end.is_none_or(|end| end > due);
                let heard = life
                    .held
                    .iter()
                    .any(|(heard, held)| held >= event && *heard <= due);
                if alive && !heard && facts.last().is_some_and(|f| f.0 > due) {
                    late.push((
                        due,
                        format!("front end {process:?} had not heard event {event} by then"),
                    ));
                    break;
                }
            }
        }
        late.into_iter()
            .for_each(|(at, what)| self.violated(Invariant::ListHeard, at, None, what));
    }

    fn check_ready(&mut self) {
        let mut slow = Vec::new();
        for (process, life) in &self.processes {
            let by = life.started + READY_WITHIN;
            let ready = life.ready.is_some_and(|r| r <= by);
            if !ready && life.killed.is_none_or(|k| k > by) && life.exited.is_none_or(|e| e > by) {
                slow.push((
                    by,
                    format!("front end {process:?} was not ready in {READY_WITHIN:?}"),
                ));
            }
        }
        slow.into_iter()
            .for_each(|(at, what)| self.violated(Invariant::Ready, at, None, what));
    }

    fn mark_doubtful(&mut self) {
        let late = self.facts.iter().filter_map(|(at, f)| match f {
            Fact::HarnessLate(by) if *by >= DOUBTFUL => Some((at.saturating_sub(*by), *at)),
            _ => None,
        });
        let late: Vec<_> = late.collect();
        for v in &mut self.violations {
            let timed = !matches!(v.invariant, Invariant::Process | Invariant::OwnChecks);
            let near = |(from, to): &(Duration, Duration)| {
                *from <= v.at + ORDER_SLACK && v.at <= *to + PATIENCE_SLACK + ORDER_SLACK
            };
            v.doubtful = timed && late.iter().any(near);
        }
    }
}

/// The times in which the coordinator answered nothing whole.
fn outages(facts: &[(Duration, Fact)]) -> Vec<(Duration, Duration)> {
    let mut outages = Vec::new();
    let mut since = None;
    for (at, fact) in facts {
        match fact {
            Fact::Discovery { answers: false } => since = since.or(Some(*at)),
            Fact::Discovery { answers: true } => {
                outages.extend(since.take().map(|from| (from, *at)))
            }
            _ => {}
        }
    }
    outages
}

/// The request that a fact is about.
fn about(fact: &Fact) -> Option<RequestId> {
    match fact {
        Fact::Sent { id, .. }
        | Fact::Answered { id, .. }
        | Fact::Left { id }
        | Fact::Dropped { id, .. }
        | Fact::Unanswered { id }
        | Fact::Began { id, .. }
        | Fact::Ended { id, .. } => Some(*id),
        _ => None,
    }
}
