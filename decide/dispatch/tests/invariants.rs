//! The invariant checker counts each violation, and nothing else.

use tansy_dispatch::{CallId, InvariantChecker, Violation};
use tansyrouter::{DedupGroup, Effect, Micros, Time, SECOND};

const CALL: CallId = CallId(1);
const MS: Micros = 1000;
const WINDOW: Micros = SECOND;

/// A checker that tracks one call, accepted at time 0 with a deadline of 2 s.
fn checker_for(effect: Effect) -> InvariantChecker {
    let mut checker = InvariantChecker::default();
    checker.on_accepted(CALL, effect, Time(2 * SECOND));
    checker
}

fn sent(checker: &mut InvariantChecker, at: Micros) -> Vec<Violation> {
    checker.on_attempt_sent(Time(at), CALL, "w", SECOND / 2)
}

/// The nonzero counts.
fn nonzero_counts(checker: &InvariantChecker) -> Vec<(Violation, u64)> {
    checker.counts().filter(|c| c.1 > 0).collect()
}

#[test]
fn a_valid_call_violates_nothing_and_is_removed() {
    let mut checker = checker_for(Effect::Unsafe);
    assert!(sent(&mut checker, MS).is_empty());
    checker.on_attempt_ended(CALL, true);
    assert!(sent(&mut checker, 2 * MS).is_empty());
    assert!(checker.on_answered(CALL).is_empty());
    checker.on_attempt_ended(CALL, false);
    assert!(checker.on_connection_closed(CALL).is_empty());
    assert_eq!(
        (checker.total_violations(), checker.tracked_calls()),
        (0, 0)
    );
}

#[test]
fn concurrent_attempts_are_counted() {
    let mut checker = checker_for(Effect::Safe);
    sent(&mut checker, MS);
    assert_eq!(sent(&mut checker, 2 * MS), [Violation::TwoAttempts]);
    assert_eq!(nonzero_counts(&checker), [(Violation::TwoAttempts, 1)]);
}

#[test]
fn a_retry_of_an_unsafe_call_that_may_have_run_is_counted() {
    for (effect, expected) in [(Effect::Unsafe, 1), (Effect::Safe, 0)] {
        let mut checker = checker_for(effect);
        sent(&mut checker, MS);
        checker.on_attempt_ended(CALL, false);
        sent(&mut checker, 2 * MS);
        assert_eq!(checker.total_violations(), expected, "{effect:?}");
    }
}

#[test]
fn a_retry_of_a_keyed_call_after_its_window_is_counted() {
    let keyed = Effect::Keyed {
        group: DedupGroup::All,
        window: WINDOW,
    };
    for (at, expected) in [
        (MS + WINDOW - 1, vec![]),
        (MS + WINDOW, vec![Violation::RepeatedLate]),
    ] {
        let mut checker = checker_for(keyed);
        sent(&mut checker, MS);
        // The window starts when the first attempt is sent, not when it ends.
        checker.on_attempt_ended(CALL, false);
        assert_eq!(sent(&mut checker, at), expected);
    }
}

#[test]
fn an_attempt_after_the_end_of_its_call_is_counted() {
    let mut checker = checker_for(Effect::Safe);
    checker.on_answered(CALL);
    assert_eq!(
        sent(&mut checker, MS),
        [Violation::SentAfterEnd],
        "answered and removed"
    );
    let mut checker = checker_for(Effect::Safe);
    sent(&mut checker, MS);
    checker.on_client_left(Time(2 * MS), CALL);
    assert_eq!(checker.tracked_calls(), 1, "its attempt is in progress");
    assert!(
        !sent(&mut checker, 50 * MS).contains(&Violation::SentAfterEnd),
        "within the slack"
    );
    assert!(sent(&mut checker, 103 * MS).contains(&Violation::SentAfterEnd));
}

#[test]
fn work_for_a_draining_worker_is_counted_until_it_is_ready_again() {
    let mut checker = checker_for(Effect::Safe);
    checker.on_worker_state("w", false);
    assert_eq!(sent(&mut checker, MS), [Violation::SentToDrained]);
    assert_eq!(checker.on_load_sent("w"), [Violation::LoadedAtDrained]);
    assert!(checker.on_load_sent("another").is_empty());
    checker.on_worker_state("w", true);
    assert!(checker.on_load_sent("w").is_empty());
    assert_eq!(checker.total_violations(), 2);
}

#[test]
fn a_budget_beyond_the_deadline_of_the_client_is_counted() {
    let left = SECOND;
    for (budget, expected) in [
        (left + 150 * MS, vec![]),
        (left + 151 * MS, vec![Violation::PatienceTooLong]),
    ] {
        let mut checker = checker_for(Effect::Safe);
        assert_eq!(
            checker.on_attempt_sent(Time(SECOND), CALL, "w", budget),
            expected
        );
    }
}

#[test]
fn a_second_answer_and_a_close_without_an_answer_are_counted() {
    let mut checker = checker_for(Effect::Safe);
    sent(&mut checker, MS);
    assert_eq!(
        checker.on_connection_closed(CALL),
        [Violation::ClosedUnanswered]
    );
    assert!(checker.on_answered(CALL).is_empty());
    assert!(checker.on_connection_closed(CALL).is_empty());
    assert_eq!(
        checker.on_answered(CALL),
        [Violation::AnsweredTwice],
        "its attempt is still in progress"
    );
    checker.on_attempt_ended(CALL, false);
    assert_eq!(
        checker.on_answered(CALL),
        [Violation::AnsweredTwice],
        "it was removed"
    );
    assert_eq!(checker.total_violations(), 3);
}

#[test]
fn calls_are_removed_once_they_end() {
    let mut checker = InvariantChecker::default();
    for id in 0..10_000 {
        let call = CallId(id);
        checker.on_accepted(call, Effect::Safe, Time(SECOND));
        checker.on_attempt_sent(Time(0), call, "w", 0);
        if id % 2 == 0 {
            checker.on_answered(call);
            checker.on_attempt_ended(call, false);
        } else {
            checker.on_client_left(Time(1), call);
            checker.on_attempt_ended(call, true);
        }
    }
    assert_eq!(
        (checker.tracked_calls(), checker.total_violations()),
        (0, 0)
    );
}
