//! Load requests: their budget, their backoff, and those without an effect.

use crate::harness::{
    answer_next, asked_worker, one_of_a_hundred, requested_load, sent_to, served_once,
    settings_with, worker, Harness, MS,
};
use tansyrouter::*;

#[test]
fn load_orders_stay_within_the_ration() {
    let load_budget = Some(LoadBudget {
        free: 2.0,
        arrival_share: 0.25,
        period: 5_000 * MS,
    });
    let mut harness = Harness::new(Settings {
        load_budget,
        ..settings_with(Effect::Safe)
    });
    harness.ready_workers(8);
    let mut orders = 0;
    for request in 0..40 {
        harness.now = harness.now.plus(10 * MS);
        let actions = harness.arrive(request, 100 + request, 0, 5_000 * MS);
        if let Some(worker) = requested_load(&actions) {
            orders += 1;
            harness.end_load(worker, 100 + request, Outcome::Served);
        }
        assert!(orders as f64 <= 2.0 + 0.25 * (request + 1) as f64);
    }
    assert!(orders > 5, "and are used: {orders}");
}

/// One worker, load requests answered by `answer` as soon as they are given, calls likewise missed; counts those of
/// five seconds. `functions` functions have calls waiting all the time.
fn orders_in_five_seconds(
    set: Settings,
    workers: u64,
    functions: u64,
    answer: (Outcome, u32),
) -> usize {
    let mut harness = Harness::new(set);
    harness.ready_workers(workers);
    let (mut orders, mut next) = (0, 0);
    let mut todo = std::collections::VecDeque::new();
    while harness.now < Time(5_000 * MS) {
        for function in 0..functions {
            next += 1;
            todo.extend(harness.arrive(next, function, 0, 5_000 * MS));
        }
        todo.extend(harness.handle(Event::Timer { token: 0 }));
        let mut steps = 0;
        while let Some(action) = todo.pop_front() {
            steps += 1;
            assert!(steps < 100_000, "orders at the loop's speed");
            match action {
                Action::Load {
                    worker,
                    function,
                    instances: wanted,
                } => {
                    orders += (wanted > 0) as usize;
                    let (outcome, instances) = answer;
                    let latency = 100;
                    todo.extend(harness.handle(Event::LoadEnded {
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
                    todo.extend(harness.handle(Event::AttemptEnded(result)));
                }
                _ => {}
            }
        }
        harness.now = harness.now.plus(50 * MS);
    }
    orders
}

#[test]
fn orders_in_vain_wait_longer_each_time_at_a_place_and_are_paced_over_all() {
    for answer in [
        (Outcome::Served, 0),
        (Outcome::Error, 0),
        (Outcome::Rejected, 0),
        (Outcome::NotLoaded, 0),
    ] {
        // At one place: at once, once more, then after half a second to three quarters, twice that, four times.
        let orders = orders_in_five_seconds(settings_with(Effect::Safe), 1, 1, answer);
        assert!((3..=6).contains(&orders), "{answer:?}: {orders}");
        let orders = orders_in_five_seconds(settings_with(Effect::Safe), 1, 40, answer);
        assert!(
            (90..=102).contains(&orders),
            "{answer:?}: {orders} for many functions at one worker"
        );
        let orders = orders_in_five_seconds(settings_with(Effect::Safe), 20, 40, answer);
        // Those in hand before the first answer, two a worker, then the pace.
        assert!(
            (60..=142).contains(&orders),
            "{answer:?}: {orders} at twenty workers"
        );
    }
    let orders = orders_in_five_seconds(settings_with(Effect::Safe), 1, 1, (Outcome::Served, 1));
    assert!((3..=6).contains(&orders), "told done and missed: {orders}");
}

#[test]
fn a_call_served_or_a_restart_clears_what_was_in_vain() {
    for restart in [false, true] {
        let mut harness = Harness::new(settings_with(Effect::Safe));
        harness.ready_workers(1);
        let mut at = requested_load(&harness.arrive(1, 9, 0, 60_000 * MS)).expect("a load");
        for _ in 0..4 {
            let mut next = harness.end_load(at, 9, Outcome::Error);
            while requested_load(&next).is_none() {
                next = harness.advance(10 * MS);
            }
            at = requested_load(&next).unwrap();
        }
        let since = harness.now;
        let next = if restart {
            harness.end_load(at, 9, Outcome::Error);
            let now = harness.now;
            harness.worker_list(
                ListKind::Full,
                vec![worker(1, WorkerState::Ready, Some(now))],
            );
            harness.advance(60 * MS)
        } else {
            assert_eq!(sent_to(&harness.end_load(at, 9, Outcome::Served)), Some(at));
            harness.end_attempt(1, 0, at, Outcome::Served);
            // It lapses; the next load request fails once, and is given again at once as after a first failure.
            harness.advance(20_000 * MS);
            assert!(requested_load(&harness.arrive(2, 9, 0, 60_000 * MS)).is_some());
            harness.end_load(at, 9, Outcome::Error);
            harness.advance(600 * MS)
        };
        assert!(
            requested_load(&next).is_some(),
            "restart {restart}, {} us on",
            harness.now.since(since)
        );
    }
}

#[test]
fn an_order_whose_connection_is_lost_is_not_in_vain() {
    let (mut harness, at) = served_once();
    let first = requested_load(&harness.arrive(2, 10, 0, 5_000 * MS));
    assert_eq!(first, Some(at));
    harness.end_load(at, 10, Outcome::ConnectionLost);
    // It is given again as soon as the worker answers, well within the half second of a place that is barred.
    let mut actions = answer_next(&mut harness, at);
    actions.extend(harness.advance(60 * MS));
    assert_eq!(requested_load(&actions), Some(at));
    // And what stood there stands: a call goes to it.
    assert_eq!(sent_to(&harness.arrive(3, 9, 0, 5_000 * MS)), Some(at));
}

/// Load requests outlast connections that end when nothing passes on them, and stand all the same: where a miss says so a call
/// goes and sees, and the worker is no suspect. Else each is given again elsewhere, and each worker is shut out.
#[test]
fn an_order_whose_connection_ends_long_after_it_left_is_taken_to_stand() {
    for (latency, stands) in [(500 * MS, true), (MS, false)] {
        let mut harness = Harness::new(one_of_a_hundred(0));
        harness.ready_workers(10);
        let at = harness.miss_until_load(1, 9);
        let (function, outcome) = (FunctionId(9), Outcome::ConnectionLost);
        let told = Event::LoadEnded {
            worker: at,
            function,
            outcome,
            latency,
            instances: 0,
        };
        let actions = harness.handle(told);
        assert_eq!(
            sent_to(&actions) == Some(at),
            stands,
            "{latency}: {actions:?}"
        );
        assert_eq!(requested_load(&actions), None, "{latency}: ordered again");
        let asks = (0..20).any(|_| asked_worker(&harness.advance(10 * MS)).is_some());
        assert_eq!(asks, !stands, "{latency}: its worker is tested");
    }
}

/// What is taken to stand is as old as its load request: a process that started after that left never got it, so that
/// a call there goes in vain. With a short warm-up nothing else keeps the call away.
#[test]
fn an_order_that_left_before_its_worker_started_again_is_not_taken_to_stand() {
    for restarts in [false, true] {
        let mut set = one_of_a_hundred(0);
        set.slow_start_window = 50 * MS;
        let mut harness = Harness::new(set);
        harness.ready_workers(10);
        let at = harness.miss_until_load(1, 9);
        harness.advance(200 * MS);
        if restarts {
            harness.worker_list(
                ListKind::Changes,
                vec![worker(at.0, WorkerState::Ready, Some(harness.now))],
            );
        }
        harness.advance(300 * MS);
        let (function, outcome) = (FunctionId(9), Outcome::ConnectionLost);
        let told = Event::LoadEnded {
            worker: at,
            function,
            outcome,
            latency: 500 * MS,
            instances: 0,
        };
        let actions = harness.handle(told);
        assert_eq!(
            sent_to(&actions) == Some(at),
            !restarts,
            "{restarts}: {actions:?}"
        );
    }
}
