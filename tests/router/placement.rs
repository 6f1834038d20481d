//! Where a function is presumed and loaded.

use crate::harness::{
    one_of_a_hundred, requested_load, sent_to, served_among, settings_with, Harness, MS,
};
use tansyrouter::*;

/// Full size (quiet and i1431d9): by own count a lane is always free, so every front end sends to the one place that
/// all name first. A function with much traffic over all front ends has several homes, begun in an own order.
#[test]
fn a_busy_function_is_spread_over_several_homes_and_front_ends_begin_at_different_ones() {
    let mut firsts = std::collections::BTreeSet::new();
    for front_end in 0..12 {
        let mut harness = Harness::new(Settings {
            front_ends: 100,
            front_end_index: front_end,
            ..settings_with(Effect::Safe)
        });
        harness.ready_workers(10);
        let mut used = std::collections::BTreeSet::new();
        for request in 0..20 {
            let mut actions = harness.arrive(request, 9, 0, 2_000 * MS);
            for _ in 0..8 {
                let load = actions.iter().find_map(|action| match action {
                    Action::Load { worker, .. } => Some(*worker),
                    _ => None,
                });
                if let Some(at) = sent_to(&actions) {
                    used.insert(at);
                    firsts.extend((used.len() == 2).then_some(at));
                    harness.end_attempt(request, 0, at, Outcome::Served);
                }
                let Some(at) = load else { break };
                actions = harness.end_load(at, 9, Outcome::Served);
            }
            harness.advance(500 * MS);
        }
        assert!(used.len() >= 4, "front end {front_end} used {used:?}");
    }
    assert!(firsts.len() >= 4, "all begin at {firsts:?}");
}

/// A release at full size: a hundred front ends with one load each in hand push the store over. The fleet takes few
/// a worker, so a front end's share comes in turns; what siblings had loaded is found by the call itself.
#[test]
fn loads_after_a_release_are_few_over_all_front_ends_and_standing_instances_are_found_by_the_call()
{
    let mut harness = Harness::new(one_of_a_hundred(0));
    harness.ready_workers(10);
    let (mut orders, mut found) = (0, 0);
    for request in 0..40 {
        let actions = harness.arrive(request, 100 + request, 0, 2_000 * MS);
        assert_eq!(
            requested_load(&actions),
            None,
            "loaded before a call found it missing"
        );
        let at = sent_to(&actions).expect("presumed at its home");
        if request % 2 == 0 {
            orders += requested_load(&harness.end_attempt(request, 0, at, Outcome::NotLoaded))
                .is_some() as u32;
        } else {
            found += 1;
            harness.end_attempt(request, 0, at, Outcome::Served);
        }
        harness.advance(50 * MS);
    }
    assert!(
        (1..=2).contains(&orders) && found == 20,
        "{orders} orders, {found} found in 2 s"
    );
}

/// Where a miss would load, a call must not go and see: what siblings had loaded is asked for, at no load.
#[test]
fn where_a_miss_would_load_standing_instances_are_found_by_asking() {
    let mut harness = Harness::new(Settings {
        front_ends: 100,
        ..settings_with(Effect::Safe)
    });
    harness.ready_workers(10);
    let (mut orders, mut asked) = (0, 0);
    for request in 0..40 {
        for action in harness.arrive(request, 100 + request, 0, 2_000 * MS) {
            match action {
                Action::Load {
                    instances: 0,
                    worker,
                    ..
                } => {
                    asked += 1;
                    let found = harness.end_load(worker, 100 + request, Outcome::Served);
                    assert_eq!(sent_to(&found), Some(worker), "a sibling had it loaded");
                    harness.end_attempt(request, 0, worker, Outcome::Served);
                }
                Action::Load { .. } => orders += 1,
                action => panic!("{action:?} before anything is known to stand"),
            }
        }
        harness.advance(50 * MS);
    }
    assert!(
        (1..=2).contains(&orders) && asked > 30,
        "{orders} orders, {asked} asked in 2 s"
    );
}

/// All front ends presume a function at the same place, so that the one that has it loaded is met by all.
#[test]
fn front_ends_presume_a_quiet_function_at_the_same_places() {
    let mut firsts = std::collections::BTreeSet::new();
    for front_end in 0..20 {
        let mut harness = Harness::new(one_of_a_hundred(front_end));
        harness.ready_workers(30);
        firsts.extend(sent_to(&harness.arrive(1, 9, 0, 2_000 * MS)));
    }
    assert!(firsts.len() <= 2, "{firsts:?}");
}

/// A front end that sees few calls of a function learns from the crowd at its place that all send many.
#[test]
fn a_function_goes_to_more_places_as_answers_tell_of_a_crowd_and_not_without() {
    let places = |crowd: u32| {
        let mut harness = Harness::new(one_of_a_hundred(3));
        harness.ready_workers(10);
        let mut used = std::collections::BTreeSet::new();
        for request in 0..30 {
            let at = sent_to(&harness.arrive(request, 9, 0, 2_000 * MS)).expect("presumed");
            used.insert(at);
            served_among(&mut harness, request, at, crowd);
            harness.advance(200 * MS);
        }
        used.len()
    };
    let (quiet, busy) = (places(0), places(20));
    assert!(
        quiet <= 2 && busy >= 6,
        "{quiet} places without a crowd, {busy} with one"
    );
}

/// What found nothing at the presumed places ends as a held call with a load, and never uses its last attempts so.
#[test]
fn a_call_that_misses_is_held_for_a_load_with_attempts_to_spare() {
    let mut harness = Harness::new(one_of_a_hundred(0));
    harness.ready_workers(10);
    // A busy function with many places, all of them unloaded since.
    for request in 10..40 {
        let at = sent_to(&harness.arrive(request, 9, 0, 2_000 * MS)).expect("presumed");
        served_among(&mut harness, request, at, 20);
    }
    harness.advance(15 * SECOND);
    let (mut attempt, mut load) = (0, None);
    let mut actions = harness.arrive(1, 9, 0, 3_000 * MS);
    while let Some(at) = sent_to(&actions) {
        actions = harness.end_attempt(1, attempt, at, Outcome::NotLoaded);
        load = load.or(requested_load(&actions));
        attempt += 1;
    }
    assert!(
        (1..=2).contains(&attempt),
        "{attempt} attempts of four spent on presuming"
    );
    let at = load
        .or_else(|| requested_load(&harness.advance(1_000 * MS)))
        .expect("a load");
    assert_eq!(sent_to(&harness.end_load(at, 9, Outcome::Served)), Some(at));
}
