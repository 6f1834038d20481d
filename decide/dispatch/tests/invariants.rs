//! The check at run time counts each rule that does not hold, and nothing else.

use tansy_dispatch::{CallId, InvariantChecker, Violation};
use tansyrouter::{Effect, Group, Micros, Time, SECOND};

const CALL: CallId = CallId(1);
const MS: Micros = 1000;
const WINDOW: Micros = SECOND;

/// A check that watches one call of 2 s, taken at 0.
fn watching(effect: Effect) -> InvariantChecker {
    let mut check = InvariantChecker::default();
    check.on_accepted(CALL, effect, Time(2 * SECOND));
    check
}

fn sent(check: &mut InvariantChecker, at: Micros) -> Vec<Violation> {
    check.on_attempt_sent(Time(at), CALL, "w", SECOND / 2)
}

/// What was counted, without what was not.
fn counted(check: &InvariantChecker) -> Vec<(Violation, u64)> {
    check.counts().filter(|c| c.1 > 0).collect()
}

#[test]
fn a_call_in_good_order_violates_nothing_and_is_let_go_of() {
    let mut check = watching(Effect::Unsafe);
    assert!(sent(&mut check, MS).is_empty());
    check.on_attempt_ended(CALL, true);
    assert!(sent(&mut check, 2 * MS).is_empty());
    assert!(check.on_answered(CALL).is_empty());
    check.on_attempt_ended(CALL, false);
    assert!(check.on_connection_closed(CALL).is_empty());
    assert_eq!((check.total_violations(), check.tracked_calls()), (0, 0));
}

#[test]
fn two_attempts_at_once_are_counted() {
    let mut check = watching(Effect::Safe);
    sent(&mut check, MS);
    assert_eq!(sent(&mut check, 2 * MS), [Violation::TwoAttempts]);
    assert_eq!(counted(&check), [(Violation::TwoAttempts, 1)]);
}

#[test]
fn an_unsafe_call_sent_again_after_it_may_have_run_is_counted() {
    for (effect, expected) in [(Effect::Unsafe, 1), (Effect::Safe, 0)] {
        let mut check = watching(effect);
        sent(&mut check, MS);
        check.on_attempt_ended(CALL, false);
        sent(&mut check, 2 * MS);
        assert_eq!(check.total_violations(), expected, "{effect:?}");
    }
}

#[test]
fn a_keyed_call_sent_again_after_its_window_is_counted() {
    let keyed = Effect::Keyed {
        group: Group::All,
        window: WINDOW,
    };
    for (at, expected) in [
        (MS + WINDOW - 1, vec![]),
        (MS + WINDOW, vec![Violation::RepeatedLate]),
    ] {
        let mut check = watching(keyed);
        sent(&mut check, MS);
        // The window runs from the moment the first attempt left, not from its end.
        check.on_attempt_ended(CALL, false);
        assert_eq!(sent(&mut check, at), expected);
    }
}

#[test]
fn an_attempt_after_the_calls_end_is_counted() {
    let mut check = watching(Effect::Safe);
    check.on_answered(CALL);
    assert_eq!(
        sent(&mut check, MS),
        [Violation::SentAfterEnd],
        "answered, and forgotten"
    );
    let mut check = watching(Effect::Safe);
    sent(&mut check, MS);
    check.on_client_left(Time(2 * MS), CALL);
    assert_eq!(check.tracked_calls(), 1, "its attempt is out");
    assert!(
        !sent(&mut check, 50 * MS).contains(&Violation::SentAfterEnd),
        "within the slack"
    );
    assert!(sent(&mut check, 103 * MS).contains(&Violation::SentAfterEnd));
}

#[test]
fn work_for_a_worker_that_drains_is_counted_until_it_is_ready_again() {
    let mut check = watching(Effect::Safe);
    check.on_worker_state("w", false);
    assert_eq!(sent(&mut check, MS), [Violation::SentToDrained]);
    assert_eq!(check.on_load_sent("w"), [Violation::LoadedAtDrained]);
    assert!(check.on_load_sent("another").is_empty());
    check.on_worker_state("w", true);
    assert!(check.on_load_sent("w").is_empty());
    assert_eq!(check.total_violations(), 2);
}

#[test]
fn a_worker_given_more_time_than_the_client_has_is_counted() {
    let left = SECOND;
    for (patience, expected) in [
        (left + 150 * MS, vec![]),
        (left + 151 * MS, vec![Violation::PatienceTooLong]),
    ] {
        let mut check = watching(Effect::Safe);
        assert_eq!(
            check.on_attempt_sent(Time(SECOND), CALL, "w", patience),
            expected
        );
    }
}

#[test]
fn a_second_answer_and_a_close_without_one_are_counted() {
    let mut check = watching(Effect::Safe);
    sent(&mut check, MS);
    assert_eq!(
        check.on_connection_closed(CALL),
        [Violation::ClosedUnanswered]
    );
    assert!(check.on_answered(CALL).is_empty());
    assert!(check.on_connection_closed(CALL).is_empty());
    assert_eq!(
        check.on_answered(CALL),
        [Violation::AnsweredTwice],
        "its attempt is still out"
    );
    check.on_attempt_ended(CALL, false);
    assert_eq!(
        check.on_answered(CALL),
        [Violation::AnsweredTwice],
        "it is forgotten"
    );
    assert_eq!(check.total_violations(), 3);
}

#[test]
fn watched_calls_are_bounded_by_open_calls() {
    let mut check = InvariantChecker::default();
    for id in 0..10_000 {
        let call = CallId(id);
        check.on_accepted(call, Effect::Safe, Time(SECOND));
        check.on_attempt_sent(Time(0), call, "w", 0);
        if id % 2 == 0 {
            check.on_answered(call);
            check.on_attempt_ended(call, false);
        } else {
            check.on_client_left(Time(1), call);
            check.on_attempt_ended(call, true);
        }
    }
    assert_eq!((check.tracked_calls(), check.total_violations()), (0, 0));
}
