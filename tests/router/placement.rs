//! Where a function is presumed to be loaded and where it is loaded.

use crate::harness::{
    one_of_100_front_ends, requested_load, sent_to, serve_with_concurrency, settings_with, Harness,
    MS,
};
use tansyrouter::*;

/// With many front ends, each alone sees few calls and always finds a free lane, so all would send to the same
/// preferred worker. A function with much traffic over all front ends must be spread over several workers, and front
/// ends must not all add workers in the same order.
#[test]
fn a_busy_function_is_spread_over_workers_in_a_different_order_at_each_front_end() {
    let mut first_choices = std::collections::BTreeSet::new();
    for front_end in 0..12 {
        let mut harness = Harness::new(Settings {
            front_ends: 100,
            front_end_index: front_end,
            ..settings_with(Effect::Safe)
        });
        harness.set_ready_workers(10);
        let mut used = std::collections::BTreeSet::new();
        for request in 0..20 {
            let mut actions = harness.arrive(request, 9, 0, 2_000 * MS);
            for _ in 0..8 {
                let load = actions.iter().find_map(|action| match action {
                    Action::Load { worker, .. } => Some(*worker),
                    _ => None,
                });
                if let Some(worker_id) = sent_to(&actions) {
                    used.insert(worker_id);
                    first_choices.extend((used.len() == 2).then_some(worker_id));
                    harness.end_attempt(request, 0, worker_id, Outcome::Served);
                }
                let Some(worker_id) = load else { break };
                actions = harness.end_load(worker_id, 9, Outcome::Served);
            }
            harness.advance(500 * MS);
        }
        assert!(used.len() >= 4, "front end {front_end} used {used:?}");
    }
    assert!(
        first_choices.len() >= 4,
        "all front ends add {first_choices:?} second"
    );
}

/// After a release of many functions, loads by many front ends must not overload the function store: loads in
/// progress are limited over all front ends. Instances that other front ends have loaded are found by sending calls.
#[test]
fn loads_after_a_release_are_limited_and_loaded_instances_are_found_by_calls() {
    let mut harness = Harness::new(one_of_100_front_ends(0));
    harness.set_ready_workers(10);
    let (mut loads, mut found) = (0, 0);
    for request in 0..40 {
        let actions = harness.arrive(request, 100 + request, 0, 2_000 * MS);
        assert_eq!(
            requested_load(&actions),
            None,
            "a load is requested before a call found the function missing"
        );
        let worker_id = sent_to(&actions).expect("sent to a presumed instance");
        if request % 2 == 0 {
            loads += requested_load(&harness.end_attempt(request, 0, worker_id, Outcome::NotLoaded))
                .is_some() as u32;
        } else {
            found += 1;
            harness.end_attempt(request, 0, worker_id, Outcome::Served);
        }
        harness.advance(50 * MS);
    }
    assert!(
        (1..=2).contains(&loads) && found == 20,
        "{loads} loads requested, {found} instances found in 2 s"
    );
}

/// Where a miss loads the function, a call must not be sent to find out whether an instance exists. Instances of
/// other front ends are found by queries, without loads.
#[test]
fn loaded_instances_are_found_by_queries_where_a_miss_would_load() {
    let mut harness = Harness::new(Settings {
        front_ends: 100,
        ..settings_with(Effect::Safe)
    });
    harness.set_ready_workers(10);
    let (mut loads, mut queries) = (0, 0);
    for request in 0..40 {
        for action in harness.arrive(request, 100 + request, 0, 2_000 * MS) {
            match action {
                Action::Load {
                    instances: 0,
                    worker,
                    ..
                } => {
                    queries += 1;
                    let found = harness.end_load(worker, 100 + request, Outcome::Served);
                    assert_eq!(
                        sent_to(&found),
                        Some(worker),
                        "another front end has it loaded"
                    );
                    harness.end_attempt(request, 0, worker, Outcome::Served);
                }
                Action::Load { .. } => loads += 1,
                action => panic!("{action:?} before any instance is known"),
            }
        }
        harness.advance(50 * MS);
    }
    assert!(
        (1..=2).contains(&loads) && queries > 30,
        "{loads} loads requested, {queries} queries in 2 s"
    );
}

/// Front ends must presume a function at the same workers, so that they share its instance.
#[test]
fn front_ends_presume_a_function_at_the_same_workers() {
    let mut first_choices = std::collections::BTreeSet::new();
    for front_end in 0..20 {
        let mut harness = Harness::new(one_of_100_front_ends(front_end));
        harness.set_ready_workers(30);
        first_choices.extend(sent_to(&harness.arrive(1, 9, 0, 2_000 * MS)));
    }
    assert!(first_choices.len() <= 2, "{first_choices:?}");
}

/// The concurrency in answers shows a front end with few calls of its own that a function is busy over all front
/// ends.
#[test]
fn a_function_is_spread_over_more_workers_only_if_answers_report_concurrency() {
    let workers_used = |concurrency: u32| {
        let mut harness = Harness::new(one_of_100_front_ends(3));
        harness.set_ready_workers(10);
        let mut used = std::collections::BTreeSet::new();
        for request in 0..30 {
            let worker_id = sent_to(&harness.arrive(request, 9, 0, 2_000 * MS))
                .expect("sent to a presumed instance");
            used.insert(worker_id);
            serve_with_concurrency(&mut harness, request, worker_id, concurrency);
            harness.advance(200 * MS);
        }
        used.len()
    };
    let (quiet, busy) = (workers_used(0), workers_used(20));
    assert!(
        quiet <= 2 && busy >= 6,
        "{quiet} workers without reported concurrency, {busy} with it"
    );
}

/// A call that misses at presumed instances must not spend its last attempts on them, but wait for a load.
#[test]
fn a_call_that_misses_waits_for_a_load_with_attempts_left() {
    let mut harness = Harness::new(one_of_100_front_ends(0));
    harness.set_ready_workers(10);
    // A busy function with instances at many workers, all of which have since reached their idle timeout.
    for request in 10..40 {
        let worker_id = sent_to(&harness.arrive(request, 9, 0, 2_000 * MS))
            .expect("sent to a presumed instance");
        serve_with_concurrency(&mut harness, request, worker_id, 20);
    }
    harness.advance(15 * SECOND);
    let (mut attempt, mut load) = (0, None);
    let mut actions = harness.arrive(1, 9, 0, 3_000 * MS);
    while let Some(worker_id) = sent_to(&actions) {
        actions = harness.end_attempt(1, attempt, worker_id, Outcome::NotLoaded);
        load = load.or(requested_load(&actions));
        attempt += 1;
    }
    assert!(
        (1..=2).contains(&attempt),
        "{attempt} of four attempts spent on presumed instances"
    );
    let worker_id = load
        .or_else(|| requested_load(&harness.advance(1_000 * MS)))
        .expect("a load request");
    assert_eq!(
        sent_to(&harness.end_load(worker_id, 9, Outcome::Served)),
        Some(worker_id)
    );
}
