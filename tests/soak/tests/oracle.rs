//! The oracle finds a violation of each invariant, and none in a correct run.

use std::time::Duration;
use tansy_soak::facts::{ConnectionEnd, Effect, Fact, Signal};
use tansy_soak::oracle::{Invariant, Oracle};

const ID: u64 = 7;
const FRONT_END: usize = 0;
const PROCESS: u64 = 1;
const WORKER: usize = 3;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn request_sent(effect: Effect) -> Fact {
    Fact::RequestSent {
        id: ID,
        front_end: FRONT_END,
        process: PROCESS,
        effect,
        timeout: ms(1000),
        idle_before: false,
    }
}
fn attempt_started(connection: u64, timeout_ms: u64) -> Fact {
    Fact::AttemptStarted {
        id: ID,
        worker: WORKER,
        connection,
        timeout_ms,
        maybe_queued: false,
    }
}
fn attempt_ended(connection: u64, never_ran: bool) -> Fact {
    Fact::AttemptEnded {
        id: ID,
        connection,
        never_ran,
    }
}
fn response(status: u16) -> Fact {
    Fact::ResponseReceived {
        id: ID,
        status,
        body_matches: true,
    }
}
fn signal_sent(signal: Signal) -> Fact {
    Fact::SignalSent {
        front_end: FRONT_END,
        process: PROCESS,
        signal,
    }
}
fn process_exited(code: Option<i32>, last_line: &str) -> Fact {
    Fact::ProcessExited {
        front_end: FRONT_END,
        process: PROCESS,
        code,
        last_line: last_line.into(),
    }
}

/// The invariants, doubtful ones aside, that a run of one process violates. The process starts at 0; facts have their time in
/// milliseconds.
fn found(facts: Vec<(u64, Fact)>) -> Vec<Invariant> {
    let started = Fact::ProcessStarted {
        front_end: FRONT_END,
        process: PROCESS,
    };
    let ready = Fact::ProcessReady {
        front_end: FRONT_END,
        process: PROCESS,
    };
    let mut all = vec![(ms(0), started), (ms(20), ready)];
    all.extend(facts.into_iter().map(|(at, fact)| (ms(at), fact)));
    let oracle = Oracle::evaluate(all);
    oracle
        .violations()
        .iter()
        .filter(|violation| !violation.doubtful)
        .map(|violation| violation.invariant)
        .collect()
}

#[test]
fn a_correct_run_has_no_violation() {
    let facts = vec![
        (100, request_sent(Effect::Unsafe)),
        (101, attempt_started(1, 990)),
        (110, attempt_ended(1, true)),
        (111, attempt_started(2, 980)),
        (150, attempt_ended(2, false)),
        (151, response(200)),
        (900, signal_sent(Signal::Terminate)),
        (
            1700,
            process_exited(Some(0), "account taken=1 guarded=0 open=0 violations=0"),
        ),
    ];
    assert_eq!(found(facts), []);
}

#[test]
fn a_lost_request_is_found_unless_its_process_was_killed() {
    let lost = |end| Fact::ConnectionLost { id: ID, end };
    for end in [ConnectionEnd::Closed, ConnectionEnd::Truncated] {
        assert_eq!(
            found(vec![(100, request_sent(Effect::Safe)), (300, lost(end))]),
            [Invariant::Answered]
        );
    }
    assert_eq!(
        found(vec![
            (100, request_sent(Effect::Safe)),
            (2000, Fact::ResponseTimedOut { id: ID })
        ]),
        [Invariant::Answered]
    );
    let killed = vec![
        (100, request_sent(Effect::Safe)),
        (299, signal_sent(Signal::Kill)),
        (300, lost(ConnectionEnd::Closed)),
        (301, process_exited(None, "")),
    ];
    assert_eq!(found(killed), []);
    // A request that was sent shortly after SIGTERM needs an answer, even if SIGKILL follows.
    let restarted = vec![
        (100, signal_sent(Signal::Terminate)),
        (500, request_sent(Effect::Safe)),
        (3800, signal_sent(Signal::Kill)),
        (3801, lost(ConnectionEnd::Closed)),
        (3802, process_exited(None, "")),
    ];
    assert_eq!(found(restarted), [Invariant::Answered]);
}

