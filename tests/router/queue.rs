//! Calls that wait, in their order.

use crate::harness::{requested_load, settings_with, worker, Harness, MS};
use tansyrouter::*;

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one table or one history, read from top to bottom"
)]
fn with_thousands_waiting_late_lost_and_repeated_calls_are_still_found_in_their_order() {
    // Calls with hints from light to heavy wait on one busy lane; some come back from a worker that is cut off.
    let mut set = settings_with(Effect::Safe);
    set.classes[0].latency_objective = 2 * SECOND;
    set.classes[0].deadline = 6 * SECOND;
    let mut harness = Harness::new(set);
    harness.ready_workers(2);
    let (mut ended, mut next) = (std::collections::BTreeMap::new(), 0u64);
    let mut began = std::collections::BTreeMap::new();
    let mut out: Vec<(RequestId, WorkerId, u32)> = Vec::new();
    let mut attempts: std::collections::BTreeMap<RequestId, u32> = Default::default();
    let mut rng = fastrand::Rng::with_seed(5);
    for step in 0..900 {
        let mut actions = Vec::new();
        if step < 300 {
            for _ in 0..10 {
                next += 1;
                began.insert(RequestId(next), harness.now);
                actions.extend(harness.handle(Event::Arrival(Arrival {
                    request: RequestId(next),
                    function: FunctionId(next % 3),
                    class: 0,
                    tenant: 0,
                    budget: rng.i64(1_000..6_000) * MS,
                    work_hint: Some(rng.i64(1..200) * MS),
                    lanes: 2,
                    memory_mb: 300.0,
                    load_time: Some(50 * MS),
                    repeat: false,
                })));
            }
        }
        if !out.is_empty() {
            let (request, worker, attempt) = out.remove(0);
            let outcome = *rng
                .choice(&[Outcome::Served, Outcome::Served, Outcome::Rejected])
                .unwrap();
            let concluded = outcome == Outcome::Served;
            if concluded {
                ended.insert(request, harness.now);
            }
            let (latency, note) = (20 * MS, InstanceStatus::Warm);
            let d = AttemptResult {
                request,
                attempt,
                worker,
                outcome,
                concluded,
                latency,
                instance_status: note,
                concurrency: None,
                report: None,
            };
            actions.extend(harness.handle(Event::AttemptEnded(d)));
        }
        harness.now = harness.now.plus(10 * MS);
        actions.extend(harness.handle(Event::Timer { token: 0 }));
        while let Some(a) = actions.pop() {
            match a {
                Action::Load {
                    worker, function, ..
                } => {
                    actions.extend(harness.end_load(worker, function.0, Outcome::Served));
                }
                Action::Send {
                    request, worker, ..
                } => {
                    let n = attempts.entry(request).or_default();
                    out.push((request, worker, *n));
                    *n += 1;
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    assert!(
                        ended.insert(request, harness.now).is_none(),
                        "{request:?} ended twice"
                    );
                }
                _ => {}
            }
        }
    }
    assert_eq!(ended.len() as u64, next, "every call has an end");
    let late = ended
        .iter()
        .filter(|(r, at)| at.since(began[r]) > 6 * SECOND)
        .count();
    assert_eq!(late, 0, "none after its client's time");
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
    for n in 2..200 {
        harness.arrive(n, 9, 1, 30_000 * MS);
    }
    harness.arrive(1, 9, 0, 30_000 * MS);
    let refused = Action::Reject {
        request: RequestId(1),
        stay_away: 0,
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
        group: Group::Zone,
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
    for f in 0..functions {
        assert_eq!(
            requested_load(&harness.arrive(f + 1, f, 0, 60_000 * MS)),
            None,
            "no worker to load it"
        );
    }
    // Once there are workers again, only a look can find that a function may be loaded.
    harness.ready_workers(workers);
    let (mut looked, mut most) = (std::collections::BTreeSet::new(), 0);
    for _ in 0..12 {
        let before = looked.len();
        looked.extend(harness.advance(20 * MS).iter().filter_map(|a| match a {
            Action::Load { function, .. } => Some(*function),
            _ => None,
        }));
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
