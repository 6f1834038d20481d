//! A decision: an event in, commands out, at 64 workers and 200 functions, warm, with some calls out.

// The macros of the bench library make functions without documentation.
#![allow(missing_docs)]

mod run;

use criterion::{criterion_group, criterion_main, Criterion};
use run::Run;

fn decision(criterion: &mut Criterion) {
    let mut run = Run::new(200, 64, 4, 1);
    (0..200_000).for_each(|_| run.turn(100));
    let before = (run.next, run.steps);
    criterion.bench_function(
        "a call in and one answered, 64 workers, 200 functions",
        |bencher| {
            bencher.iter(|| run.turn(100));
        },
    );
    let (calls, steps) = (run.next - before.0, run.steps - before.1);
    println!(
        "{:.2} events a call, {}",
        steps as f64 / calls.max(1) as f64,
        run.dispatcher.counters()
    );
}

/// The same with final answers counted by class.
fn counted(criterion: &mut Criterion) {
    let mut run = Run::new(200, 64, 4, 1);
    run.dispatcher.enable_class_counters();
    (0..200_000).for_each(|_| run.turn(100));
    criterion.bench_function("the same, counted by class", |bencher| {
        bencher.iter(|| run.turn(100))
    });
}

criterion_group!(benches, decision, counted);
criterion_main!(benches);
