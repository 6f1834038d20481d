//! Which waiting call gives way when another client needs what it holds.

use crate::harness::{requested_load, sent_to, settings_with, Harness, MS};
use tansyrouter::*;

const CONFIRMED: u64 = 9;
const LOADING: u64 = 20;
const UNTRIED: u64 = 30;
const FAILED: u64 = 40;
const BUDGET: Micros = 4_000 * MS;

/// Asks the router for capacity. Returns the request that it refuses.
fn shed(harness: &mut Harness, only_unlikely: bool) -> Option<u64> {
    let actions = harness.handle(Event::CapacityNeeded { only_unlikely });
    let refused = actions.iter().filter_map(|action| match action {
        Action::Shed { request } => Some(request.0),
        _ => None,
    });
    let refused: Vec<u64> = refused.collect();
    assert!(refused.len() <= 1, "{actions:?}");
    refused.first().copied()
}

/// A router with one worker that has one lane of a function, which is in use.
fn busy_harness() -> Harness {
    let (mut harness, worker) = Harness::with_warm_instance(settings_with(Effect::Safe), 1);
    let actions = harness.arrive(2, CONFIRMED, 0, BUDGET);
    assert_eq!(sent_to(&actions), Some(worker));
    harness
}

#[test]
fn calls_of_functions_that_workers_have_give_way_last() {
    let mut harness = busy_harness();
    harness.arrive(10, CONFIRMED, 0, BUDGET);
    let worker = requested_load(&harness.arrive(40, FAILED, 0, BUDGET)).expect("a load");
    harness.end_load(worker, FAILED, Outcome::Error);
    harness.now = harness.now.plus(60 * MS);
    let loading = harness.arrive(20, LOADING, 0, BUDGET);
    let loading = requested_load(&loading).or_else(|| requested_load(&harness.advance(60 * MS)));
    assert!(loading.is_some(), "a load of {LOADING}");
    harness.arrive(30, UNTRIED, 0, BUDGET);
    assert_eq!(shed(&mut harness, true), Some(40));
    assert_eq!(shed(&mut harness, true), Some(30));
    assert_eq!(
        shed(&mut harness, true),
        None,
        "the others may soon be served"
    );
    assert_eq!(shed(&mut harness, false), Some(20));
    assert_eq!(shed(&mut harness, false), Some(10));
    assert_eq!(
        shed(&mut harness, false),
        None,
        "the call at the worker stays"
    );
}

#[test]
fn the_call_that_would_be_served_last_gives_way() {
    let mut harness = busy_harness();
    for request in 10..20 {
        harness.now = harness.now.plus(MS);
        harness.arrive(request, CONFIRMED, 0, BUDGET);
    }
    for request in (10..20).rev() {
        assert_eq!(shed(&mut harness, false), Some(request));
    }
}

#[test]
fn a_call_that_was_sent_on_stays_while_it_waits_for_another_attempt() {
    let mut harness = Harness::new(Settings {
        front_ends: 2,
        miss_policy: MissPolicy::Miss,
        ..settings_with(Effect::Safe)
    });
    harness.set_ready_workers(2);
    harness.miss_until_load(1, CONFIRMED);
    assert_eq!(shed(&mut harness, false), None);
}

#[test]
fn a_served_function_is_confirmed_although_a_load_of_it_failed() {
    let mut harness = Harness::new(settings_with(Effect::Safe));
    harness.set_ready_workers(1);
    let worker = requested_load(&harness.arrive(1, CONFIRMED, 0, BUDGET)).expect("a load");
    harness.end_load(worker, CONFIRMED, Outcome::Error);
    let again = requested_load(&harness.advance(1_000 * MS)).expect("another load");
    let actions = harness.end_load(again, CONFIRMED, Outcome::Served);
    assert_eq!(sent_to(&actions), Some(again));
    harness.arrive(2, CONFIRMED, 0, BUDGET);
    assert_eq!(shed(&mut harness, true), None);
    assert_eq!(shed(&mut harness, false), Some(2));
}

#[test]
fn every_waiting_call_gives_way_once() {
    let mut harness = Harness::new(settings_with(Effect::Safe));
    harness.set_ready_workers(3);
    let calls = 5_000;
    for request in 0..calls {
        harness.arrive(request, 1_000 + request % 700, 0, BUDGET);
    }
    let mut refused: Vec<u64> = std::iter::from_fn(|| shed(&mut harness, false)).collect();
    refused.sort();
    assert_eq!(refused, (0..calls).collect::<Vec<_>>());
    assert!(harness.advance(100 * MS).iter().all(|action| {
        !matches!(
            action,
            Action::Send { .. } | Action::Reject { .. } | Action::Fail { .. }
        )
    }));
}
