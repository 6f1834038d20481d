//! Workers of the list: those that leave, start cold or answer slowly.

use crate::harness::{requested_load, sent_to, settings_with, worker, Harness, MS};
use tansyrouter::*;

#[test]
fn a_draining_gone_or_omitted_worker_gets_nothing_new() {
    for how in 0..3 {
        let (mut harness, _) = Harness::with_warm_instance(settings_with(Effect::Safe), 1);
        let entries = match how {
            0 => vec![worker(1, WorkerState::Draining, None)],
            1 => vec![worker(1, WorkerState::Gone, None)],
            _ => Vec::new(),
        };
        harness.worker_list(
            if how == 2 {
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
            "{how}"
        );
        harness.worker_list(ListKind::Changes, vec![worker(1, WorkerState::Ready, None)]);
        assert_eq!(
            requested_load(&harness.arrive(4, 11, 0, 2_000 * MS)),
            Some(WorkerId(1)),
            "back under the same id"
        );
    }
}

/// Sends to a worker that starts now, by all front ends of a deployment, each with many calls for it.
fn sends_to_a_cold_worker(front_ends: usize, for_seconds: i64) -> usize {
    let mut sends = 0;
    for front_end in 0..front_ends {
        let set = Settings {
            front_ends,
            front_end_index: front_end,
            may_load: false,
            max_attempts: 1,
            ..settings_with(Effect::Safe)
        };
        let mut harness = Harness::new(set);
        harness.now = Time(1_000 * MS);
        harness.worker_list(
            ListKind::Full,
            vec![worker(1, WorkerState::Ready, Some(harness.now))],
        );
        for request in 0..for_seconds as u64 * 5 {
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

/// Full size: divided among a hundred, a budget lets nothing through for a whole warm-up; taken whole by each, it
/// pushes the worker over. A call weighs 0.2 s here (a fifth of the aim), misses too; the worker starts at 0.2 of
/// one core and may get twice what it can do within any 2 s.
#[test]
fn a_cold_worker_is_neither_pushed_over_nor_left_idle_at_any_number_of_front_ends() {
    for front_ends in [1, 3, 30, 120] {
        let first = sends_to_a_cold_worker(front_ends, 2);
        assert!(
            first as f64 * 0.2 <= 2.0 * 0.2 * 2.0 * 1.5,
            "{front_ends}: {first} sends in the first 2 s"
        );
        let whole = sends_to_a_cold_worker(front_ends, 9);
        assert!(
            whole >= 8,
            "{front_ends}: {whole} sends in nine tenths of the warm-up"
        );
    }
}

#[test]
fn a_restarted_worker_is_taken_as_empty() {
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

/// Rolling change at full size: the place of a function is at a worker that started just now and has no credit for
/// a call. It is not waited for; another place is loaded.
#[test]
fn a_cold_place_without_credit_is_not_waited_for() {
    let mut set = settings_with(Effect::Safe);
    set.miss_policy = MissPolicy::Miss;
    (set.slow_start_window, set.front_ends) = (60 * SECOND, 6);
    let mut harness = Harness::new(set);
    harness.ready_workers(1);
    let at = sent_to(&harness.arrive(1, 9, 0, 5_000 * MS)).expect("presumed");
    harness.end_attempt(1, 0, at, Outcome::Served);
    harness.advance(1_000 * MS);
    let entries = vec![
        worker(1, WorkerState::Ready, Some(harness.now)),
        worker(2, WorkerState::Ready, None),
    ];
    harness.worker_list(ListKind::Full, entries);
    // Until its credit is used up the cold one takes calls; then they go to the other one.
    let mut to = [0, 0];
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
                    to[worker.0 as usize - 1] += 1;
                    actions.extend(harness.served_after(request, worker, 100 * MS));
                }
                _ => {}
            }
        }
    }
    assert!(to[1] > 30, "{to:?} sent to the cold and to the warm one");
}

/// A worker that tells to be half busy could carry twice what it is seen to carry: a cold one of its size gets so much.
#[test]
fn cold_workers_are_given_by_what_workers_could_carry() {
    let to_cold = |busy: f64| {
        let mut set = settings_with(Effect::Safe);
        (set.slow_start_window, set.front_ends) = (600 * SECOND, 2);
        let mut harness = Harness::new(set);
        harness.ready_workers(2);
        let report = Some(LoadReport {
            utilization: Some(busy),
            ..LoadReport::default()
        });
        let mut out: std::collections::VecDeque<(Time, RequestId, WorkerId)> = Default::default();
        let mut cold = 0;
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
            while out.front().is_some_and(|(at, ..)| *at <= harness.now) {
                let (_, request, worker) = out.pop_front().expect("one is due");
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
                        cold += (worker.0 == 3) as u32;
                        out.push_back((harness.now.plus(100 * MS), request, worker));
                    }
                    _ => {}
                }
            }
        }
        cold
    };
    let (full, half) = (to_cold(1.0), to_cold(0.5));
    assert!(
        half * 10 > full * 15,
        "{full} calls where workers are full, {half} where they are half busy"
    );
}

