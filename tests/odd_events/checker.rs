//! Checks the actions of a router against its guarantees, independently of its implementation:
//!
//! - Each call is answered once, in time, and is not sent afterwards.
//! - A call has one attempt at a time, and is repeated or refused only if that cannot make it take effect twice.
//! - A worker that is draining or gone gets no new work.
//! - Load requests stay within the load budget.

use std::collections::{BTreeMap, VecDeque};
use tansyrouter::*;

/// An attempt that was sent.
#[derive(Clone, Copy)]
pub struct Attempt {
    /// The worker that it was sent to.
    pub worker: WorkerId,
    /// When it was sent.
    pub sent: Time,
    /// How it ended; `None` while it is open.
    pub outcome: Option<Outcome>,
}

/// A call that arrived.
pub struct Call {
    /// The effect of its class.
    pub effect: Effect,
    /// Its deadline.
    pub deadline: Time,
    /// Its attempts, in order.
    pub attempts: Vec<Attempt>,
    /// Whether it was answered or its client has left.
    pub concluded: bool,
}

impl Call {
    /// Checks that the idempotency of its class allows another attempt at this worker.
    fn check_repeat(
        &self,
        now: Time,
        entry: &WorkerEntry,
        workers: &BTreeMap<WorkerId, WorkerEntry>,
    ) {
        for earlier in &self.attempts {
            if earlier.outcome.unwrap().never_ran() {
                continue;
            }
            match self.effect {
                Effect::Safe => {}
                Effect::Unsafe => panic!("an unsafe call that may have run is sent again"),
                Effect::Keyed { group, window } => {
                    assert!(
                        now.since(earlier.sent) < window,
                        "a keyed call is repeated after its window"
                    );
                    let first = &workers[&earlier.worker];
                    assert!(match group {
                        DedupGroup::All => true,
                        DedupGroup::Zone => first.zone == entry.zone,
                        DedupGroup::Cell => first.cell == entry.cell,
                    });
                }
            }
        }
    }

    /// Whether any number of repeats is harmless.
    fn may_always_repeat(&self) -> bool {
        matches!(
            self.effect,
            Effect::Safe
                | Effect::Keyed {
                    group: DedupGroup::All,
                    ..
                }
        )
    }
}

/// Checks the actions of one router.
pub struct Checker {
    /// The settings of the router.
    pub settings: Settings,
    /// All calls.
    pub calls: BTreeMap<RequestId, Call>,
    /// Workers that must get no new work, each with the time since when.
    leaving: BTreeMap<WorkerId, Time>,
    /// The last list entry of each worker.
    workers: BTreeMap<WorkerId, WorkerEntry>,
    loads: VecDeque<Time>,
    arrivals: VecDeque<Time>,
}

impl Checker {
    /// Creates a checker without state.
    pub fn new(settings: Settings) -> Checker {
        Checker {
            settings,
            calls: BTreeMap::new(),
            leaving: BTreeMap::new(),
            workers: BTreeMap::new(),
            loads: VecDeque::new(),
            arrivals: VecDeque::new(),
        }
    }

    /// Records a worker list.
    pub fn on_worker_list(&mut self, now: Time, kind: ListKind, entries: &[WorkerEntry]) {
        if kind == ListKind::Full {
            let is_named = |worker: &WorkerId| entries.iter().any(|entry| entry.worker == *worker);
            for worker in self.workers.keys().filter(|worker| !is_named(worker)) {
                self.leaving.entry(*worker).or_insert(now);
            }
        }
        for entry in entries {
            self.workers.insert(entry.worker, entry.clone());
            if entry.state == WorkerState::Ready {
                self.leaving.remove(&entry.worker);
            } else {
                self.leaving.entry(entry.worker).or_insert(now);
            }
        }
    }

    /// Records the arrival of a call.
    pub fn on_arrival(&mut self, now: Time, request: RequestId, class: usize, budget: Micros) {
        let call = Call {
            effect: self.settings.classes[class].effect,
            deadline: now.plus(budget),
            attempts: Vec::new(),
            concluded: false,
        };
        self.calls.insert(request, call);
        self.arrivals.push_back(now);
    }

    /// Checks an action of the router.
    pub fn on_action(&mut self, now: Time, action: &Action) {
        match action {
            Action::Send {
                request, worker, ..
            } => self.on_send(now, *request, *worker),
            Action::Reject { request, .. } => self.on_reject(*request),
            Action::Fail { request } => self.on_answer(*request),
            Action::Load {
                worker, instances, ..
            } if *instances > 0 => self.on_load(now, *worker),
            Action::Cancel { request, attempt } => {
                assert!((*attempt as usize) < self.calls[request].attempts.len());
            }
            _ => {}
        }
    }

    fn on_send(&mut self, now: Time, request: RequestId, worker: WorkerId) {
        self.check_accepts_work(now, worker);
        let entry = self.workers.get(&worker);
        let entry = entry.expect("a worker that was in a list");
        let call = self.calls.get_mut(&request).expect("a known call");
        assert!(!call.concluded, "a call is sent after it was answered");
        assert!(
            call.attempts
                .iter()
                .all(|attempt| attempt.outcome.is_some()),
            "a call has two attempts at once"
        );
        assert!(call.attempts.len() < self.settings.max_attempts as usize);
        call.check_repeat(now, entry, &self.workers);
        call.attempts.push(Attempt {
            worker,
            sent: now,
            outcome: None,
        });
    }

    fn on_reject(&mut self, request: RequestId) {
        let call = &self.calls[&request];
        let mut outcomes = call.attempts.iter().map(|attempt| attempt.outcome);
        let never_ran = outcomes.all(|outcome| outcome.is_some_and(Outcome::never_ran));
        let may_repeat = call.may_always_repeat();
        self.on_answer(request);
        assert!(
            never_ran || may_repeat,
            "a call that may have run is refused"
        );
    }

    fn on_answer(&mut self, request: RequestId) {
        let call = self.calls.get_mut(&request).expect("a known call");
        assert!(!call.concluded, "a call is answered twice");
        call.concluded = true;
    }

    fn on_load(&mut self, now: Time, worker: WorkerId) {
        self.check_accepts_work(now, worker);
        self.loads.push_back(now);
        let Some(budget) = &self.settings.load_budget else {
            return;
        };
        let in_period = |times: &VecDeque<Time>| {
            let recent = times.iter().filter(|at| now.since(**at) < budget.period);
            recent.count() as f64
        };
        let allowed = budget.free + budget.arrival_share * in_period(&self.arrivals);
        assert!(
            in_period(&self.loads) <= allowed,
            "the load budget is exceeded"
        );
    }

    fn check_accepts_work(&self, now: Time, worker: WorkerId) {
        let since = self.leaving.get(&worker);
        assert!(
            since.is_none_or(|since| now.since(*since) <= self.settings.drain_grace),
            "new work for a worker that is draining or gone"
        );
    }

    /// Checks that no call is unanswered after its deadline.
    pub fn check_overdue(&self, now: Time) {
        for call in self.calls.values().filter(|call| !call.concluded) {
            assert!(
                now.since(call.deadline) <= self.settings.answer_slack,
                "a call is not answered in time"
            );
        }
    }
}
