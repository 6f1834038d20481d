//! The oracle finds each planted violation, and nothing in a run in good order.

use std::time::Duration;
use tansy_soak::facts::{ConnectionEnd, Effect, Fact, Signal};
use tansy_soak::oracle::{Invariant, Oracle};

const ID: u64 = 7;
const PLACE: usize = 0;
const PROCESS: u64 = 1;
const WORKER: usize = 3;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn sent(effect: Effect) -> Fact {
    Fact::Sent {
        id: ID,
        place: PLACE,
        process: PROCESS,
        effect,
        timeout: ms(1000),
        idle_before: false,
    }
}
fn began(connection: u64, patience_ms: u64) -> Fact {
    Fact::Began {
        id: ID,
        worker: WORKER,
        connection,
        patience_ms,
        waited: false,
    }
}
fn ended(connection: u64, never_ran: bool) -> Fact {
    Fact::Ended {
        id: ID,
        connection,
        never_ran,
    }
}
fn answered(status: u16) -> Fact {
    Fact::Answered {
        id: ID,
        status,
        own_body: true,
    }
}
fn signalled(signal: Signal) -> Fact {
    Fact::Signalled {
        place: PLACE,
        process: PROCESS,
        signal,
    }
}
fn exited(code: Option<i32>, account: &str) -> Fact {
    Fact::Exited {
        place: PLACE,
        process: PROCESS,
        code,
        account: account.into(),
    }
}

/// What the oracle finds in a run of one process, started at 0, with these facts at these milliseconds.
fn found(facts: Vec<(u64, Fact)>) -> Vec<Invariant> {
    let started = Fact::Started {
        place: PLACE,
        process: PROCESS,
    };
    let ready = Fact::Ready {
        place: PLACE,
        process: PROCESS,
    };
    let mut all = vec![(ms(0), started), (ms(20), ready)];
    all.extend(facts.into_iter().map(|(at, fact)| (ms(at), fact)));
    let oracle = Oracle::judge(all);
    oracle
        .violations()
        .iter()
        .filter(|v| !v.doubtful)
        .map(|v| v.invariant)
        .collect()
}

#[test]
fn a_run_in_good_order_has_no_violation() {
    let facts = vec![
        (100, sent(Effect::Unsafe)),
        (101, began(1, 990)),
        (110, ended(1, true)),
        (111, began(2, 980)),
        (150, ended(2, false)),
        (151, answered(200)),
        (900, signalled(Signal::Terminate)),
        (
            1700,
            exited(Some(0), "account taken=1 guarded=0 open=0 violations=0"),
        ),
    ];
    assert_eq!(found(facts), []);
}

#[test]
fn a_lost_request_is_found_unless_its_process_was_killed() {
    let dropped = |how| Fact::Dropped { id: ID, how };
    for how in [ConnectionEnd::Closed, ConnectionEnd::HalfAnswer] {
        assert_eq!(
            found(vec![(100, sent(Effect::Safe)), (300, dropped(how))]),
            [Invariant::Answered]
        );
    }
    assert_eq!(
        found(vec![
            (100, sent(Effect::Safe)),
            (2000, Fact::Unanswered { id: ID })
        ]),
        [Invariant::Answered]
    );
    let killed = vec![
        (100, sent(Effect::Safe)),
        (299, signalled(Signal::Kill)),
        (300, dropped(ConnectionEnd::Closed)),
        (301, exited(None, "")),
    ];
    assert_eq!(found(killed), []);
    // What was sent in the window of a planned restart is owed, also if SIGKILL comes at its end.
    let restarted = vec![
        (100, signalled(Signal::Terminate)),
        (500, sent(Effect::Safe)),
        (3800, signalled(Signal::Kill)),
        (3801, dropped(ConnectionEnd::Closed)),
        (3802, exited(None, "")),
    ];
    assert_eq!(found(restarted), [Invariant::Answered]);
}

#[test]
fn a_late_answer_is_found_unless_the_process_stood_still() {
    let late = |facts: Vec<(u64, Fact)>| {
        let mut all = vec![(100, sent(Effect::Safe))];
        all.extend(facts);
        all.push((1700, answered(200)));
        found(all)
    };
    assert_eq!(late(vec![]), [Invariant::InTime]);
    assert_eq!(
        late(vec![
            (200, signalled(Signal::Stop)),
            (1650, signalled(Signal::Continue))
        ]),
        []
    );
}

#[test]
fn an_improper_answer_is_found() {
    assert_eq!(
        found(vec![(100, sent(Effect::Safe)), (120, answered(400))]),
        [Invariant::ProperAnswer]
    );
    let other = Fact::Answered {
        id: ID,
        status: 200,
        own_body: false,
    };
    assert_eq!(
        found(vec![(100, sent(Effect::Safe)), (120, other)]),
        [Invariant::ProperAnswer]
    );
}

#[test]
fn an_unsafe_request_that_runs_twice_is_found() {
    let twice = |effect, never_ran| {
        found(vec![
            (100, sent(effect)),
            (101, began(1, 990)),
            (110, ended(1, never_ran)),
            (112, began(2, 980)),
            (120, ended(2, false)),
            (121, answered(200)),
        ])
    };
    assert_eq!(twice(Effect::Unsafe, false), [Invariant::NoEffectTwice]);
    assert_eq!(twice(Effect::Unsafe, true), []);
    assert_eq!(twice(Effect::Safe, false), []);
}