/// Slow answers at full size (ageing, few cores, a jam): a worker whose answers come late gets fewer calls.
#[test]
fn a_worker_that_answers_slowly_gets_less() {
    let mut harness = Harness::new(Settings {
        front_ends: 3,
        ..settings_with(Effect::Safe)
    });
    harness.ready_workers(2);
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

/// Workers and functions that come and go for long leave nothing behind that acts: a worker that was gone for
/// minutes is as new when it returns, and one that the list forgot takes nothing.
#[test]
fn a_worker_gone_for_minutes_is_as_new_when_it_returns() {
    let (mut harness, at) = Harness::with_warm_instance(settings_with(Effect::Safe), 1);
    harness.worker_list(ListKind::Changes, vec![worker(1, WorkerState::Gone, None)]);
    harness.advance(120_000 * MS);
    harness.end_attempt(1, 0, at, Outcome::TimedOut);
    assert_eq!(requested_load(&harness.arrive(2, 9, 0, 1_000 * MS)), None);
    harness.worker_list(ListKind::Changes, vec![worker(1, WorkerState::Ready, None)]);
    assert_eq!(
        requested_load(&harness.arrive(3, 9, 0, 1_000 * MS)),
        Some(at)
    );
}

#[test]
fn a_list_that_fails_at_once_is_asked_for_seldom() {
    let set = Settings {
        list_pushed: false,
        max_list_poll_interval: SECOND,
        ..settings_with(Effect::Safe)
    };
    let mut harness = Harness::new(set);
    harness.ready_workers(1);
    let (mut asked, mut todo) = (0, Vec::new());
    while harness.now < Time(5_000 * MS) {
        harness.now = harness.now.plus(10 * MS);
        todo.extend(harness.handle(Event::Timer { token: 0 }));
        while let Some(action) = todo.pop() {
            if matches!(action, Action::Subscribe | Action::FetchList) {
                asked += 1;
                assert!(asked < 1_000, "asked at the loop's speed");
                todo.extend(harness.worker_list(ListKind::Failed, Vec::new()));
            }
        }
    }
    // At most once a quarter of the time within which it is to be asked for, and never not.
    assert!((5..=20).contains(&asked), "{asked} in 5 s");
}

/// Answers that are slow now and then, one call at a time: what a worker with idle cores is given stays as it was, what
/// one with busy cores is given is cut.
#[test]
fn slow_answers_of_a_worker_with_idle_cores_do_not_cut_what_it_is_given() {
    for (utilization, most) in [(Some(0.2), 4), (Some(0.9), 1), (None, 1)] {
        let mut set = settings_with(Effect::Safe);
        (set.front_ends, set.may_load) = (3, true);
        let mut harness = Harness::new(set);
        harness.now = Time(10 * SECOND);
        harness.ready_workers(1);
        for request in 0..8 {
            let at = sent_to(&harness.arrive(request, 9, 0, 5_000 * MS));
            let at = at.unwrap_or_else(|| {
                sent_to(&harness.end_load(WorkerId(1), 9, Outcome::Served)).expect("a send")
            });
            let latency = if request % 4 == 3 { 900 * MS } else { 100 * MS };
            harness.now = harness.now.plus(latency);
            harness.handle(Event::AttemptEnded(AttemptResult {
                request: RequestId(request),
                attempt: 0,
                worker: at,
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
        // Four functions with one lane each: how many calls it is given at once.
        let mut sends = 0;
        for function in 20..24 {
            let mut actions = harness.arrive(100 + function, function, 0, 5_000 * MS);
            if requested_load(&actions).is_some() {
                actions = harness.end_load(WorkerId(1), function, Outcome::Served);
            }
            sends += sent_to(&actions).is_some() as u32;
        }
        assert_eq!(sends, most, "busy {utilization:?}");
    }
}
