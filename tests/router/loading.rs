//! Load requests: their budget, the backoff after loads without effect, and lost connections.

use crate::harness::{
    answer_next_query, harness_with_one_served_call, one_of_100_front_ends, queried_worker,
    requested_load, sent_to, settings_with, worker, Harness, MS,
};
use tansyrouter::*;

#[test]
fn load_requests_stay_within_the_budget() {
    let load_budget = Some(LoadBudget {
        free: 2.0,
        arrival_share: 0.25,
        period: 5_000 * MS,
    });
    let mut harness = Harness::new(Settings {
        load_budget,
        ..settings_with(Effect::Safe)
    });
    harness.set_ready_workers(8);
    let mut loads = 0;
    for request in 0..40 {
        harness.now = harness.now.plus(10 * MS);
        let actions = harness.arrive(request, 100 + request, 0, 5_000 * MS);
        if let Some(worker) = requested_load(&actions) {
            loads += 1;
            harness.end_load(worker, 100 + request, Outcome::Served);
        }
        assert!(loads as f64 <= 2.0 + 0.25 * (request + 1) as f64);
    }
    assert!(loads > 5, "only {loads} of the budget are used");
}

/// Counts the load requests in five seconds, while `functions` functions always have calls waiting. Load requests are
/// answered with `answer` at once, and calls miss.
fn load_requests_in_five_seconds(
    settings: Settings,
    workers: u64,
    functions: u64,
    answer: (Outcome, u32),
) -> usize {
    let mut harness = Harness::new(settings);
    harness.set_ready_workers(workers);
    let (mut loads, mut next) = (0, 0);
    let mut pending = std::collections::VecDeque::new();
    while harness.now < Time(5_000 * MS) {
        for function in 0..functions {
            next += 1;
            pending.extend(harness.arrive(next, function, 0, 5_000 * MS));
        }
        pending.extend(harness.handle(Event::Timer { token: 0 }));
        let mut steps = 0;
        while let Some(action) = pending.pop_front() {
            steps += 1;
            assert!(steps < 100_000, "load requests without pause");
            match action {
                Action::Load {
                    worker,
                    function,
                    instances: requested,
                } => {
                    loads += (requested > 0) as usize;
                    let (outcome, instances) = answer;
                    let latency = 100;
                    pending.extend(harness.handle(Event::LoadEnded {
                        worker,
                        function,
                        outcome,
                        latency,
                        instances,
                    }));
                }
                Action::Send {
                    request, worker, ..
                } => {
                    let result = AttemptResult {
                        request,
                        attempt: 0,
                        worker,
                        outcome: Outcome::NotLoaded,
                        concluded: true,
                        latency: 100,
                        instance_status: InstanceStatus::Unreported,
                        concurrency: None,
                        report: None,
                    };
                    pending.extend(harness.handle(Event::AttemptEnded(result)));
                }
                _ => {}
            }
        }
        harness.now = harness.now.plus(50 * MS);
    }
    loads
}

#[test]
fn ineffective_loads_back_off_per_instance_and_are_paced_over_all_workers() {
    for answer in [
        (Outcome::Served, 0),
        (Outcome::Error, 0),
        (Outcome::Rejected, 0),
        (Outcome::NotLoaded, 0),
    ] {
        // One instance: requested at once and once more, then after backoffs of half a second (plus jitter), one
        // second and two seconds.
        let loads = load_requests_in_five_seconds(settings_with(Effect::Safe), 1, 1, answer);
        assert!((3..=6).contains(&loads), "{answer:?}: {loads} loads");
        let loads = load_requests_in_five_seconds(settings_with(Effect::Safe), 1, 40, answer);
        assert!(
            (90..=102).contains(&loads),
            "{answer:?}: {loads} loads for many functions at one worker"
        );
        let loads = load_requests_in_five_seconds(settings_with(Effect::Safe), 20, 40, answer);
        // The window of loads before the first answer, then one per interval.
        assert!(
            (60..=142).contains(&loads),
            "{answer:?}: {loads} loads at twenty workers"
        );
    }
    let loads =
        load_requests_in_five_seconds(settings_with(Effect::Safe), 1, 1, (Outcome::Served, 1));
    assert!(
        (3..=6).contains(&loads),
        "{loads} loads that are reported as done and missed by calls"
    );
}

