//! Detection, probing and trials of suspect workers.

use crate::harness::{
    answer_next_query, harness_with_one_served_call, requested_load, sent_to, settings_with,
    Harness, MS,
};
use tansyrouter::*;

/// After a stall of this process, silent workers must not be taken for unresponsive ones.
#[test]
fn a_stall_of_this_process_makes_no_worker_suspect() {
    let (mut harness, _) = Harness::with_warm_instance(settings_with(Effect::Safe), 2);
    harness.arrive(2, 9, 0, 5_000 * MS);
    harness.now = harness.now.plus(3_000 * MS);
    let actions = harness.handle(Event::Timer { token: 0 });
    assert!(
        !actions.iter().any(|a| matches!(a, Action::Cancel { .. })),
        "{actions:?}"
    );
}

/// One instance may be stuck while its worker answers calls of other functions.
#[test]
fn a_timed_out_instance_is_excluded_and_another_is_loaded() {
    let (mut harness, worker_id) = Harness::with_warm_instance(settings_with(Effect::Safe), 3);
    assert_eq!(
        sent_to(&harness.arrive(2, 9, 0, 3_000 * MS)),
        Some(worker_id)
    );
    let actions = harness.end_attempt(2, 0, worker_id, Outcome::TimedOut);
    assert_eq!(
        sent_to(&actions),
        None,
        "the instance gets no further call at once"
    );
    assert!(
        requested_load(&actions).is_some_and(|w| w != worker_id),
        "{actions:?}"
    );
}

/// Losing many workers at once must not cause a burst of probes. Probes are paced over all suspects, and every
/// suspect is probed in turn.
#[test]
fn probes_of_many_suspects_are_paced() {
    let mut harness = Harness::new(Settings {
        may_probe: true,
        ..settings_with(Effect::Safe)
    });
    harness.set_ready_workers(30);
    let mut lost = std::collections::BTreeSet::new();
    for request in 0..400 {
        if let Some(worker_id) =
            requested_load(&harness.arrive(request, 100 + request, 0, 300 * MS))
        {
            if sent_to(&harness.end_load(worker_id, 100 + request, Outcome::Served)).is_some() {
                harness.end_attempt(request, 0, worker_id, Outcome::ConnectFailed);
                lost.insert(worker_id);
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
        "{} of {} suspects probed",
        all.len(),
        lost.len()
    );
}

#[test]
fn a_trial_call_is_not_cancelled_before_the_usual_answer_time() {
    let (mut harness, worker_id) = harness_with_one_served_call();
    // The worker is silent: its call is cancelled and it gets no further calls.
    assert_eq!(
        sent_to(&harness.arrive(2, 9, 0, 5_000 * MS)),
        Some(worker_id)
    );
    let is_cancelled =
        |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Cancel { .. }));
    assert!(is_cancelled(&harness.advance(3_000 * MS)));
    harness.end_attempt(2, 0, worker_id, Outcome::Cancelled);
    assert_eq!(sent_to(&harness.arrive(3, 9, 0, 400 * MS)), None);
    harness.advance(400 * MS);
    // The process answers: one trial call is sent and left there for as long as an answer takes.
    answer_next_query(&mut harness, worker_id);
    let trial = harness.arrive(4, 9, 0, 5_000 * MS);
    assert_eq!(sent_to(&trial), Some(worker_id));
    assert!(
        !is_cancelled(&harness.advance(100 * MS)),
        "the trial call is cancelled before it could be answered"
    );
    assert_eq!(
        sent_to(&harness.arrive(5, 9, 0, 5_000 * MS)),
        None,
        "only one trial call at a time"
    );
    let next = harness.end_attempt(4, 0, worker_id, Outcome::Served);
    assert_eq!(
        sent_to(&next),
        Some(worker_id),
        "a served trial call clears the worker"
    );
}

#[test]
fn a_suspect_is_cleared_by_an_answer_but_not_after_repeated_connection_loss() {
    let (mut harness, worker_id) = harness_with_one_served_call();
    assert_eq!(
        sent_to(&harness.arrive(2, 9, 0, 5_000 * MS)),
        Some(worker_id)
    );
    assert_eq!(
        sent_to(&harness.end_attempt(2, 0, worker_id, Outcome::ConnectionLost)),
        None
    );
    let began = harness.now;
    let actions = answer_next_query(&mut harness, worker_id);
    assert!(
        harness.now.since(began) <= 60 * MS,
        "queried only after {} us",
        harness.now.since(began)
    );
    assert_eq!(
        sent_to(&actions),
        Some(worker_id),
        "the process answers, so the call is retried there"
    );
    // The connection is lost again: now one call must be served before more are sent.
    harness.end_attempt(2, 1, worker_id, Outcome::ConnectionLost);
    let mut actions = answer_next_query(&mut harness, worker_id);
    actions.extend((20..24).flat_map(|id| harness.arrive(id, 9, 0, 5_000 * MS)));
    let sends = actions
        .iter()
        .filter(|a| matches!(a, Action::Send { .. }))
        .count();
    assert!(
        sends <= 1,
        "{sends} calls sent to a worker that loses every connection"
    );
}

#[test]
fn a_suspect_without_warm_instances_gets_a_trial_load() {
    let (mut harness, worker_id) = harness_with_one_served_call();
    assert_eq!(
        sent_to(&harness.arrive(2, 9, 0, 5_000 * MS)),
        Some(worker_id)
    );
    harness.advance(3_000 * MS);
    harness.end_attempt(2, 0, worker_id, Outcome::Cancelled);
    // Its instances reach their idle timeout while it is suspect; then it answers again.
    harness.advance(20_000 * MS);
    harness.arrive(3, 11, 0, 9_000 * MS);
    let mut actions = answer_next_query(&mut harness, worker_id);
    actions.extend(harness.advance(100 * MS));
    assert_eq!(
        requested_load(&actions),
        Some(worker_id),
        "without a trial load the worker would never get work again"
    );
    assert_eq!(
        sent_to(&harness.end_load(worker_id, 11, Outcome::Served)),
        Some(worker_id)
    );
}
