//! A process that stands still for a while: what came meanwhile waits in the kernel, and is answered in its client's time.

use crate::harness::process::GatewayProcess;
use crate::harness::worker::PATIENCE_SLACK_MS;
use crate::harness::*;
use std::time::{Duration, Instant};

#[test]
fn time_counts_from_the_last_byte_of_a_request_that_waited_in_the_kernel() {
    let worker = Worker::plain();
    let mut process = GatewayProcess::start(&configuration_for(&[&worker]));
    // A connection that was answered before, and one that is not accepted yet.
    let mut known = process.warm_client();
    process.suspend();
    let mut fresh = Client::to(process.address);
    let mut short = Client::to(process.address);
    known.send(&call(2).with_timeout_ms(2000).text());
    fresh.send(&call(3).with_timeout_ms(2000).text());
    short.send(&call(4).with_timeout_ms(300).text());
    let sent = Instant::now();
    until("they have waited", || {
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
        "its time was over: {status:?}"
    );
    let calls = worker.commands("fire");
    assert_eq!(calls.len(), 3, "a call whose time was over was sent on");
    for command in &calls[1..] {
        let (given, left) = (command.patience_ms(), 2000 - waited);
        assert!(
            given <= left + PATIENCE_SLACK_MS,
            "told {given} ms where the client had {left} left"
        );
    }
    assert_eq!(process.terminate(), Some(0));
}

#[test]
fn an_answer_that_came_while_the_process_stood_still_is_given() {
    for (safe, suspended_ms) in [(true, 600), (false, 600), (true, 1500), (false, 1500)] {
        // The first call warms the worker; the second is answered when the test says so.
        let (worker, release) = held_back(&['2']);
        let mut process = GatewayProcess::start(&configuration_for(&[&worker]));
        let mut client = process.warm_client();
        let second = call(2).with_timeout_ms(2000);
        client.send(&if safe { second } else { second.once() }.text());
        until("the call is out", || worker.commands("fire").len() == 2);
        process.suspend();
        let suspended = Instant::now();
        release.send(()).unwrap();
        until("it has stood still", || {
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
            "safe: {safe}: sent again though it was answered"
        );
        assert_eq!(process.terminate(), Some(0));
    }
}

#[test]
fn a_request_whose_rest_came_while_the_process_stood_still_is_served() {
    let worker = Worker::plain();
    let mut process = GatewayProcess::start(&configuration_for(&[&worker]));
    let warm = process.warm_client();
    // On a connection that was answered, and on new ones.
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
    // A request may be in the making for 2 s, the first of a connection for 2.3 s.
    until("half of it has been read for long", || {
        began.elapsed() > Duration::from_millis(1300)
    });
    process.suspend();
    clients
        .iter_mut()
        .zip(&texts)
        .for_each(|(client, text)| client.send(&text[60..]));
    until("its time to be whole is over", || {
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