#[test]
fn a_served_call_or_a_restart_resets_the_load_backoff() {
    for restart in [false, true] {
        let mut harness = Harness::new(settings_with(Effect::Safe));
        harness.set_ready_workers(1);
        let mut worker_id =
            requested_load(&harness.arrive(1, 9, 0, 60_000 * MS)).expect("a load request");
        for _ in 0..4 {
            let mut next = harness.end_load(worker_id, 9, Outcome::Error);
            while requested_load(&next).is_none() {
                next = harness.advance(10 * MS);
            }
            worker_id = requested_load(&next).unwrap();
        }
        let since = harness.now;
        let next = if restart {
            harness.end_load(worker_id, 9, Outcome::Error);
            let now = harness.now;
            harness.worker_list(
                ListKind::Full,
                vec![worker(1, WorkerState::Ready, Some(now))],
            );
            harness.advance(60 * MS)
        } else {
            assert_eq!(
                sent_to(&harness.end_load(worker_id, 9, Outcome::Served)),
                Some(worker_id)
            );
            harness.end_attempt(1, 0, worker_id, Outcome::Served);
            // It reaches its idle timeout. The next load request fails once and is repeated at once, as after a first
            // failure.
            harness.advance(20_000 * MS);
            assert!(requested_load(&harness.arrive(2, 9, 0, 60_000 * MS)).is_some());
            harness.end_load(worker_id, 9, Outcome::Error);
            harness.advance(600 * MS)
        };
        assert!(
            requested_load(&next).is_some(),
            "restart {restart}: no load request after {} us",
            harness.now.since(since)
        );
    }
}

#[test]
fn a_load_with_a_lost_connection_does_not_count_as_ineffective() {
    let (mut harness, worker_id) = harness_with_one_served_call();
    let first = requested_load(&harness.arrive(2, 10, 0, 5_000 * MS));
    assert_eq!(first, Some(worker_id));
    harness.end_load(worker_id, 10, Outcome::ConnectionLost);
    // It is repeated as soon as the worker answers, well before the half second of the first backoff.
    let mut actions = answer_next_query(&mut harness, worker_id);
    actions.extend(harness.advance(60 * MS));
    assert_eq!(requested_load(&actions), Some(worker_id));
    // Instances that were loaded there before still count: a call is sent to one.
    assert_eq!(
        sent_to(&harness.arrive(3, 9, 0, 5_000 * MS)),
        Some(worker_id)
    );
}

/// A load may succeed although its connection was closed while idle. If the connection is lost long after the request
/// was sent, and a miss loads nothing, a call is sent to find out and the worker is not suspect. Otherwise every such
/// load would be repeated elsewhere and its worker excluded.
#[test]
fn a_load_whose_connection_is_lost_late_is_presumed_to_succeed() {
    for (latency, presumed) in [(500 * MS, true), (MS, false)] {
        let mut harness = Harness::new(one_of_100_front_ends(0));
        harness.set_ready_workers(10);
        let worker_id = harness.miss_until_load(1, 9);
        let (function, outcome) = (FunctionId(9), Outcome::ConnectionLost);
        let ended = Event::LoadEnded {
            worker: worker_id,
            function,
            outcome,
            latency,
            instances: 0,
        };
        let actions = harness.handle(ended);
        assert_eq!(
            sent_to(&actions) == Some(worker_id),
            presumed,
            "lost after {latency} us: {actions:?}"
        );
        assert_eq!(
            requested_load(&actions),
            None,
            "{latency}: the load is requested again"
        );
        let is_queried = (0..20).any(|_| queried_worker(&harness.advance(10 * MS)).is_some());
        assert_eq!(
            is_queried, !presumed,
            "{latency}: whether its worker is queried"
        );
    }
}

/// A presumed instance is only as recent as its load request: a process that started after the request was sent never
/// received it, so a call must not be sent there. The short slow start rules out other reasons.
#[test]
fn a_load_requested_before_its_worker_restarted_is_not_presumed_to_succeed() {
    for restarted in [false, true] {
        let mut settings = one_of_100_front_ends(0);
        settings.slow_start_window = 50 * MS;
        let mut harness = Harness::new(settings);
        harness.set_ready_workers(10);
        let worker_id = harness.miss_until_load(1, 9);
        harness.advance(200 * MS);
        if restarted {
            harness.worker_list(
                ListKind::Changes,
                vec![worker(worker_id.0, WorkerState::Ready, Some(harness.now))],
            );
        }
        harness.advance(300 * MS);
        let (function, outcome) = (FunctionId(9), Outcome::ConnectionLost);
        let ended = Event::LoadEnded {
            worker: worker_id,
            function,
            outcome,
            latency: 500 * MS,
            instances: 0,
        };
        let actions = harness.handle(ended);
        assert_eq!(
            sent_to(&actions) == Some(worker_id),
            !restarted,
            "restarted {restarted}: {actions:?}"
        );
    }
}
