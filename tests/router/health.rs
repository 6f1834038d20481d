//! Suspect workers and their tests.

use crate::harness::{
    answer_next, requested_load, sent_to, served_once, settings_with, Harness, MS,
};
use tansyrouter::*;

/// Incident i7100b7: after a stall of our own, no worker is blamed for the silence.
#[test]
fn a_stall_of_our_own_blames_no_worker() {
    let (mut harness, _) = Harness::with_warm_instance(settings_with(Effect::Safe), 2);
    harness.arrive(2, 9, 0, 5_000 * MS);
    harness.now = harness.now.plus(3_000 * MS);
    let actions = harness.handle(Event::Timer { token: 0 });
    assert!(
        !actions.iter().any(|a| matches!(a, Action::Cancel { .. })),
        "{actions:?}"
    );
}

/// Incident i808d55: one place keeps silent while its worker answers for other functions.
#[test]
fn a_silent_place_rests_and_another_is_loaded() {
    let (mut harness, at) = Harness::with_warm_instance(settings_with(Effect::Safe), 3);
    assert_eq!(sent_to(&harness.arrive(2, 9, 0, 3_000 * MS)), Some(at));
    let actions = harness.end_attempt(2, 0, at, Outcome::TimedOut);
    assert_eq!(sent_to(&actions), None, "nothing goes back to it at once");
    assert!(
        requested_load(&actions).is_some_and(|w| w != at),
        "{actions:?}"
    );
}

/// A lost zone of many workers: without pacing each suspect costs probes on its own clock. All tests together are
/// paced, and each suspect still gets its turn.
#[test]
fn many_suspects_are_tested_in_turn_and_not_all_at_once() {
    let mut harness = Harness::new(Settings {
        may_probe: true,
        ..settings_with(Effect::Safe)
    });
    harness.ready_workers(30);
    let mut lost = std::collections::BTreeSet::new();
    for request in 0..400 {
        if let Some(at) = requested_load(&harness.arrive(request, 100 + request, 0, 300 * MS)) {
            if sent_to(&harness.end_load(at, 100 + request, Outcome::Served)).is_some() {
                harness.end_attempt(request, 0, at, Outcome::ConnectFailed);
                lost.insert(at);
            }
        }
    }
    assert!(lost.len() > 25, "{} suspects", lost.len());
    let probed = |actions: &[Action]| -> Vec<WorkerId> {
        let probe = |action: &Action| {
            if let Action::Probe { worker } = action {
                Some(*worker)
            } else {
                None
            }
        };
        actions.iter().filter_map(probe).collect()
    };
    harness.advance(1_000 * MS);
    let first = probed(&harness.advance(5_000 * MS));
    assert!(
        (8..=16).contains(&first.len()),
        "{} probes in 5 s",
        first.len()
    );
    let all: std::collections::BTreeSet<WorkerId> =
        probed(&harness.advance(30_000 * MS)).into_iter().collect();
    assert!(
        lost.is_subset(&all),
        "{} of {} tested",
        all.len(),
        lost.len()
    );
}

#[test]
fn a_trial_of_a_suspect_has_the_time_that_an_answer_takes() {
    let (mut harness, at) = served_once();
    // Silence: a call is taken back, and the worker gets no further one.
    assert_eq!(sent_to(&harness.arrive(2, 9, 0, 5_000 * MS)), Some(at));
    let taken_back =
        |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Cancel { .. }));
    assert!(taken_back(&harness.advance(3_000 * MS)));
    harness.end_attempt(2, 0, at, Outcome::Cancelled);
    assert_eq!(sent_to(&harness.arrive(3, 9, 0, 400 * MS)), None);
    harness.advance(400 * MS);
    // Its process answers: one call is tried, and left there for as long as an answer takes.
    answer_next(&mut harness, at);
    let trial = harness.arrive(4, 9, 0, 5_000 * MS);
    assert_eq!(sent_to(&trial), Some(at));
    assert!(
        !taken_back(&harness.advance(100 * MS)),
        "taken back before it could be answered"
    );
    assert_eq!(
        sent_to(&harness.arrive(5, 9, 0, 5_000 * MS)),
        None,
        "one trial at a time"
    );
    let next = harness.end_attempt(4, 0, at, Outcome::Served);
    assert_eq!(
        sent_to(&next),
        Some(at),
        "a trial that was served clears the worker"
    );
}

#[test]
fn a_lost_connection_is_cleared_by_the_next_answer_but_not_twice_in_a_second() {
    let (mut harness, at) = served_once();
    assert_eq!(sent_to(&harness.arrive(2, 9, 0, 5_000 * MS)), Some(at));
    assert_eq!(
        sent_to(&harness.end_attempt(2, 0, at, Outcome::ConnectionLost)),
        None
    );
    let began = harness.now;
    let actions = answer_next(&mut harness, at);
    assert!(
        harness.now.since(began) <= 60 * MS,
        "asked only after {} us",
        harness.now.since(began)
    );
    assert_eq!(
        sent_to(&actions),
        Some(at),
        "its process answers: the call goes there again"
    );
    // Again at once: this time a call has to be served before there is more than one.
    harness.end_attempt(2, 1, at, Outcome::ConnectionLost);
    let mut actions = answer_next(&mut harness, at);
    actions.extend((20..24).flat_map(|id| harness.arrive(id, 9, 0, 5_000 * MS)));
    let sends = actions
        .iter()
        .filter(|a| matches!(a, Action::Send { .. }))
        .count();
    assert!(
        sends <= 1,
        "{sends} sent to one that loses every connection"
    );
}

#[test]
fn a_suspect_that_holds_nothing_warm_is_tried_by_a_load() {
    let (mut harness, at) = served_once();
    assert_eq!(sent_to(&harness.arrive(2, 9, 0, 5_000 * MS)), Some(at));
    harness.advance(3_000 * MS);
    harness.end_attempt(2, 0, at, Outcome::Cancelled);
    // Its instances idle out while it is suspected; then it answers again.
    harness.advance(20_000 * MS);
    harness.arrive(3, 11, 0, 9_000 * MS);
    let mut actions = answer_next(&mut harness, at);
    actions.extend(harness.advance(100 * MS));
    assert_eq!(
        requested_load(&actions),
        Some(at),
        "no load, and so no call, would ever go there"
    );
    assert_eq!(
        sent_to(&harness.end_load(at, 11, Outcome::Served)),
        Some(at)
    );
}
