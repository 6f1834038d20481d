//! Cost of calls at 64 workers and 200 functions, with loaded instances and 100 attempts in progress.

// The macros of criterion generate functions without documentation.
#![allow(missing_docs)]

mod workload;

use criterion::{criterion_group, criterion_main, Criterion};
use workload::Workload;

fn calls(criterion: &mut Criterion) {
    let mut workload = Workload::new(200, 64, 4, 1);
    (0..200_000).for_each(|_| workload.call_and_answer(100));
    let before = (workload.calls_made, workload.steps);
    criterion.bench_function(
        "one call arrives and one is answered, 64 workers, 200 functions",
        |bencher| {
            bencher.iter(|| workload.call_and_answer(100));
        },
    );
    let (calls, steps) = (workload.calls_made - before.0, workload.steps - before.1);
    println!(
        "{:.2} inputs per call, {}",
        steps as f64 / calls.max(1) as f64,
        workload.dispatcher.counters()
    );
}

/// With class counters enabled.
fn calls_with_class_counters(criterion: &mut Criterion) {
    let mut workload = Workload::new(200, 64, 4, 1);
    workload.dispatcher.enable_class_counters();
    (0..200_000).for_each(|_| workload.call_and_answer(100));
    criterion.bench_function(
        "one call arrives and one is answered, with class counters",
        |bencher| bencher.iter(|| workload.call_and_answer(100)),
    );
}

criterion_group!(benches, calls, calls_with_class_counters);
criterion_main!(benches);
