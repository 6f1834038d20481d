//! Workers that leave the list, are in slow start or answer slowly.

use crate::harness::{requested_load, sent_to, settings_with, worker, Harness, MS};
use tansyrouter::*;

#[test]
fn a_draining_gone_or_unlisted_worker_gets_no_new_work() {
    for case in 0..3 {
        let (mut harness, _) = Harness::with_warm_instance(settings_with(Effect::Safe), 1);
        let entries = match case {
            0 => vec![worker(1, WorkerState::Draining, None)],
            1 => vec![worker(1, WorkerState::Gone, None)],
            _ => Vec::new(),
        };
        harness.worker_list(
            if case == 2 {
                ListKind::Full
            } else {
                ListKind::Changes
            },
            entries,
        );
        let mut actions = harness.arrive(2, 9, 0, 2_000 * MS);
        actions.extend(harness.arrive(3, 10, 0, 2_000 * MS));
        actions.extend(harness.advance(2_000 * MS));
        assert_eq!(
            (sent_to(&actions), requested_load(&actions)),
            (None, None),
            "case {case}"
        );
        harness.worker_list(ListKind::Changes, vec![worker(1, WorkerState::Ready, None)]);
        assert_eq!(
            requested_load(&harness.arrive(4, 11, 0, 2_000 * MS)),
            Some(WorkerId(1)),
            "the worker is back under its identifier"
        );
    }
}

/// Counts the calls that all front ends send to a worker that has just started, each with many calls for it.
fn sends_to_a_starting_worker(front_ends: usize, seconds: i64) -> usize {
    let mut sends = 0;
    for front_end in 0..front_ends {
        let settings = Settings {
            front_ends,
            front_end_index: front_end,
            may_load: false,
            max_attempts: 1,
            ..settings_with(Effect::Safe)
        };
        let mut harness = Harness::new(settings);
        harness.now = Time(1_000 * MS);
        harness.worker_list(
            ListKind::Full,
            vec![worker(1, WorkerState::Ready, Some(harness.now))],
        );
        for request in 0..seconds as u64 * 5 {
            let mut actions = harness.arrive(request, 20 + request, 0, 600 * MS);
            actions.extend(harness.advance(200 * MS));
            for action in actions {
                if let Action::Send {
                    request, worker, ..
                } = action
                {
                    sends += 1;
                    harness.end_attempt(request.0, 0, worker, Outcome::NotLoaded);
                }
            }
        }
    }
    sends
}

/// With many front ends, the slow start credit must neither be divided so finely that a starting worker gets no
/// calls, nor be granted to each front end in full so that they overload the worker. A call weighs 0.2 s, a fifth of
/// the latency objective; the worker starts with 0.2 of one core and may get twice its capacity within any 2 s.
#[test]
fn slow_start_neither_overloads_nor_starves_a_worker_with_any_number_of_front_ends() {
    for front_ends in [1, 3, 30, 120] {
        let first = sends_to_a_starting_worker(front_ends, 2);
        assert!(
            first as f64 * 0.2 <= 2.0 * 0.2 * 2.0 * 1.5,
            "{front_ends} front ends: {first} sends in the first 2 s"
        );
        let whole = sends_to_a_starting_worker(front_ends, 9);
        assert!(
            whole >= 8,
            "{front_ends} front ends: {whole} sends in nine tenths of the slow start"
        );
    }
}

#[test]
fn a_restarted_worker_has_no_instances() {
    let (mut harness, _) = Harness::with_warm_instance(
        Settings {
            front_ends: 3,
            ..settings_with(Effect::Safe)
        },
        1,
    );
    harness.now = harness.now.plus(1_000 * MS);
    harness.worker_list(
        ListKind::Changes,
        vec![worker(1, WorkerState::Ready, Some(harness.now))],
    );
    harness.now = harness.now.plus(20_000 * MS);
    assert_eq!(sent_to(&harness.arrive(2, 9, 0, 5_000 * MS)), None);
}

