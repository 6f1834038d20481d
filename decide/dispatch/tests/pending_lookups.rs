//! Calls that wait for a lookup at a dispatcher end exactly once and in time, and never after their client left.

mod support;

use support::lookup_fixture::{budgets_and_answers, call, fixture, known, REFUSED};
use tansy_dispatch::pending_lookups::MAX_WAIT;
use tansy_dispatch::{Answer, Call, CallId, FunctionLookup, Input};
use tansyrouter::{Time, SECOND};

#[test]
fn a_call_that_waited_proceeds_with_the_rest_of_its_budget() {
    let mut fixture = fixture();
    assert_eq!(
        budgets_and_answers(&fixture.call_pending(1, Some(SECOND))),
        (vec![], vec![])
    );
    assert!(
        fixture.dispatcher.awaited_functions().eq(["f"])
            && !fixture.dispatcher.is_idle()
            && fixture.dispatcher.open_calls() == 0
    );
    // 20 ms are reserved for delivering the answer.
    assert_eq!(
        budgets_and_answers(&fixture.resolve(300_000, known(0))),
        (vec![680_000], vec![])
    );
    assert_eq!(
        (
            fixture.dispatcher.pending_calls(),
            fixture.dispatcher.open_calls()
        ),
        (0, 1)
    );
    // A call without a budget has the deadline of the class of its function, less its wait.
    fixture.call_pending(2, None);
    fixture.step_after(0, Input::ClientLeft { call: CallId(1) });
    let commands = fixture.resolve(100_000, known(1));
    assert_eq!(budgets_and_answers(&commands).0, [880_000]);
    assert_eq!(fixture.dispatcher.class_of(CallId(2)), Some("unsafe"));
    let counters = fixture.dispatcher.counters();
    assert_eq!(
        (
            counters.accepted,
            counters.abandoned,
            counters.guard_rejections
        ),
        (2, 1, 0)
    );
}

#[test]
fn a_call_with_a_lookup_result_does_not_wait_and_keeps_a_class_that_it_names() {
    let mut fixture = fixture();
    let commands = fixture.step_after(
        0,
        Input::CallLookedUp {
            call: call(1, "f", Some(SECOND)),
            lookup: known(1),
        },
    );
    assert_eq!(
        (
            budgets_and_answers(&commands).0,
            fixture.dispatcher.class_of(CallId(1))
        ),
        (vec![980_000], Some("unsafe"))
    );
    assert!(
        !fixture.dispatcher.is_configured("f"),
        "a function that is looked up is not configured"
    );
    let named = Call {
        class: Some(0),
        ..call(2, "f", Some(SECOND))
    };
    fixture.step_after(
        0,
        Input::CallLookedUp {
            call: named,
            lookup: known(1),
        },
    );
    assert_eq!(fixture.dispatcher.class_of(CallId(2)), Some("safe"));
    // What was learned from earlier calls does not count once the lookup finds no function.
    let commands = fixture.step_after(
        0,
        Input::CallLookedUp {
            call: call(3, "f", None),
            lookup: FunctionLookup::Unknown,
        },
    );
    assert_eq!(
        budgets_and_answers(&commands),
        (vec![], vec![Answer::UnknownFunction])
    );
    let commands = fixture.step_after(
        0,
        Input::CallLookedUp {
            call: call(4, "f", None),
            lookup: FunctionLookup::Refused,
        },
    );
    assert_eq!(budgets_and_answers(&commands), (vec![], vec![REFUSED]));
    let counters = fixture.dispatcher.counters();
    assert_eq!(
        (
            counters.accepted,
            counters.refused,
            counters.conflicting,
            counters.unknown_function
        ),
        (3, 1, 1, 1)
    );
}

#[test]
fn a_waiting_call_is_refused_at_its_longest_wait() {
    let mut fixture = fixture();
    for (id, budget, max_wait) in [
        (1, Some(10 * SECOND), MAX_WAIT),
        (2, Some(SECOND / 5), 187_500),
        (3, None, MAX_WAIT),
    ] {
        fixture.call_pending(id, budget);
        assert!(
            fixture
                .dispatcher
                .next_due()
                .is_some_and(|t| t <= Time(fixture.now + max_wait)),
            "{id}"
        );
        assert_eq!(
            budgets_and_answers(&fixture.step_after(max_wait - 1, Input::Tick)).1,
            []
        );
        assert_eq!(
            budgets_and_answers(&fixture.step_after(1, Input::Tick)).1,
            [REFUSED],
            "{id}"
        );
        assert_eq!(
            budgets_and_answers(&fixture.resolve(0, known(0))),
            (vec![], vec![]),
            "{id}"
        );
    }
    // A result exactly at the longest wait is too late, and a call without budget does not wait.
    fixture.call_pending(4, Some(SECOND));
    assert_eq!(
        budgets_and_answers(&fixture.resolve(MAX_WAIT, known(0))),
        (vec![], vec![REFUSED])
    );
    assert_eq!(
        budgets_and_answers(&fixture.call_pending(5, Some(0))).1,
        [REFUSED]
    );
    let counters = fixture.dispatcher.counters();
    assert_eq!(
        (
            counters.accepted,
            counters.refused,
            counters.conflicting,
            counters.attempts
        ),
        (5, 5, 5, 0)
    );
}

#[test]
fn a_wait_ends_when_the_client_leaves_on_shutdown_and_for_an_unknown_function() {
    let mut fixture = fixture();
    fixture.call_pending(1, None);
    assert_eq!(
        fixture.step_after(10, Input::ClientLeft { call: CallId(1) }),
        []
    );
    assert_eq!(
        budgets_and_answers(&fixture.resolve(10, known(0))),
        (vec![], vec![])
    );
    fixture.call_pending(2, None);
    assert_eq!(
        budgets_and_answers(&fixture.resolve(10, FunctionLookup::Unknown)).1,
        [Answer::UnknownFunction]
    );
    fixture.call_pending(3, None);
    assert_eq!(
        budgets_and_answers(&fixture.resolve(10, FunctionLookup::Pending)).1,
        []
    );
    assert_eq!(
        budgets_and_answers(&fixture.resolve(10, FunctionLookup::Refused)).1,
        [REFUSED]
    );
    fixture.call_pending(4, None);
    let refused_on_shutdown = Answer::Refused { retry_after: 0 };
    assert_eq!(
        budgets_and_answers(&fixture.step_after(10, Input::Shutdown { grace: SECOND })).1,
        [refused_on_shutdown]
    );
    assert_eq!(
        budgets_and_answers(&fixture.call_pending(5, None)).1,
        [refused_on_shutdown]
    );
    assert_eq!(
        budgets_and_answers(&fixture.resolve(10, known(0))),
        (vec![], vec![])
    );
    let counters = fixture.dispatcher.counters();
    assert_eq!(
        (
            counters.accepted,
            counters.abandoned,
            counters.refused,
            counters.conflicting,
            counters.unknown_function
        ),
        (4, 1, 3, 1, 1)
    );
    assert!(fixture.dispatcher.is_idle());
}
