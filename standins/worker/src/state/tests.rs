//! Admission, loading and slow start at given times.

use super::{Admission, CacheStatus, WorkerState};
use crate::profile::{Function, MissPolicy, Profile};

fn profile() -> Profile {
    let function = |name: &str, lanes| Function {
        name: name.into(),
        memory_mb: 400.0,
        lanes,
        load_time: 100,
        default_work: 10,
    };
    Profile {
        name: "w".into(),
        functions: vec![function("a", 1), function("b", 2), function("c", 1)],
        memory_mb: 1000.0,
        idle_timeout: 1000,
        max_concurrent_loads: 1,
        max_waiting_calls: 3,
        miss_policy: MissPolicy::Load,
        cores: 2.0,
        slow_start_from: 0.2,
        slow_start_window: 10_000,
        overload_multiple: 2.0,
        overload_window: 1_000,
    }
}

#[test]
fn calls_wait_in_order_for_a_free_lane() {
    let mut worker = WorkerState::new(profile(), 0, true);
    assert_eq!(
        worker.admit(1, "a", 10, 0),
        Admission::Wait(CacheStatus::StartedLoad)
    );
    assert_eq!(
        worker.admit(2, "a", 10, 5),
        Admission::Wait(CacheStatus::AwaitedLoad)
    );
    assert_eq!(worker.next_timer(), Some(100));
    worker.on_timer(100);
    assert_eq!(worker.take_started(), [1]);
    assert_eq!(
        worker.admit(3, "a", 10, 101),
        Admission::Wait(CacheStatus::Warm)
    );
    worker.finish(1, "a", true, 110);
    assert_eq!(worker.take_started(), [2]);
    worker.finish(3, "a", false, 111);
    worker.finish(2, "a", true, 120);
    assert_eq!(worker.take_started(), [0u64; 0]);
    assert_eq!((worker.loaded("a"), worker.next_timer()), (1, Some(1120)));
    worker.on_timer(1120);
    assert_eq!(worker.loaded("a"), 0);
}

#[test]
fn idle_instances_are_evicted_and_busy_ones_are_not() {
    let mut worker = WorkerState::new(profile(), 0, true);
    assert_eq!(worker.request_load(7, "a", 1, 0), None);
    assert_eq!(worker.request_load(8, "b", 1, 0), None);
    worker.on_timer(100);
    worker.on_timer(200);
    assert_eq!(worker.take_finished_loads(), [(7, 1), (8, 1)]);
    assert_eq!(
        worker.admit(1, "a", 10, 200),
        Admission::Run(CacheStatus::Warm)
    );
    assert_eq!(worker.request_load(9, "c", 1, 201), None);
    assert_eq!((worker.loaded("a"), worker.loaded("b")), (1, 0));
    worker.on_timer(301);
    assert_eq!(
        worker.admit(2, "c", 10, 302),
        Admission::Run(CacheStatus::Warm)
    );
    assert_eq!(worker.admit(3, "b", 10, 303), Admission::Rejected);
}

#[test]
fn a_cold_worker_fails_under_overload_and_a_warm_one_does_not() {
    // 1,000 us into its slow start of 10,000 us the worker has 28% of two cores, 560 us of work in 1,000 us. It fails above twice
    // that, 1,120 us.
    for (work, fails) in [(100, false), (140, true)] {
        let mut worker = WorkerState::new(profile(), 0, false);
        for call in 0..11 {
            worker.admit(call, "a", work, call as i64 * 100);
        }
        assert_eq!(worker.failed_under_overload(), fails, "{work}");
    }
    let mut worker = WorkerState::new(profile(), 0, true);
    for call in 0..11 {
        worker.admit(call, "a", 1_000, call as i64 * 100);
    }
    assert!(!worker.failed_under_overload());
}