/// A preferred worker in slow start without credit for a call must not delay calls: the function is loaded at another
/// worker.
#[test]
fn calls_do_not_wait_for_slow_start_credit() {
    let mut settings = settings_with(Effect::Safe);
    settings.miss_policy = MissPolicy::Miss;
    (settings.slow_start_window, settings.front_ends) = (60 * SECOND, 6);
    let mut harness = Harness::new(settings);
    harness.set_ready_workers(1);
    let worker_id =
        sent_to(&harness.arrive(1, 9, 0, 5_000 * MS)).expect("sent to a presumed instance");
    harness.end_attempt(1, 0, worker_id, Outcome::Served);
    harness.advance(1_000 * MS);
    let entries = vec![
        worker(1, WorkerState::Ready, Some(harness.now)),
        worker(2, WorkerState::Ready, None),
    ];
    harness.worker_list(ListKind::Full, entries);
    // The starting worker takes calls until its credit is used up; then they go to the other worker.
    let mut sends = [0, 0];
    for number in 2..40 {
        let mut actions = harness.arrive(number, 9, 0, 400 * MS);
        actions.extend(harness.advance(20 * MS));
        while let Some(action) = actions.pop() {
            match action {
                Action::Load { worker, .. } => {
                    actions.extend(harness.end_load(worker, 9, Outcome::Served))
                }
                Action::Send {
                    request, worker, ..
                } => {
                    sends[worker.0 as usize - 1] += 1;
                    actions.extend(harness.served_after(request, worker, 100 * MS));
                }
                _ => {}
            }
        }
    }
    assert!(
        sends[1] > 30,
        "calls sent to the starting and the warm worker: {sends:?}"
    );
}

/// The capacity of a starting worker is estimated from what the other workers could carry, which is twice what they
/// carry if they are half busy.
#[test]
fn slow_start_accounts_for_the_utilization_of_other_workers() {
    let sends_to_starting_worker = |busy: f64| {
        let mut settings = settings_with(Effect::Safe);
        (settings.slow_start_window, settings.front_ends) = (600 * SECOND, 2);
        let mut harness = Harness::new(settings);
        harness.set_ready_workers(2);
        let report = Some(LoadReport {
            utilization: Some(busy),
            ..LoadReport::default()
        });
        let mut in_flight: std::collections::VecDeque<(Time, RequestId, WorkerId)> =
            Default::default();
        let mut sends = 0;
        for number in 0..4000u64 {
            if number == 2000 {
                let mut entries: Vec<_> = (1..=2)
                    .map(|n| worker(n, WorkerState::Ready, None))
                    .collect();
                entries.push(worker(3, WorkerState::Ready, Some(harness.now)));
                harness.worker_list(ListKind::Full, entries);
            }
            let mut actions =
                harness.arrive(number, number / 2_000 * 100 + number % 40, 0, 2_000 * MS);
            harness.now = harness.now.plus(10 * MS);
            actions.extend(harness.handle(Event::Timer { token: 0 }));
            while in_flight.front().is_some_and(|(at, ..)| *at <= harness.now) {
                let (_, request, worker) = in_flight.pop_front().expect("an attempt is due");
                actions.extend(harness.served_with(request, worker, 100 * MS, None, report));
            }
            while let Some(action) = actions.pop() {
                match action {
                    Action::Load {
                        worker, function, ..
                    } => actions.extend(harness.end_load(worker, function.0, Outcome::Served)),
                    Action::Send {
                        request, worker, ..
                    } => {
                        sends += (worker.0 == 3) as u32;
                        in_flight.push_back((harness.now.plus(100 * MS), request, worker));
                    }
                    _ => {}
                }
            }
        }
        sends
    };
    let (full, half) = (sends_to_starting_worker(1.0), sends_to_starting_worker(0.5));
    assert!(
        half * 10 > full * 15,
        "{full} calls if the other workers are busy, {half} if they are half busy"
    );
}

/// A worker that answers slowly must get fewer calls.
#[test]
fn a_slow_worker_gets_fewer_calls() {
    let mut harness = Harness::new(Settings {
        front_ends: 3,
        ..settings_with(Effect::Safe)
    });
    harness.set_ready_workers(2);
    let mut sends = [0, 0];
    for number in 0..120u64 {
        let mut actions = harness.arrive(number, 9, 0, 4_000 * MS);
        harness.now = harness.now.plus(50 * MS);
        while let Some(action) = actions.pop() {
            match action {
                Action::Load { worker, .. } => {
                    actions.extend(harness.end_load(worker, 9, Outcome::Served))
                }
                Action::Send {
                    request, worker, ..
                } => {
                    sends[worker.0 as usize - 1] += (number >= 60) as u32;
                    let latency = if worker.0 == 1 { 700 * MS } else { 70 * MS };
                    actions.extend(harness.served_after(request, worker, latency));
                }
                _ => {}
            }
        }
    }
    assert!(sends[0] * 2 < sends[1], "{sends:?}");
}

