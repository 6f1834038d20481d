//! Tests of polls of the coordinator: truncated and stalled replies, and a change of the coordinator.

use crate::harness::configuration::workers_in_state;
use crate::harness::*;
use std::io::Write;
use tansy_test_support::platform_configuration::WorkerState;

#[test]
fn a_truncated_or_stalled_poll_is_retried_from_the_last_complete_event() {
    let (worker, coordinator) = (Worker::plain(), Coordinator::start());
    let configuration = PlatformConfiguration {
        coordinator: coordinator.address,
        ..configuration_for(&[&worker])
    };
    let front_end = FrontEnd::start(&configuration);
    let (target, mut socket) = coordinator.next_poll();
    assert!(
        target.starts_with("/v2/stream?follow=1&wait_ms="),
        "{target}"
    );
    // The reply is truncated in the middle of an event.
    let gone = format!(
        r#"{{"index":2,"updates":[{{"index":2,"endpoints":{{"full":false,"servers":[{}]}}}}]}}"#,
        workers_in_state(&configuration, WorkerState::Gone)
    );
    let whole = reply(&gone);
    socket.write_all(&whole[..whole.len() - 5]).unwrap();
    socket.shutdown(std::net::Shutdown::Both).unwrap();
    let (target, mut stalled) = coordinator.next_poll();
    assert!(target.contains("follow=1&"), "{target}");
    // The reply stalls in the middle of an event.
    stalled.write_all(&whole[..whole.len() / 2]).unwrap();
    let (target, mut socket) = coordinator.next_poll();
    assert!(target.contains("follow=1&"), "{target}");
    assert_eq!(
        front_end.call(&call(1)).0,
        200,
        "an incomplete event is not applied"
    );
    socket.write_all(&whole).unwrap();
    let (target, _socket) = coordinator.next_poll();
    assert!(target.contains("follow=2&"), "{target}");
    let calls = worker.commands("fire").len();
    assert_eq!(
        front_end.call(&call(2).with_timeout_ms(300)).0,
        503,
        "the only worker is gone"
    );
    assert_eq!(worker.commands("fire").len(), calls);
}

#[test]
fn a_new_configuration_moves_the_poll_and_an_invalid_one_changes_nothing() {
    let (worker, old, new) = (Worker::plain(), Coordinator::start(), Coordinator::start());
    let mut configuration = PlatformConfiguration {
        coordinator: old.address,
        ..configuration_for(&[&worker])
    };
    let front_end = FrontEnd::start(&configuration);
    let (_, mut socket) = old.next_poll();
    socket
        .write_all(&reply(r#"{"index":5,"updates":[]}"#))
        .unwrap();
    let (target, _held) = old.next_poll();
    assert!(target.contains("follow=5&"), "{target}");
    configuration.coordinator = new.address;
    let text = configuration.text(ANY_PORT);
    std::fs::write(&front_end.path, &text[..text.len() / 2]).unwrap();
    front_end.reload();
    assert_eq!(front_end.call(&call(1)).0, 200);
    assert!(
        new.polls.try_recv().is_err(),
        "an incomplete file was applied"
    );
    std::fs::write(&front_end.path, &text).unwrap();
    front_end.reload();
    let (target, _socket) = new.next_poll();
    assert!(target.contains("follow=5&"), "the index is kept: {target}");
    assert_eq!(front_end.call(&call(2)).0, 200);
}
