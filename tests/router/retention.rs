//! What is remembered of functions under a memory limit, while callers name any number of unknown ones.

use crate::harness::{requested_load, sent_to, settings_with, Harness, MS};
use tansyrouter::*;

const WORKERS: u64 = 120;
/// The smallest and the largest memory limit of a front end on the platform, in bytes.
const MEMORY_LIMITS: [u64; 2] = [32_000_000, 192_000_000];
/// Functions that are called now and then, and that workers have.
const USUAL_FUNCTIONS: u64 = 200;
/// The first id of the functions that no worker has.
const FIRST_UNKNOWN: u64 = 1_000_000;
/// Interval of the calls of unknown functions.
const UNKNOWN_CALL_INTERVAL: Micros = MS / 10;
/// Their time, which is less than any attempt takes.
const UNKNOWN_CALL_BUDGET: Micros = 5 * MS;

fn limited(memory_limit: u64) -> Harness {
    let mut harness = Harness::new(Settings {
        memory_limit: Some(memory_limit),
        ..settings_with(Effect::Safe)
    });
    harness.set_ready_workers(WORKERS);
    harness
}

/// Calls functions that no worker has, each once, and answers all their loads and attempts. Returns the largest sizes
/// of the tables.
fn call_unknown_functions(harness: &mut Harness, calls: u64) -> FunctionTableSizes {
    let mut largest = FunctionTableSizes::default();
    for number in 0..calls {
        harness.now = harness.now.plus(UNKNOWN_CALL_INTERVAL);
        let function = FIRST_UNKNOWN + number;
        let actions = harness.arrive(function, function, 0, UNKNOWN_CALL_BUDGET);
        if let Some(worker) = requested_load(&actions) {
            harness.end_load(worker, function, Outcome::Error);
        }
        assert_eq!(sent_to(&actions), None, "no worker has the function");
        if number % 100 == 0 {
            let sizes = harness.router.function_table_sizes();
            largest.functions = largest.functions.max(sizes.functions);
            largest.instances = largest.instances.max(sizes.instances);
            largest.ranked_workers = largest.ranked_workers.max(sizes.ranked_workers);
        }
    }
    largest
}

// Guards against a front end that is killed for memory: callers of ever new functions made state that was kept for 45 s.
#[test]
fn calls_of_unknown_functions_neither_exceed_the_memory_nor_displace_usual_functions() {
    for memory_limit in MEMORY_LIMITS {
        let mut harness = limited(memory_limit);
        for function in 0..USUAL_FUNCTIONS {
            let worker = harness.load_and_send(function, function, 0);
            harness.now = harness.now.plus(10 * MS);
            harness.end_attempt(function, 0, worker, Outcome::Served);
        }
        // For four seconds, in which the workers keep the usual functions loaded.
        let sizes = call_unknown_functions(&mut harness, 40_000);
        // A function takes some 2 KiB, an entry of its order of workers 16 bytes.
        let bytes = 2048 * sizes.functions + 16 * sizes.ranked_workers;
        assert!(
            bytes as u64 <= memory_limit / 4,
            "{sizes:?}, about {bytes} bytes, with a limit of {memory_limit}"
        );
        for function in 0..USUAL_FUNCTIONS {
            let request = USUAL_FUNCTIONS + function;
            let actions = harness.arrive(request, function, 0, 2_000 * MS);
            let worker = sent_to(&actions);
            assert!(
                worker.is_some() && requested_load(&actions).is_none(),
                "the instance of function {function} was forgotten: {actions:?}"
            );
            harness.end_attempt(request, 0, worker.unwrap(), Outcome::Served);
        }
    }
}

#[test]
fn functions_in_use_are_not_forgotten() {
    // Far below what the open calls take.
    let mut harness = limited(1);
    let functions = 300;
    let mut loading = Vec::new();
    for function in 0..functions {
        let actions = harness.arrive(function, function, 0, 60_000 * MS);
        loading.push(requested_load(&actions).expect("a load"));
    }
    call_unknown_functions(&mut harness, 1_000);
    for (function, worker) in (0..functions).zip(loading) {
        let actions = harness.end_load(worker, function, Outcome::Served);
        assert_eq!(sent_to(&actions), Some(worker), "function {function}");
        harness.end_attempt(function, 0, worker, Outcome::Served);
    }
    call_unknown_functions(&mut harness, 1_000);
    let sizes = harness.router.function_table_sizes();
    assert!(
        sizes.functions < functions as usize,
        "{sizes:?} once none of them is in use"
    );
}

#[test]
fn without_a_memory_limit_functions_are_forgotten_by_time_alone() {
    let mut harness = Harness::new(settings_with(Effect::Safe));
    harness.set_ready_workers(WORKERS);
    call_unknown_functions(&mut harness, 10_000);
    assert_eq!(harness.router.function_table_sizes().functions, 10_000);
    // Four idle timeouts of ten seconds, and the next cleanup.
    harness.advance(42 * SECOND);
    assert_eq!(
        harness.router.function_table_sizes(),
        FunctionTableSizes::default()
    );
}