#[test]
fn a_keyed_request_sent_again_after_its_window_is_found() {
    for (again, wanted) in [(1100, vec![]), (1300, vec![Invariant::NoEffectTwice])] {
        let facts = vec![
            (100, sent(Effect::Keyed)),
            (101, began(1, 990)),
            (110, ended(1, false)),
            (again, began(2, 0)),
            (again + 1, ended(2, false)),
            (again + 2, answered(200)),
        ];
        assert_eq!(found(facts), wanted, "{again} ms");
    }
}

#[test]
fn two_attempts_at_once_are_found() {
    let facts = vec![
        (100, sent(Effect::Safe)),
        (101, began(1, 990)),
        (300, began(2, 790)),
        (500, ended(1, false)),
        (510, ended(2, false)),
        (511, answered(200)),
    ];
    assert_eq!(found(facts), [Invariant::OneAttempt]);
}

#[test]
fn an_attempt_for_a_client_that_has_gone_is_found() {
    for (at, wanted) in [(380, vec![]), (420, vec![Invariant::ClientThere])] {
        let gone = vec![
            (100, sent(Effect::Safe)),
            (300, Fact::Left { id: ID }),
            (at, began(1, 100)),
        ];
        assert_eq!(found(gone), wanted, "{at} ms");
    }
}

#[test]
fn a_worker_told_too_much_is_found() {
    for (patience, wanted) in [(1040, vec![]), (1060, vec![Invariant::Patience])] {
        let told = vec![
            (100, sent(Effect::Safe)),
            (200, began(1, patience)),
            (210, ended(1, false)),
            (211, answered(200)),
        ];
        assert_eq!(found(told), wanted, "{patience} ms");
    }
}

#[test]
fn work_for_a_worker_known_to_drain_is_found() {
    for (at, wanted) in [(1250, vec![]), (1400, vec![Invariant::Drain])] {
        let facts = vec![
            (
                500,
                Fact::Listed {
                    event: 1,
                    worker: WORKER,
                    ready: false,
                },
            ),
            (
                1000,
                Fact::Polled {
                    place: PLACE,
                    process: PROCESS,
                    event: 1,
                },
            ),
            (at - 10, sent(Effect::Safe)),
            (at, began(1, 900)),
            (at + 1, ended(1, false)),
            (at + 2, answered(200)),
        ];
        assert_eq!(found(facts), wanted, "{at} ms");
    }
}

#[test]
fn an_event_that_is_never_heard_is_found() {
    let listed = Fact::Listed {
        event: 1,
        worker: WORKER,
        ready: false,
    };
    let heard = |event| Fact::Polled {
        place: PLACE,
        process: PROCESS,
        event,
    };
    let end = (12_000, Fact::Trouble("the end".into()));
    assert_eq!(
        found(vec![(500, listed.clone()), (900, heard(0)), end.clone()]),
        [Invariant::ListHeard]
    );
    assert_eq!(
        found(vec![(500, listed.clone()), (900, heard(1)), end.clone()]),
        []
    );
    // While the coordinator answers nothing, nothing can be heard.
    let (down, up) = (
        Fact::Discovery { answers: false },
        Fact::Discovery { answers: true },
    );
    let outage = vec![
        (400, down),
        (500, listed),
        (6000, up),
        (9000, heard(1)),
        end,
    ];
    assert_eq!(found(outage), []);
}

#[test]
fn a_process_that_ends_by_itself_or_in_disorder_is_found() {
    assert_eq!(
        found(vec![(500, exited(Some(1), ""))]),
        [Invariant::Process]
    );
    assert_eq!(
        found(vec![(500, exited(Some(0), ""))]),
        [Invariant::Process],
        "nobody asked it to"
    );
    let own = "account taken=1 guarded=0 open=0 violations=2";
    let facts = vec![
        (500, signalled(Signal::Terminate)),
        (900, exited(Some(0), own)),
    ];
    assert_eq!(found(facts), [Invariant::OwnChecks]);
}

#[test]
fn one_that_is_never_ready_is_found() {
    let oracle = Oracle::judge(vec![(
        ms(0),
        Fact::Started {
            place: PLACE,
            process: PROCESS,
        },
    )]);
    assert_eq!(
        oracle
            .violations()
            .iter()
            .map(|v| v.invariant)
            .collect::<Vec<_>>(),
        [Invariant::Ready]
    );
}

#[test]
fn a_client_that_sends_no_request_and_is_served_or_left_open_is_found() {
    let abused = |after, served| Fact::Abused {
        place: PLACE,
        process: PROCESS,
        after,
        served,
    };
    assert_eq!(found(vec![(4000, abused(Some(ms(2400)), false))]), []);
    assert_eq!(
        found(vec![(4000, abused(Some(ms(10)), true))]),
        [Invariant::Abuse]
    );
    assert_eq!(found(vec![(6000, abused(None, false))]), [Invariant::Abuse]);
}

#[test]
fn what_is_seen_while_the_harness_runs_late_is_doubtful_and_still_told() {
    let facts = vec![
        (
            ms(0),
            Fact::Started {
                place: PLACE,
                process: PROCESS,
            },
        ),
        (
            ms(20),
            Fact::Ready {
                place: PLACE,
                process: PROCESS,
            },
        ),
        (ms(100), sent(Effect::Safe)),
        (ms(300), Fact::HarnessLate(ms(120))),
        (ms(310), began(1, 990)),
        (ms(320), ended(1, false)),
        (ms(330), answered(200)),
    ];
    let oracle = Oracle::judge(facts);
    let told: Vec<_> = oracle
        .violations()
        .iter()
        .map(|v| (v.invariant, v.doubtful))
        .collect();
    assert_eq!(told, [(Invariant::Patience, true)]);
}
