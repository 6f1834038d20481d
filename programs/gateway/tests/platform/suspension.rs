//! Tests of a suspended process: requests and answers that arrive meanwhile wait in the kernel, and are handled before the
//! clients' deadlines.

use crate::harness::process::GatewayProcess;
use crate::harness::worker::PATIENCE_SLACK_MS;
use crate::harness::*;
use std::time::{Duration, Instant};

#[test]
fn the_timeout_of_a_request_includes_its_time_in_the_kernel() {
    let worker = Worker::plain();
    let mut process = GatewayProcess::start(&configuration_for(&[&worker]));
    // One connection has been used before, and two are not accepted yet.
    let mut known = process.warm_client();
    process.suspend();
    let mut fresh = Client::to(process.address);
    let mut short = Client::to(process.address);
    known.send(&call(2).with_timeout_ms(2000).text());
    fresh.send(&call(3).with_timeout_ms(2000).text());
    short.send(&call(4).with_timeout_ms(300).text());
    let sent = Instant::now();
    until("the requests have waited", || {
        sent.elapsed() > Duration::from_millis(900)
    });
    let waited = sent.elapsed().as_millis() as u64;
    process.resume();
    for client in [&mut known, &mut fresh] {
        assert_eq!(client.answer_status(), Some(200));
    }
    let status = short.answer_status();
    assert!(
        matches!(status, Some(503 | 504)),
        "the deadline had passed: {status:?}"
    );
    let calls = worker.commands("fire");
    assert_eq!(calls.len(), 3, "a call was sent after its deadline");
    for command in &calls[1..] {
        let (given, left) = (command.patience_ms(), 2000 - waited);
        assert!(
            given <= left + PATIENCE_SLACK_MS,
            "the worker was given {given} ms with {left} ms left"
        );
    }
    assert_eq!(process.terminate(), Some(0));
}

#[test]
fn an_answer_that_arrives_during_a_suspension_is_returned() {
    for (safe, suspended_ms) in [(true, 600), (false, 600), (true, 1500), (false, 1500)] {
        // The first call loads the function; the second is answered when the test releases it.
        let (worker, release) = worker_with_delayed_answers(&['2']);
        let mut process = GatewayProcess::start(&configuration_for(&[&worker]));
        let mut client = process.warm_client();
        let second = call(2).with_timeout_ms(2000);
        client.send(&if safe { second } else { second.once() }.text());
        until("the worker has the call", || {
            worker.commands("fire").len() == 2
        });
        process.suspend();
        let suspended = Instant::now();
        release.send(()).unwrap();
        until("the suspension has lasted long enough", || {
            suspended.elapsed() > Duration::from_millis(suspended_ms)
        });
        process.resume();
        let answer = client.answer();
        assert_eq!(
            answer,
            Some((200, "body 2".into())),
            "safe: {safe}, {suspended_ms} ms"
        );
        assert_eq!(
            worker.commands("fire").len(),
            2,
            "safe: {safe}: retried although it had been answered"
        );
        assert_eq!(process.terminate(), Some(0));
    }
}

#[test]
fn a_request_that_is_completed_during_a_suspension_is_served() {
    let worker = Worker::plain();
    let mut process = GatewayProcess::start(&configuration_for(&[&worker]));
    let warm = process.warm_client();
    // One connection has been used before, and the others are new.
    let mut clients = vec![warm];
    clients.extend((0..6).map(|_| Client::to(process.address)));
    let began = Instant::now();
    let texts: Vec<String> = (2..)
        .map(|id| call(id).with_timeout_ms(2000).text())
        .take(7)
        .collect();
    clients
        .iter_mut()
        .zip(&texts)
        .for_each(|(client, text)| client.send(&text[..60]));
    // The timeout for reading a request is 2 s, and 2.3 s for the first request of a connection.
    until("the first halves have been read", || {
        began.elapsed() > Duration::from_millis(1300)
    });
    process.suspend();
    clients
        .iter_mut()
        .zip(&texts)
        .for_each(|(client, text)| client.send(&text[60..]));
    until("the timeout for reading a request has passed", || {
        began.elapsed() > Duration::from_millis(2500)
    });
    process.resume();
    let answers: Vec<_> = clients
        .iter_mut()
        .map(|client| client.answer_status())
        .collect();
    assert_eq!(answers, [Some(200); 7]);
    assert_eq!(process.terminate(), Some(0));
}
