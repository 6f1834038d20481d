//! The order of queued calls, their deadlines and the checks of the queues.

use crate::harness::{requested_load, settings_with, worker, Harness, MS};
use std::collections::{BTreeMap, VecDeque};
use tansyrouter::*;

/// How long clients wait in the test with a busy lane.
const CLIENT_TIMEOUT: Micros = 6 * SECOND;

/// An attempt that has not ended.
struct OpenAttempt {
    request: RequestId,
    worker: WorkerId,
    attempt: u32,
}

/// A queue of calls with light and heavy work hints behind one busy lane; some attempts are rejected and retried.
struct BusyLane {
    harness: Harness,
    rng: fastrand::Rng,
    arrived: BTreeMap<RequestId, Time>,
    answered_at: BTreeMap<RequestId, Time>,
    open: VecDeque<OpenAttempt>,
    attempts: BTreeMap<RequestId, u32>,
}

impl BusyLane {
    fn new() -> BusyLane {
        let mut settings = settings_with(Effect::Safe);
        settings.classes[0].latency_objective = 2 * SECOND;
        settings.classes[0].deadline = CLIENT_TIMEOUT;
        let mut harness = Harness::new(settings);
        harness.set_ready_workers(2);
        BusyLane {
            harness,
            rng: fastrand::Rng::with_seed(5),
            arrived: BTreeMap::new(),
            answered_at: BTreeMap::new(),
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

    /// Ends the oldest open attempt, served in two of three cases.
    fn end_attempt(&mut self) -> Vec<Action> {
        let Some(oldest) = self.open.pop_front() else {
            return Vec::new();
        };
        let outcomes = [Outcome::Served, Outcome::Served, Outcome::Rejected];
        let outcome = *self.rng.choice(&outcomes).unwrap();
        let concluded = outcome == Outcome::Served;
        if concluded {
            self.answered_at.insert(oldest.request, self.harness.now);
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

    /// Carries out actions, the last one first.
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
                        self.answered_at.insert(request, self.harness.now).is_none(),
                        "{request:?} answered twice"
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
fn thousands_of_queued_calls_are_all_answered_in_time() {
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
    assert_eq!(
        lane.answered_at.len(),
        arrived.len(),
        "every call is answered"
    );
    let answers = lane.answered_at.iter();
    let late =
        answers.filter(|(request, answered)| answered.since(arrived[request]) > CLIENT_TIMEOUT);
    assert_eq!(
        late.count(),
        0,
        "no call is answered after its client has given up"
    );
}

#[test]
fn a_queued_call_is_answered_as_soon_as_it_cannot_be_served() {
    // A call whose answer after the objective has no value, queued behind calls with later objectives.
    let mut settings = settings_with(Effect::Safe);
    (
        settings.classes[0].late_weight,
        settings.classes[0].latency_objective,
        settings.classes[0].deadline,
    ) = (0.0, SECOND, 30 * SECOND);
    settings.classes.push(Class {
        latency_objective: 20 * SECOND,
        ..settings.classes[0].clone()
    });
    let mut harness = Harness::new(settings);
    harness.set_ready_workers(1);
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
        "half of its objective is left"
    );
    let actions = harness.advance(500 * MS);
    assert_eq!(
        actions
            .iter()
            .filter(|a| matches!(a, Action::Reject { .. }))
            .collect::<Vec<_>>(),
        [&refused]
    );

    // A call that was sent once and loses its right to a retry long before its objective ends.
    let mut settings = settings_with(Effect::Keyed {
        group: DedupGroup::Zone,
        window: 3 * SECOND,
    });
    (
        settings.classes[0].latency_objective,
        settings.classes[0].deadline,
    ) = (5 * SECOND, 60 * SECOND);
    let mut harness = Harness::new(settings);
    harness.set_ready_workers(1);
    let worker_id = harness.load_and_send(1, 9, 0);
    harness.arrive(2, 9, 0, 60_000 * MS);
    harness.end_attempt(1, 0, worker_id, Outcome::ConnectionLost);
    let failed = Action::Fail {
        request: RequestId(1),
    };
    assert!(
        !harness.advance(2_000 * MS).contains(&failed),
        "a retry is still allowed"
    );
    assert!(
        harness.advance(600 * MS).contains(&failed),
        "its window, less two connect timeouts, has passed"
    );
}

#[test]
fn very_many_waiting_functions_are_checked_in_turn() {
    let (workers, functions) = (300, 600);
    let mut harness = Harness::new(settings_with(Effect::Safe));
    harness.set_ready_workers(workers);
    let all_draining = (1..=workers)
        .map(|i| worker(i, WorkerState::Draining, None))
        .collect();
    harness.worker_list(ListKind::Full, all_draining);
    for function in 0..functions {
        assert_eq!(
            requested_load(&harness.arrive(function + 1, function, 0, 60_000 * MS)),
            None,
            "there is no worker to load it"
        );
    }
    // When workers are ready again, only the checks find functions to load.
    harness.set_ready_workers(workers);
    let (mut checked, mut most) = (std::collections::BTreeSet::new(), 0);
    for _ in 0..12 {
        let before = checked.len();
        checked.extend(
            harness
                .advance(20 * MS)
                .iter()
                .filter_map(|action| match action {
                    Action::Load { function, .. } => Some(*function),
                    _ => None,
                }),
        );
        most = most.max(checked.len() - before);
    }
    assert_eq!(
        checked.len() as u64,
        functions,
        "all functions are checked within twelve checks"
    );
    assert!(
        most < functions as usize / 2,
        "{most} of {functions} functions in one check"
    );
}
