//! Calls that wait for their function's settings at a dispatcher: each has one end, in its time, and none once its client
//! has left.

mod support;

use support::lookup_scene::{budgets_and_answers, call, known, scene, REFUSED};
use tansy_dispatch::pending_lookups::MAX_WAIT;
use tansy_dispatch::{Answer, Call, CallId, FunctionLookup, Input};
use tansyrouter::{Time, SECOND};

#[test]
fn a_call_that_waited_goes_on_with_what_is_left_of_its_time() {
    let mut scene = scene();
    assert_eq!(
        budgets_and_answers(&scene.call_pending(1, Some(SECOND))),
        (vec![], vec![])
    );
    assert!(
        scene.dispatcher.awaited_functions().eq(["f"])
            && !scene.dispatcher.is_idle()
            && scene.dispatcher.open_calls() == 0
    );
    // 20 ms are kept back for its answer's way.
    assert_eq!(
        budgets_and_answers(&scene.resolve(300_000, known(0))),
        (vec![680_000], vec![])
    );
    assert_eq!(
        (
            scene.dispatcher.pending_calls(),
            scene.dispatcher.open_calls()
        ),
        (0, 1)
    );
    // One that tells no time has its function's class's, less what it waited.
    scene.call_pending(2, None);
    scene.give(0, Input::ClientLeft { call: CallId(1) });
    let commands = scene.resolve(100_000, known(1));
    assert_eq!(budgets_and_answers(&commands).0, [880_000]);
    assert_eq!(scene.dispatcher.class_of(CallId(2)), Some("unsafe"));
    let counters = scene.dispatcher.counters();
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
fn a_call_looked_up_in_time_does_not_wait_and_one_that_names_its_class_keeps_it() {
    let mut scene = scene();
    let commands = scene.give(
        0,
        Input::CallLookedUp {
            call: call(1, "f", Some(SECOND)),
            lookup: known(1),
        },
    );
    assert_eq!(
        (
            budgets_and_answers(&commands).0,
            scene.dispatcher.class_of(CallId(1))
        ),
        (vec![980_000], Some("unsafe"))
    );
    assert!(
        !scene.dispatcher.is_configured("f"),
        "it is looked up each time"
    );
    let named = Call {
        class: Some(0),
        ..call(2, "f", Some(SECOND))
    };
    scene.give(
        0,
        Input::CallLookedUp {
            call: named,
            lookup: known(1),
        },
    );
    assert_eq!(scene.dispatcher.class_of(CallId(2)), Some("safe"));
    // What was learned of it once does not count once it is gone.
    let commands = scene.give(
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
    let commands = scene.give(
        0,
        Input::CallLookedUp {
            call: call(4, "f", None),
            lookup: FunctionLookup::Refused,
        },
    );
    assert_eq!(budgets_and_answers(&commands), (vec![], vec![REFUSED]));
    let counters = scene.dispatcher.counters();
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
fn a_call_that_waits_is_refused_at_its_limit_and_no_later() {
    let mut scene = scene();
    for (id, budget, limit) in [
        (1, Some(10 * SECOND), MAX_WAIT),
        (2, Some(SECOND / 5), 187_500),
        (3, None, MAX_WAIT),
    ] {
        scene.call_pending(id, budget);
        assert!(
            scene
                .dispatcher
                .next_due()
                .is_some_and(|t| t <= Time(scene.now + limit)),
            "{id}"
        );
        assert_eq!(
            budgets_and_answers(&scene.give(limit - 1, Input::Tick)).1,
            []
        );
        assert_eq!(
            budgets_and_answers(&scene.give(1, Input::Tick)).1,
            [REFUSED],
            "{id}"
        );
        assert_eq!(
            budgets_and_answers(&scene.resolve(0, known(0))),
            (vec![], vec![]),
            "{id}"
        );
    }
    // What comes at the limit is too late as well, and one without time does not wait.
    scene.call_pending(4, Some(SECOND));
    assert_eq!(
        budgets_and_answers(&scene.resolve(MAX_WAIT, known(0))),
        (vec![], vec![REFUSED])
    );
    assert_eq!(
        budgets_and_answers(&scene.call_pending(5, Some(0))).1,
        [REFUSED]
    );
    let counters = scene.dispatcher.counters();
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
fn a_client_that_left_a_close_and_an_end_without_a_function_end_a_wait() {
    let mut scene = scene();
    scene.call_pending(1, None);
    assert_eq!(scene.give(10, Input::ClientLeft { call: CallId(1) }), []);
    assert_eq!(
        budgets_and_answers(&scene.resolve(10, known(0))),
        (vec![], vec![])
    );
    scene.call_pending(2, None);
    assert_eq!(
        budgets_and_answers(&scene.resolve(10, FunctionLookup::Unknown)).1,
        [Answer::UnknownFunction]
    );
    scene.call_pending(3, None);
    assert_eq!(
        budgets_and_answers(&scene.resolve(10, FunctionLookup::Pending)).1,
        []
    );
    assert_eq!(
        budgets_and_answers(&scene.resolve(10, FunctionLookup::Refused)).1,
        [REFUSED]
    );
    scene.call_pending(4, None);
    let at_once = Answer::Refused { retry_after: 0 };
    assert_eq!(
        budgets_and_answers(&scene.give(10, Input::Shutdown { grace: SECOND })).1,
        [at_once]
    );
    assert_eq!(
        budgets_and_answers(&scene.call_pending(5, None)).1,
        [at_once]
    );
    assert_eq!(
        budgets_and_answers(&scene.resolve(10, known(0))),
        (vec![], vec![])
    );
    let counters = scene.dispatcher.counters();
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
    assert!(scene.dispatcher.is_idle());
}
