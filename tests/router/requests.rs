//! When calls are queued, retried, refused and failed.

use crate::harness::{requested_load, sent_to, settings_with, worker, Harness, MS};
use tansyrouter::*;

#[test]
fn a_call_without_a_free_lane_waits_and_is_sent_when_one_is_free() {
    let (mut harness, worker_id) = Harness::with_warm_instance(settings_with(Effect::Safe), 3);
    assert_eq!(
        sent_to(&harness.arrive(2, 9, 0, 5_000 * MS)),
        Some(worker_id),
        "a free lane of a warm instance is used"
    );
    assert_eq!(
        sent_to(&harness.arrive(3, 9, 0, 5_000 * MS)),
        None,
        "the next call waits while the lane is taken"
    );
    assert_eq!(
        sent_to(&harness.end_attempt(2, 0, worker_id, Outcome::Served)),
        Some(worker_id),
        "the lane that becomes free serves the queue"
    );
}

#[test]
fn queued_calls_are_refused_before_their_deadline() {
    let mut harness = Harness::new(settings_with(Effect::Unsafe));
    harness.set_ready_workers(1);
    harness.arrive(1, 9, 0, 300 * MS);
    let actions = harness.advance(300 * MS);
    assert!(actions.contains(&Action::Reject {
        request: RequestId(1),
        retry_after: 0
    }));
}

#[test]
fn an_unsafe_call_that_may_have_run_fails_and_is_not_retried() {
    for outcome in [
        Outcome::Error,
        Outcome::TimedOut,
        Outcome::ConnectionLost,
        Outcome::Cancelled,
    ] {
        let mut harness = Harness::new(settings_with(Effect::Unsafe));
        harness.set_ready_workers(3);
        let worker_id = harness.load_and_send(1, 9, 0);
        let actions = harness.end_attempt(1, 0, worker_id, outcome);
        assert!(
            actions.contains(&Action::Fail {
                request: RequestId(1)
            }),
            "{outcome:?}: {actions:?}"
        );
        assert_eq!(sent_to(&actions), None);
    }
}

#[test]
fn an_unsafe_call_that_never_ran_is_retried() {
    for outcome in [
        Outcome::Rejected,
        Outcome::ConnectFailed,
        Outcome::NotLoaded,
        Outcome::NotSent,
    ] {
        let mut harness = Harness::new(settings_with(Effect::Unsafe));
        harness.set_ready_workers(3);
        let worker_id = harness.load_and_send(1, 9, 0);
        let mut actions = harness.end_attempt(1, 0, worker_id, outcome);
        assert!(
            !actions.contains(&Action::Fail {
                request: RequestId(1)
            }),
            "{outcome:?}"
        );
        if let Some(worker) = requested_load(&actions) {
            actions = harness.end_load(worker, 9, Outcome::Served);
        }
        actions.extend(harness.advance(1_000 * MS));
        assert!(sent_to(&actions).is_some(), "{outcome:?}");
    }
}

#[test]
fn settings_without_classes_are_rejected() {
    let no_classes = Settings {
        classes: Vec::new(),
        ..Settings::default()
    };
    assert!(Router::new(no_classes, 1, Time(0))
        .err()
        .unwrap()
        .to_string()
        .contains("no class"));
}

/// A front end that has stalled receives calls whose time has already run out. They must be answered at once.
#[test]
fn a_call_without_time_left_is_answered_at_once() {
    for effect in [Effect::Safe, Effect::Unsafe] {
        let mut harness = Harness::new(settings_with(effect));
        harness.set_ready_workers(1);
        for (index, budget) in [0, 3 * MS, -5].into_iter().enumerate() {
            let actions = harness.arrive(index as u64, 9, 0, budget);
            let request = RequestId(index as u64);
            assert!(
                actions.contains(&Action::Reject {
                    request,
                    retry_after: 0
                }),
                "{actions:?}"
            );
        }
    }
}

