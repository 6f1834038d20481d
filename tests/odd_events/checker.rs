//! The five rules, by their wording.

use std::collections::{BTreeMap, VecDeque};
use tansyrouter::*;

/// An attempt that was sent.
#[derive(Clone, Copy)]
pub struct Attempt {
    /// Where to.
    pub worker: WorkerId,
    /// When.
    pub sent: Time,
    /// None while it is open.
    pub outcome: Option<Outcome>,
}

/// A call that arrived.
pub struct Call {
    /// The effect of its class.
    pub effect: Effect,
    /// When its time ends.
    pub deadline: Time,
    /// Its attempts, in their order.
    pub attempts: Vec<Attempt>,
    /// It is answered, or its client has left.
    pub over: bool,
}

impl Call {
    /// Whether it may be sent to this worker again, by rule 2.
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
                Effect::Unsafe => panic!("rule 2: an unsafe call sent again"),
                Effect::Keyed { group, window } => {
                    assert!(
                        now.since(earlier.sent) < window,
                        "rule 2: out of its window"
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

    /// Whether it may run any number of times.
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

/// What the rules are checked with.
pub struct Checker {
    /// The router's settings.
    pub settings: Settings,
    /// All calls.
    pub calls: BTreeMap<RequestId, Call>,
    /// Workers that get nothing new, each since when.
    leaving: BTreeMap<WorkerId, Time>,
    /// The last entry of each worker.
    workers: BTreeMap<WorkerId, WorkerEntry>,
    loads: VecDeque<Time>,
    arrivals: VecDeque<Time>,
}

impl Checker {
    /// A checker that has seen nothing.
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

    /// The router is given this list of workers.
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

    /// The router is given this call.
    pub fn on_arrival(&mut self, now: Time, request: RequestId, class: usize, budget: Micros) {
        let call = Call {
            effect: self.settings.classes[class].effect,
            deadline: now.plus(budget),
            attempts: Vec::new(),
            over: false,
        };
        self.calls.insert(request, call);
        self.arrivals.push_back(now);
    }

    /// An action of the router.
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
        self.check_not_leaving(now, worker);
        let entry = self.workers.get(&worker);
        let entry = entry.expect("a worker that a list named");
        let call = self.calls.get_mut(&request).expect("a known call");
        assert!(!call.over, "rule 1: sent after its end");
        assert!(
            call.attempts
                .iter()
                .all(|attempt| attempt.outcome.is_some()),
            "rule 2: two attempts out at once"
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
            "rule 2: refused though it may have run"
        );
    }

    fn on_answer(&mut self, request: RequestId) {
        let call = self.calls.get_mut(&request).expect("a known call");
        assert!(!call.over, "rule 1: answered twice");
        call.over = true;
    }

    fn on_load(&mut self, now: Time, worker: WorkerId) {
        self.check_not_leaving(now, worker);
        self.loads.push_back(now);
        let Some(budget) = &self.settings.load_budget else {
            return;
        };
        let in_period = |times: &VecDeque<Time>| {
            let recent = times.iter().filter(|at| now.since(**at) < budget.period);
            recent.count() as f64
        };
        let allowed = budget.free + budget.arrival_share * in_period(&self.arrivals);
        assert!(in_period(&self.loads) <= allowed, "rule 5");
    }

    fn check_not_leaving(&self, now: Time, worker: WorkerId) {
        let since = self.leaving.get(&worker);
        assert!(
            since.is_none_or(|since| now.since(*since) <= self.settings.drain_grace),
            "rule 3: work for a leaving worker"
        );
    }

    /// No call waits longer than its time.
    pub fn check_overdue(&self, now: Time) {
        for call in self.calls.values().filter(|call| !call.over) {
            assert!(
                now.since(call.deadline) <= self.settings.answer_slack,
                "rule 1: no answer in time"
            );
        }
    }
}
