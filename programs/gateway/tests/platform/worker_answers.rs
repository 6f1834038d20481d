//! What workers answer, or do not: late, twice, cut short, unreadable, or never.

use crate::harness::*;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

#[test]
fn a_spoilt_answer_is_not_served_and_ends_all_that_is_open_on_its_connection() {
    let spoilt: [&[u8]; 4] = [
        b"noise\r\n",
        b"*4\r\n$3000000000\r\nxx",
        b"*4\r\n$16\r\nnot sixteen bytes long\r\n",
        b"*999\r\n",
    ];
    for bytes in spoilt {
        let worker = Worker::start(serving(move |command| match command.id() {
            "0000000000000001" => Some((bytes.to_vec(), true)),
            "0000000000000002" => Some((Vec::new(), true)),
            _ => None,
        }));
        let front_end = FrontEnd::start(&configuration_for(&[&worker]));
        let mut waiting = front_end.connect();
        waiting.send(&call(2).once().text());
        until("one call is out", || worker.commands("fire").len() == 1);
        assert_eq!(front_end.call(&call(1).once()).0, 502, "it may have run");
        assert_eq!(waiting.answer_status(), Some(502), "so may the other");
        until("the connection is spent", || {
            worker.ended.load(Ordering::SeqCst) > 0
        });
        assert_eq!(front_end.call(&call(3)).0, 200);
        let calls = worker.commands("fire");
        assert_eq!(calls.len(), 3, "an unsafe call is sent once");
        assert_ne!(
            calls[2].connection, calls[1].connection,
            "a spent connection is of no further use"
        );
    }
}

#[test]
fn an_answer_that_stops_short_ends_its_connection() {
    let worker = Worker::start(serving(|command| {
        (command.id().ends_with('1')).then(|| (served(command)[..20].to_vec(), true))
    }));
    let front_end = FrontEnd::start(&configuration_for(&[&worker]));
    let began = Instant::now();
    assert_eq!(front_end.call(&call(1).once()).0, 502);
    assert!(
        began.elapsed() < Duration::from_millis(1200),
        "not sat on until the deadline"
    );
    assert_eq!(front_end.call(&call(2)).0, 200);
}

#[test]
fn extra_copies_and_unknown_ids_are_let_go() {
    let worker = Worker::start(serving(|command| {
        let mut answers = array(&["ffffffffffffffff", "200", "n=ready", "whose"]);
        answers.extend(served(command));
        answers.extend(served(command));
        Some((answers, true))
    }));
    let front_end = FrontEnd::start(&configuration_for(&[&worker]));
    for id in 1..=5 {
        assert_eq!(front_end.call(&call(id)), (200, format!("body {id}")));
    }
    assert!(worker
        .commands("fire")
        .iter()
        .all(|command| command.connection == worker.commands("fire")[0].connection));
}

#[test]
fn a_further_attempt_never_shares_a_connection_with_an_earlier_one() {
    let mut tries = 0;
    let worker = Worker::start(serving(move |command| {
        tries += 1;
        // Turned away, and a late copy of that behind it.
        let away = [
            array(&[command.id(), "503", "-", ""]),
            array(&[command.id(), "503", "-", ""]),
        ]
        .concat();
        (tries == 1).then_some((away, true))
    }));
    let front_end = FrontEnd::start(&configuration_for(&[&worker]));
    assert_eq!(
        front_end.call(&call(1).once()),
        (200, "body 1".into()),
        "turned away never ran: it may go again"
    );
    let calls = worker.commands("fire");
    assert_eq!(calls.len(), 2);
    assert_ne!(calls[0].connection, calls[1].connection);
}

#[test]
fn a_refused_connect_never_ran_and_a_cut_one_may_have() {
    let front_end = FrontEnd::start(&configuration_at(&[unused_address()]));
    let refused = call(1).with_timeout_ms(600).once();
    assert_eq!(front_end.call(&refused).0, 503, "trying again is harmless");
    let worker = Worker::start(serving(|_| Some((Vec::new(), false))));
    let front_end = FrontEnd::start(&configuration_for(&[&worker]));
    assert_eq!(front_end.call(&call(2).once()).0, 502, "it may have run");
    assert_eq!(worker.commands("fire").len(), 1);
}

#[test]
fn idle_connections_to_workers_are_closed_before_the_worker_would() {
    let worker = Worker::plain();
    let front_end = FrontEnd::start(&PlatformConfiguration {
        keepalive_s: 0.6,
        ..configuration_for(&[&worker])
    });
    assert_eq!(front_end.call(&call(1)).0, 200);
    let began = Instant::now();
    until("both are closed", || {
        worker.ended.load(Ordering::SeqCst) == 2
    });
    assert!(
        began.elapsed() < Duration::from_millis(600),
        "{:?}",
        began.elapsed()
    );
    assert_eq!(front_end.call(&call(2)).0, 200);
}

#[test]
fn a_connection_gone_silent_takes_nothing_new_and_a_late_answer_is_nobodys() {
    for late in [false, true] {
        let worker = Worker::start(Box::new(move |command| match command.name() {
            // The first connection that brings a call never answers one, but may once it is given up.
            "fire" if command.id().ends_with('1') => (Vec::new(), true),
            "never_mind" if late => (array(&[command.id(), "200", "n=ready", "late"]), true),
            "fire" => (served(command), true),
            "provision" => (worker::loaded(command), true),
            _ => (Vec::new(), true),
        }));
        let front_end = FrontEnd::start(&configuration_for(&[&worker]));
        let silent = call(1).with_timeout_ms(300).once();
        assert_eq!(
            front_end.call(&silent).0,
            504,
            "its time is up, and it may have run"
        );
        until("it is given up", || {
            worker.commands("never_mind").len() == 1
        });
        for id in 2..6 {
            let (status, body) = front_end.call(&call(id));
            assert_eq!((status, body), (200, format!("body {id}")));
        }
        let calls = worker.commands("fire");
        assert!(
            calls[1..]
                .iter()
                .all(|command| command.connection != calls[0].connection),
            "sent on a connection that was silent: {calls:?}"
        );
    }
}