/// The router must still request loads if its index is outside the number of front ends, if that number is very
/// large, and after an empty worker list.
#[test]
fn a_router_works_with_an_index_out_of_range_and_a_huge_number_of_front_ends() {
    for (front_end, front_ends) in [
        (7, 1),
        (usize::MAX, 3),
        (0, 1_000_000),
        (usize::MAX, usize::MAX),
    ] {
        let mut harness = Harness::new(Settings {
            front_end_index: front_end,
            front_ends,
            zone: 99,
            ..settings_with(Effect::Safe)
        });
        harness.worker_list(ListKind::Full, Vec::new());
        harness.arrive(1, 9, 0, 500 * MS);
        harness.worker_list(
            ListKind::Full,
            vec![
                worker(1, WorkerState::Ready, Some(harness.now)),
                worker(2, WorkerState::Ready, None),
            ],
        );
        let mut actions = harness.arrive(2, 9, 0, 30_000 * MS);
        actions.extend(harness.advance(30_000 * MS));
        let load_requested = actions.iter().any(|a| matches!(a, Action::Load { .. }));
        assert!(
            load_requested,
            "front end {front_end} of {front_ends}: {actions:?}"
        );
    }
}

#[test]
fn a_keyed_call_is_retried_only_within_its_group_and_window() {
    for (group, window, late) in [
        (DedupGroup::Zone, 4_000, false),
        (DedupGroup::Cell, 4_000, false),
        (DedupGroup::All, 600, true),
    ] {
        let mut harness = Harness::new(settings_with(Effect::Keyed {
            group,
            window: window * MS,
        }));
        harness.set_ready_workers(4);
        let first = harness.load_and_send(1, 9, 0);
        harness.now = harness.now.plus(if late { 300 * MS } else { 10 * MS });
        let mut actions = harness.end_attempt(1, 0, first, Outcome::ConnectionLost);
        for _ in 0..60 {
            if let Some(worker) = requested_load(&actions) {
                actions = harness.end_load(worker, 9, Outcome::Served);
            }
            if let Some(worker) = sent_to(&actions) {
                assert!(!late, "retried after its window");
                assert!(
                    worker == first || group == DedupGroup::Zone && worker.0 % 2 == first.0 % 2,
                    "{group:?}: {worker:?}"
                );
                break;
            }
            harness.now = harness.now.plus(50 * MS);
            actions = harness.handle(Event::Timer { token: 0 });
        }
        let refused = actions.iter().any(|a| matches!(a, Action::Reject { .. }));
        assert!(
            !refused || group == DedupGroup::All,
            "{group:?}: refused though it may have run"
        );
    }
}

#[test]
fn an_unsafe_call_is_never_cancelled_at_a_silent_worker() {
    for (effect, cancels) in [(Effect::Safe, true), (Effect::Unsafe, false)] {
        let (mut harness, _) = Harness::with_warm_instance(settings_with(effect), 3);
        harness.arrive(2, 9, 0, 5_000 * MS);
        let actions = harness.advance(4_000 * MS);
        assert_eq!(
            actions.iter().any(|a| matches!(a, Action::Cancel { .. })),
            cancels,
            "{effect:?}"
        );
    }
}

#[test]
fn a_call_of_a_disconnected_client_gets_no_answer() {
    let mut harness = Harness::new(settings_with(Effect::Safe));
    harness.set_ready_workers(1);
    harness.arrive(1, 9, 0, 500 * MS);
    harness.handle(Event::ClientLeft {
        request: RequestId(1),
    });
    let actions = harness.advance(1_000 * MS);
    assert!(
        !actions
            .iter()
            .any(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. })),
        "{actions:?}"
    );
}

#[test]
fn extreme_values_do_not_panic() {
    let mut settings = settings_with(Effect::Safe);
    settings.classes[0].objective_per_work = 1e9;
    let mut harness = Harness::new(settings);
    harness.set_ready_workers(2);
    for (i, (budget, hint)) in [(i64::MAX, i64::MAX), (i64::MIN, i64::MIN), (1, 0)]
        .into_iter()
        .enumerate()
    {
        harness.handle(Event::Arrival(Arrival {
            request: RequestId(i as u64),
            function: FunctionId(1),
            class: 99,
            tenant: 99,
            budget,
            work_hint: Some(hint),
            lanes: 0,
            memory_mb: f64::NAN,
            load_time: Some(i64::MAX),
            is_client_retry: true,
        }));
        harness.end_load(WorkerId(1 + i as u64), 1, Outcome::Served);
    }
    harness.end_attempt(77, 3, WorkerId(99), Outcome::Served);
    harness.end_attempt(0, 0, WorkerId(1), Outcome::TimedOut);
    harness.advance(1_000 * MS);
}