#[test]
fn a_late_answer_is_found_unless_the_process_was_stopped() {
    let late = |facts: Vec<(u64, Fact)>| {
        let mut all = vec![(100, request_sent(Effect::Safe))];
        all.extend(facts);
        all.push((1700, response(200)));
        found(all)
    };
    assert_eq!(late(vec![]), [Invariant::InTime]);
    assert_eq!(
        late(vec![
            (200, signal_sent(Signal::Stop)),
            (1650, signal_sent(Signal::Continue))
        ]),
        []
    );
}

#[test]
fn an_answer_with_a_wrong_status_or_body_is_found() {
    assert_eq!(
        found(vec![
            (100, request_sent(Effect::Safe)),
            (120, response(400))
        ]),
        [Invariant::ProperAnswer]
    );
    let other = Fact::ResponseReceived {
        id: ID,
        status: 200,
        body_matches: false,
    };
    assert_eq!(
        found(vec![(100, request_sent(Effect::Safe)), (120, other)]),
        [Invariant::ProperAnswer]
    );
}

#[test]
fn an_unsafe_request_that_runs_twice_is_found() {
    let twice = |effect, never_ran| {
        found(vec![
            (100, request_sent(effect)),
            (101, attempt_started(1, 990)),
            (110, attempt_ended(1, never_ran)),
            (112, attempt_started(2, 980)),
            (120, attempt_ended(2, false)),
            (121, response(200)),
        ])
    };
    assert_eq!(twice(Effect::Unsafe, false), [Invariant::NoEffectTwice]);
    assert_eq!(twice(Effect::Unsafe, true), []);
    assert_eq!(twice(Effect::Safe, false), []);
}

#[test]
fn a_keyed_request_sent_again_after_its_window_is_found() {
    for (again, expected) in [(1100, vec![]), (1300, vec![Invariant::NoEffectTwice])] {
        let facts = vec![
            (100, request_sent(Effect::Keyed)),
            (101, attempt_started(1, 990)),
            (110, attempt_ended(1, false)),
            (again, attempt_started(2, 0)),
            (again + 1, attempt_ended(2, false)),
            (again + 2, response(200)),
        ];
        assert_eq!(found(facts), expected, "{again} ms");
    }
}

#[test]
fn two_attempts_at_once_are_found() {
    let facts = vec![
        (100, request_sent(Effect::Safe)),
        (101, attempt_started(1, 990)),
        (300, attempt_started(2, 790)),
        (500, attempt_ended(1, false)),
        (510, attempt_ended(2, false)),
        (511, response(200)),
    ];
    assert_eq!(found(facts), [Invariant::OneAttempt]);
}

#[test]
fn an_attempt_after_the_client_has_disconnected_is_found() {
    for (at, expected) in [(380, vec![]), (420, vec![Invariant::ClientPresent])] {
        let facts = vec![
            (100, request_sent(Effect::Safe)),
            (300, Fact::ClientDisconnected { id: ID }),
            (at, attempt_started(1, 100)),
        ];
        assert_eq!(found(facts), expected, "{at} ms");
    }
}

#[test]
fn an_attempt_with_too_long_a_timeout_is_found() {
    for (timeout_ms, expected) in [(1040, vec![]), (1060, vec![Invariant::AttemptTimeout])] {
        let facts = vec![
            (100, request_sent(Effect::Safe)),
            (200, attempt_started(1, timeout_ms)),
            (210, attempt_ended(1, false)),
            (211, response(200)),
        ];
        assert_eq!(found(facts), expected, "{timeout_ms} ms");
    }
}

