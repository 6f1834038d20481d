//! How often workers whose loads leave no instance are reported to the operator.

use tansy_dispatch::load_failures::LoadFailures;
use tansy_dispatch::{AttemptOutcome, ResponseStage};
use tansyrouter::{FunctionId, Time, WorkerId};

#[test]
fn a_failing_worker_is_reported_at_once_and_then_every_ten_seconds() {
    let outcome = AttemptOutcome::Status {
        code: 12,
        stage: ResponseStage::Headers,
    };
    let worker = WorkerId(7);
    let mut workers = LoadFailures::default();
    let fail = |workers: &mut LoadFailures, micros: i64| {
        workers
            .on_failed_load(Time(micros), worker, FunctionId(3), outcome)
            .map(|failure| failure.failed_loads)
    };
    let mut reports = Vec::new();
    for ms in (0..25_000).step_by(100) {
        reports.extend(fail(&mut workers, ms * 1000).map(|loads| (ms, loads)));
    }
    assert_eq!(reports, [(0, 1), (10_000, 101), (20_000, 201)]);
    let listed: Vec<_> = workers
        .iter()
        .map(|(worker, failure)| (worker, failure.failed_loads))
        .collect();
    assert_eq!(listed, [(worker, 250)]);
    workers.on_successful_load(worker);
    assert_eq!(workers.iter().count(), 0);
    assert_eq!(
        fail(&mut workers, 25_000_000),
        None,
        "within the report interval"
    );
    assert_eq!(fail(&mut workers, 30_000_000), Some(2));
    workers.remove_worker(worker);
    assert_eq!(fail(&mut workers, 30_000_001), Some(1));
}

#[test]
fn workers_are_reported_independently() {
    let mut workers = LoadFailures::default();
    let outcome = AttemptOutcome::ConnectRefused;
    for id in 0..5 {
        let worker = WorkerId(id);
        assert!(workers
            .on_failed_load(Time(0), worker, FunctionId(1), outcome)
            .is_some());
        assert!(workers
            .on_failed_load(Time(1), worker, FunctionId(2), outcome)
            .is_none());
    }
}
