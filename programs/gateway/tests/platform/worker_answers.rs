//! Tests of irregular answers of workers: late, duplicate, truncated, malformed or missing ones.

use crate::harness::manual::{ManualFrontEnd, ManualWorker};
use crate::harness::*;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

#[test]
fn a_malformed_answer_fails_all_calls_on_its_connection() {
    let malformed: [&[u8]; 4] = [
        b"noise\r\n",
        b"*4\r\n$3000000000\r\nxx",
        b"*4\r\n$16\r\nnot sixteen bytes long\r\n",
        b"*999\r\n",
    ];
    for bytes in malformed {
        let worker = Worker::start(serving(move |command| match command.id() {
            "0000000000000001" => Some((bytes.to_vec(), true)),
            "0000000000000002" => Some((Vec::new(), true)),
            _ => None,
        }));
        let front_end = FrontEnd::start(&configuration_for(&[&worker]));
        let mut waiting = front_end.connect();
        waiting.send(&call(2).once().text());
        until("the worker has a call", || {
            worker.commands("fire").len() == 1
        });
        assert_eq!(
            front_end.call(&call(1).once()).0,
            502,
            "the call may have run"
        );
        assert_eq!(
            waiting.answer_status(),
            Some(502),
            "the other call may have run too"
        );
        until("the connection is closed", || {
            worker.ended.load(Ordering::SeqCst) > 0
        });
        assert_eq!(front_end.call(&call(3)).0, 200);
        let calls = worker.commands("fire");
        assert_eq!(calls.len(), 3, "an unsafe call is sent once");
        assert_ne!(
            calls[2].connection, calls[1].connection,
            "the connection is not used again"
        );
    }
}

/// Changes the stated number of strings of an encoded array.
fn with_array_length(mut array: Vec<u8>, length: u8) -> Vec<u8> {
    array[1] = b'0' + length;
    array
}

// Guards against a 200 whose body no worker made: an answer with fewer strings than the protocol's four was served.
#[test]
fn an_answer_with_a_short_array_length_is_not_served() {
    for length in 1..4 {
        let mut attempts = 0;
        let worker = Worker::start(serving(move |command| {
            let is_spoilt = match command.id() {
                "0000000000000001" => true,
                "0000000000000002" => {
                    attempts += 1;
                    attempts == 1
                }
                _ => false,
            };
            is_spoilt.then(|| (with_array_length(served(command), length), true))
        }));
        let front_end = FrontEnd::start(&configuration_for(&[&worker]));
        assert_eq!(
            front_end.call(&call(1).once()),
            (502, String::new()),
            "length {length}: the call has run, and what came of it cannot be read"
        );
        assert_eq!(
            front_end.call(&call(2)),
            (200, "body 2".into()),
            "length {length}: a safe call is sent again"
        );
        assert_eq!(front_end.call(&call(3)), (200, "body 3".into()));
        let calls = worker.commands("fire");
        let ids: Vec<&str> = calls.iter().map(|call| call.id()).collect();
        assert_eq!(
            ids,
            [
                "0000000000000001",
                "0000000000000002",
                "0000000000000002",
                "0000000000000003"
            ],
            "length {length}: an unsafe call is sent once"
        );
        assert!(
            calls[0].connection != calls[1].connection
                && calls[1].connection != calls[2].connection,
            "length {length}: a connection with a spoilt answer is not used again: {calls:?}"
        );
    }
}

#[test]
fn a_truncated_answer_ends_its_connection() {
    let worker = Worker::start(serving(|command| {
        (command.id().ends_with('1')).then(|| (served(command)[..20].to_vec(), true))
    }));
    let front_end = FrontEnd::start(&configuration_for(&[&worker]));
    let began = Instant::now();
    assert_eq!(front_end.call(&call(1).once()).0, 502);
    assert!(
        began.elapsed() < Duration::from_millis(1200),
        "the call fails before its deadline"
    );
    assert_eq!(front_end.call(&call(2)).0, 200);
}

#[test]
fn duplicate_answers_and_unknown_ids_are_ignored() {
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
fn a_retry_does_not_share_a_connection_with_an_earlier_attempt() {
    let mut attempts = 0;
    let worker = Worker::start(serving(move |command| {
        attempts += 1;
        // A rejection, followed by a duplicate of it.
        let rejection = [
            array(&[command.id(), "503", "-", ""]),
            array(&[command.id(), "503", "-", ""]),
        ]
        .concat();
        (attempts == 1).then_some((rejection, true))
    }));
    let front_end = FrontEnd::start(&configuration_for(&[&worker]));
    assert_eq!(
        front_end.call(&call(1).once()),
        (200, "body 1".into()),
        "a rejected attempt has not run, so it may be retried"
    );
    let calls = worker.commands("fire");
    assert_eq!(calls.len(), 2);
    assert_ne!(calls[0].connection, calls[1].connection);
}

#[test]
fn a_call_may_have_run_if_its_connection_is_cut_but_not_if_it_is_refused() {
    let front_end = FrontEnd::start(&configuration_at(&[unused_address()]));
    let refused = call(1).with_timeout_ms(600).once();
    assert_eq!(front_end.call(&refused).0, 503, "the call may be retried");
    let worker = Worker::start(serving(|_| Some((Vec::new(), false))));
    let front_end = FrontEnd::start(&configuration_for(&[&worker]));
    assert_eq!(
        front_end.call(&call(2).once()).0,
        502,
        "the call may have run"
    );
    assert_eq!(worker.commands("fire").len(), 1);
}

#[test]
fn idle_connections_to_workers_are_closed_before_the_keepalive_time() {
    let worker = Worker::plain();
    let front_end = FrontEnd::start(&PlatformConfiguration {
        keepalive_s: 0.6,
        ..configuration_for(&[&worker])
    });
    assert_eq!(front_end.call(&call(1)).0, 200);
    let began = Instant::now();
    until("both connections are closed", || {
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
fn a_silent_connection_is_not_used_again_and_late_answers_are_ignored() {
    for late in [false, true] {
        let worker = Worker::start(Box::new(move |command| match command.name() {
            // This call is not answered, except in the variant in which its cancellation is.
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
            "the deadline has passed, and the call may have run"
        );
        until("the attempt is cancelled", || {
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
            "a call was sent on the silent connection: {calls:?}"
        );
    }
}

// Guards against a worker that is never used again: `alive` was taken for an unknown word, and so for an error.
#[test]
fn a_suspect_that_answers_its_probe_is_used_again() {
    let mut worker = ManualWorker::start();
    let configuration = configuration_at(&[worker.address]).text(ANY_PORT);
    let with_probes = configuration.replace(r#""cancel":true"#, r#""cancel":true,"probes":true"#);
    let mut front_end = ManualFrontEnd::with_text(&with_probes);
    let mut first = front_end.send(&call(1));
    let attempt = front_end.next_command(&mut worker, "fire");
    worker.serve(&attempt);
    assert_eq!(front_end.answer(&mut first), 200);
    let mut second = front_end.send(&call(2));
    let lost = front_end.next_command(&mut worker, "fire");
    worker.reset(lost.connection);
    let probe = front_end.next_command(&mut worker, "there");
    worker.write(probe.connection, &array(&[probe.id(), "alive", "-", ""]));
    let again = front_end.next_command(&mut worker, "fire");
    assert_eq!(again.id(), lost.id());
    worker.serve(&again);
    assert_eq!(front_end.answer(&mut second), 200);
}
