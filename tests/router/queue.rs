//! Calls that wait, in their order.

use crate::harness::{requested_load, settings_with, worker, Harness, MS};
use std::collections::{BTreeMap, VecDeque};
use tansyrouter::*;

/// The time of a call's client, in the next test.
const CLIENT_TIMEOUT: Micros = 6 * SECOND;

/// An attempt that has no end yet.
struct OpenAttempt {
    request: RequestId,
    worker: WorkerId,
    attempt: u32,
}

/// Calls with hints from light to heavy wait on one busy lane; some come back from a worker that is cut off.
struct BusyLane {
    harness: Harness,
    rng: fastrand::Rng,
    arrived: BTreeMap<RequestId, Time>,
    ended: BTreeMap<RequestId, Time>,
    open: VecDeque<OpenAttempt>,
    attempts: BTreeMap<RequestId, u32>,
}

impl BusyLane {
    fn new() -> BusyLane {
        let mut settings = settings_with(Effect::Safe);
        settings.classes[0].latency_objective = 2 * SECOND;
        settings.classes[0].deadline = CLIENT_TIMEOUT;
        let mut harness = Harness::new(settings);
        harness.ready_workers(2);
        BusyLane {
            harness,
            rng: fastrand::Rng::with_seed(5),
            arrived: BTreeMap::new(),
            ended: BTreeMap::new(),
            open: VecDeque::new(),
            attempts: BTreeMap::new(),
        }
    }

    fn arrive(&mut self) -> Vec<Action> {
        let number = self.arrived.len() as u64 + 1;
        self.arrived.insert(RequestId(number), self.harness.now);
        self.harness.handle(Event::Arrival(Arrival {
            request: RequestId(number),
            function: FunctionId(number % 3),
            class: 0,
            tenant: 0,
            budget: self.rng.i64(1_000..6_000) * MS,
            work_hint: Some(self.rng.i64(1..200) * MS),
            lanes: 2,
            memory_mb: 300.0,
            load_time: Some(50 * MS),
            is_client_retry: false,
        }))
    }

    /// Ends the oldest open attempt, two of three times well.
    fn end_attempt(&mut self) -> Vec<Action> {
        let Some(oldest) = self.open.pop_front() else {
            return Vec::new();
        };
        let outcomes = [Outcome::Served, Outcome::Served, Outcome::Rejected];
        let outcome = *self.rng.choice(&outcomes).unwrap();
        let concluded = outcome == Outcome::Served;
        if concluded {
            self.ended.insert(oldest.request, self.harness.now);
        }
        self.harness.handle(Event::AttemptEnded(AttemptResult {
            request: oldest.request,
            attempt: oldest.attempt,
            worker: oldest.worker,
            outcome,
            concluded,
            latency: 20 * MS,
            instance_status: InstanceStatus::Warm,
            concurrency: None,
            report: None,
        }))
    }