/// A worker that was gone for minutes must be treated as new when it returns, and late results of its old attempts
/// must not matter.
#[test]
fn a_worker_that_returns_after_minutes_is_treated_as_new() {
    let (mut harness, worker_id) = Harness::with_warm_instance(settings_with(Effect::Safe), 1);
    harness.worker_list(ListKind::Changes, vec![worker(1, WorkerState::Gone, None)]);
    harness.advance(120_000 * MS);
    harness.end_attempt(1, 0, worker_id, Outcome::TimedOut);
    assert_eq!(requested_load(&harness.arrive(2, 9, 0, 1_000 * MS)), None);
    harness.worker_list(ListKind::Changes, vec![worker(1, WorkerState::Ready, None)]);
    assert_eq!(
        requested_load(&harness.arrive(3, 9, 0, 1_000 * MS)),
        Some(worker_id)
    );
}

#[test]
fn a_failing_worker_list_is_polled_at_a_limited_rate() {
    let settings = Settings {
        list_pushed: false,
        max_list_poll_interval: SECOND,
        ..settings_with(Effect::Safe)
    };
    let mut harness = Harness::new(settings);
    harness.set_ready_workers(1);
    let (mut requests, mut pending) = (0, Vec::new());
    while harness.now < Time(5_000 * MS) {
        harness.now = harness.now.plus(10 * MS);
        pending.extend(harness.handle(Event::Timer { token: 0 }));
        while let Some(action) = pending.pop() {
            if matches!(action, Action::Subscribe | Action::FetchList) {
                requests += 1;
                assert!(requests < 1_000, "the list is requested without pause");
                pending.extend(harness.worker_list(ListKind::Failed, Vec::new()));
            }
        }
    }
    // At most once per quarter of the polling interval, but not never.
    assert!(
        (5..=20).contains(&requests),
        "{requests} list requests in 5 s"
    );
}

/// Occasional slow answers must reduce the concurrency limit of a worker with busy cores, but not of one with idle
/// cores.
#[test]
fn slow_answers_of_a_worker_with_idle_cores_do_not_reduce_its_limit() {
    for (utilization, most) in [(Some(0.2), 4), (Some(0.9), 1), (None, 1)] {
        let mut settings = settings_with(Effect::Safe);
        (settings.front_ends, settings.may_load) = (3, true);
        let mut harness = Harness::new(settings);
        harness.now = Time(10 * SECOND);
        harness.set_ready_workers(1);
        for request in 0..8 {
            let worker_id = sent_to(&harness.arrive(request, 9, 0, 5_000 * MS));
            let worker_id = worker_id.unwrap_or_else(|| {
                sent_to(&harness.end_load(WorkerId(1), 9, Outcome::Served)).expect("a call is sent")
            });
            let latency = if request % 4 == 3 { 900 * MS } else { 100 * MS };
            harness.now = harness.now.plus(latency);
            harness.handle(Event::AttemptEnded(AttemptResult {
                request: RequestId(request),
                attempt: 0,
                worker: worker_id,
                outcome: Outcome::Served,
                concluded: true,
                latency,
                instance_status: InstanceStatus::Warm,
                concurrency: None,
                report: Some(LoadReport {
                    utilization,
                    ..LoadReport::default()
                }),
            }));
            harness.advance(400 * MS);
        }
        // Number of calls sent at once for four functions with one lane each.
        let mut sends = 0;
        for function in 20..24 {
            let mut actions = harness.arrive(100 + function, function, 0, 5_000 * MS);
            if requested_load(&actions).is_some() {
                actions = harness.end_load(WorkerId(1), function, Outcome::Served);
            }
            sends += sent_to(&actions).is_some() as u32;
        }
        assert_eq!(sends, most, "utilization {utilization:?}");
    }
}