#[test]
fn an_attempt_at_a_worker_known_to_drain_is_found() {
    for (at, expected) in [(1250, vec![]), (1400, vec![Invariant::Drain])] {
        let facts = vec![
            (
                500,
                Fact::WorkerStateChanged {
                    event: 1,
                    worker: WORKER,
                    ready: false,
                },
            ),
            (
                1000,
                Fact::PollReceived {
                    front_end: FRONT_END,
                    process: PROCESS,
                    event: 1,
                },
            ),
            (at - 10, request_sent(Effect::Safe)),
            (at, attempt_started(1, 900)),
            (at + 1, attempt_ended(1, false)),
            (at + 2, response(200)),
        ];
        assert_eq!(found(facts), expected, "{at} ms");
    }
}

#[test]
fn an_event_that_is_never_received_is_found() {
    let listed = Fact::WorkerStateChanged {
        event: 1,
        worker: WORKER,
        ready: false,
    };
    let received = |event| Fact::PollReceived {
        front_end: FRONT_END,
        process: PROCESS,
        event,
    };
    let end = (12_000, Fact::FaultChanged("the end".into()));
    assert_eq!(
        found(vec![(500, listed.clone()), (900, received(0)), end.clone()]),
        [Invariant::ListReceived]
    );
    assert_eq!(
        found(vec![(500, listed.clone()), (900, received(1)), end.clone()]),
        []
    );
    // The time for an event is extended by an outage of the coordinator.
    let (down, up) = (
        Fact::DiscoveryAvailability { answers: false },
        Fact::DiscoveryAvailability { answers: true },
    );
    let outage = vec![
        (400, down),
        (500, listed),
        (6000, up),
        (9000, received(1)),
        end,
    ];
    assert_eq!(found(outage), []);
}

#[test]
fn a_process_that_ends_without_a_signal_or_with_violations_is_found() {
    assert_eq!(
        found(vec![(500, process_exited(Some(1), ""))]),
        [Invariant::Process]
    );
    assert_eq!(
        found(vec![(500, process_exited(Some(0), ""))]),
        [Invariant::Process],
        "exit code 0 without SIGTERM"
    );
    let account = "account taken=1 guarded=0 open=0 violations=2";
    let facts = vec![
        (500, signal_sent(Signal::Terminate)),
        (900, process_exited(Some(0), account)),
    ];
    assert_eq!(found(facts), [Invariant::SelfChecks]);
}

#[test]
fn a_process_that_is_never_ready_is_found() {
    let oracle = Oracle::evaluate(vec![(
        ms(0),
        Fact::ProcessStarted {
            front_end: FRONT_END,
            process: PROCESS,
        },
    )]);
    assert_eq!(
        oracle
            .violations()
            .iter()
            .map(|violation| violation.invariant)
            .collect::<Vec<_>>(),
        [Invariant::Ready]
    );
}

#[test]
fn a_malformed_request_that_is_served_or_left_open_is_found() {
    let malformed = |after, served| Fact::MalformedRequest {
        front_end: FRONT_END,
        process: PROCESS,
        after,
        served,
    };
    assert_eq!(found(vec![(4000, malformed(Some(ms(2400)), false))]), []);
    assert_eq!(
        found(vec![(4000, malformed(Some(ms(10)), true))]),
        [Invariant::Abuse]
    );
    assert_eq!(
        found(vec![(6000, malformed(None, false))]),
        [Invariant::Abuse]
    );
}

#[test]
fn a_violation_while_the_harness_is_delayed_is_reported_as_doubtful() {
    let facts = vec![
        (
            ms(0),
            Fact::ProcessStarted {
                front_end: FRONT_END,
                process: PROCESS,
            },
        ),
        (
            ms(20),
            Fact::ProcessReady {
                front_end: FRONT_END,
                process: PROCESS,
            },
        ),
        (ms(100), request_sent(Effect::Safe)),
        (ms(300), Fact::HarnessDelayed(ms(120))),
        (ms(310), attempt_started(1, 990)),
        (ms(320), attempt_ended(1, false)),
        (ms(330), response(200)),
    ];
    let oracle = Oracle::evaluate(facts);
    let found: Vec<_> = oracle
        .violations()
        .iter()
        .map(|violation| (violation.invariant, violation.doubtful))
        .collect();
    assert_eq!(found, [(Invariant::AttemptTimeout, true)]);
}