    /// Carries actions out, the last one first.
    fn carry_out(&mut self, mut actions: Vec<Action>) {
        while let Some(action) = actions.pop() {
            match action {
                Action::Load {
                    worker, function, ..
                } => {
                    let loaded = self.harness.end_load(worker, function.0, Outcome::Served);
                    actions.extend(loaded);
                }
                Action::Send {
                    request, worker, ..
                } => self.send(request, worker),
                Action::Reject { request, .. } | Action::Fail { request } => {
                    assert!(
                        self.ended.insert(request, self.harness.now).is_none(),
                        "{request:?} ended twice"
                    );
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, request: RequestId, worker: WorkerId) {
        let attempts = self.attempts.entry(request).or_default();
        self.open.push_back(OpenAttempt {
            request,
            worker,
            attempt: *attempts,
        });
        *attempts += 1;
    }
}

#[test]
fn with_thousands_waiting_late_lost_and_repeated_calls_are_still_found_in_their_order() {
    let mut lane = BusyLane::new();
    for step in 0..900 {
        let mut actions = Vec::new();
        let arrivals = if step < 300 { 10 } else { 0 };
        (0..arrivals).for_each(|_| actions.extend(lane.arrive()));
        actions.extend(lane.end_attempt());
        lane.harness.now = lane.harness.now.plus(10 * MS);
        actions.extend(lane.harness.handle(Event::Timer { token: 0 }));
        lane.carry_out(actions);
    }
    let arrived = &lane.arrived;
    assert_eq!(lane.ended.len(), arrived.len(), "every call has an end");
    let ends = lane.ended.iter();
    let late = ends.filter(|(request, end)| end.since(arrived[request]) > CLIENT_TIMEOUT);
    assert_eq!(late.count(), 0, "none after its client's time");
}

#[test]
fn a_held_call_ends_when_it_can_no_longer_be_of_use_and_not_at_its_deadline() {
    // Too late for any worth, behind calls whose aims are further off.
    let mut set = settings_with(Effect::Safe);
    (
        set.classes[0].late_weight,
        set.classes[0].latency_objective,
        set.classes[0].deadline,
    ) = (0.0, SECOND, 30 * SECOND);
    set.classes.push(Class {
        latency_objective: 20 * SECOND,
        ..set.classes[0].clone()
    });
    let mut harness = Harness::new(set);
    harness.ready_workers(1);
    for request in 2..200 {
        harness.arrive(request, 9, 1, 30_000 * MS);
    }
    harness.arrive(1, 9, 0, 30_000 * MS);
    let refused = Action::Reject {
        request: RequestId(1),
        retry_after: 0,
    };
    assert!(
        !harness.advance(500 * MS).contains(&refused),
        "half of its aim is left"
    );
    let actions = harness.advance(500 * MS);
    assert_eq!(
        actions
            .iter()
            .filter(|a| matches!(a, Action::Reject { .. }))
            .collect::<Vec<_>>(),
        [&refused]
    );

    // Sent once, and from a moment on not to be sent again, with its aim far off.
    let mut set = settings_with(Effect::Keyed {
        group: DedupGroup::Zone,
        window: 3 * SECOND,
    });
    (set.classes[0].latency_objective, set.classes[0].deadline) = (5 * SECOND, 60 * SECOND);
    let mut harness = Harness::new(set);
    harness.ready_workers(1);
    let at = harness.load_and_send(1, 9, 0);
    harness.arrive(2, 9, 0, 60_000 * MS);
    harness.end_attempt(1, 0, at, Outcome::ConnectionLost);
    let failed = Action::Fail {
        request: RequestId(1),
    };
    assert!(
        !harness.advance(2_000 * MS).contains(&failed),
        "it may be sent again yet"
    );
    assert!(
        harness.advance(600 * MS).contains(&failed),
        "its window, less two connect time-outs, is over"
    );
}

#[test]
fn with_very_many_functions_waiting_each_is_looked_over_in_its_turn() {
    let (workers, functions) = (300, 600);
    let mut harness = Harness::new(settings_with(Effect::Safe));
    harness.ready_workers(workers);
    let none = (1..=workers)
        .map(|i| worker(i, WorkerState::Draining, None))
        .collect();
    harness.worker_list(ListKind::Full, none);
    for function in 0..functions {
        assert_eq!(
            requested_load(&harness.arrive(function + 1, function, 0, 60_000 * MS)),
            None,
            "no worker to load it"
        );
    }
    // Once there are workers again, only a look can find that a function may be loaded.
    harness.ready_workers(workers);
    let (mut looked, mut most) = (std::collections::BTreeSet::new(), 0);
    for _ in 0..12 {
        let before = looked.len();
        looked.extend(
            harness
                .advance(20 * MS)
                .iter()
                .filter_map(|action| match action {
                    Action::Load { function, .. } => Some(*function),
                    _ => None,
                }),
        );
        most = most.max(looked.len() - before);
    }
    assert_eq!(
        looked.len() as u64,
        functions,
        "looked over within twelve looks"
    );
    assert!(
        most < functions as usize / 2,
        "{most} of {functions} in one look"
    );
}
