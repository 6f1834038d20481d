//! Compares the timer wheel with an ordered set: each step clears an earlier timer and sets a new one, as a gateway does.

// The macros of criterion generate functions without documentation.
#![allow(missing_docs)]

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use std::collections::BTreeSet;
use std::hint::black_box;
use tansy_timer_wheel::Wheel;

/// The timeout of a call, 0.2 to 5 s, in microseconds, pseudorandom by `index`.
fn timeout(index: u64) -> i64 {
    200_000 + (index.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) as i64 % 4_800_000
}

fn timers(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("set one, clear one");
    for count in [100u64, 10_000, 1_000_000] {
        group.bench_with_input(
            BenchmarkId::new("wheel", count),
            &count,
            |bencher, count| {
                let mut wheel = Wheel::new(0, 500);
                let mut handles: Vec<_> = (0..*count)
                    .map(|index| wheel.set(timeout(index), index))
                    .collect();
                let mut set_count = 0u64;
                bencher.iter(|| {
                    let index = (set_count % count) as usize;
                    black_box(wheel.clear(handles[index]));
                    handles[index] = wheel.set(timeout(set_count), set_count);
                    set_count += 1;
                });
            },
        );
        group.bench_with_input(
            BenchmarkId::new("ordered set", count),
            &count,
            |bencher, count| {
                let mut keys: Vec<(i64, u64)> =
                    (0..*count).map(|index| (timeout(index), index)).collect();
                let mut set: BTreeSet<(i64, u64)> = keys.iter().copied().collect();
                let mut set_count = 0u64;
                bencher.iter(|| {
                    let index = (set_count % count) as usize;
                    black_box(set.remove(&keys[index]));
                    keys[index] = (timeout(set_count), set_count);
                    set.insert(keys[index]);
                    set_count += 1;
                });
            },
        );
    }
    group.finish();
}

criterion_group!(benches, timers);
criterion_main!(benches);
