//! Tests of SIGTERM and SIGHUP at the same time as other events: no accepted call is lost, and changes during the shutdown are
//! applied.

use crate::harness::coordinator::worker_event;
use crate::harness::process::{reserve, GatewayProcess};
use crate::harness::*;
use rustix::process::Signal;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A time after SIGTERM that is longer than the program's shutdown window.
const WINDOW: Duration = Duration::from_millis(900);

/// Sends SIGTERM, and suspends the program from the start to the end of its shutdown window.
fn suspend_through_window(process: &GatewayProcess, meanwhile: impl FnOnce()) {
    process.signal(Signal::TERM);
    let signalled = Instant::now();
    // The program serves this call in the window, after it has handled the signal.
    let mut client = Client::to(process.address);
    client.send(&call(900).text());
    assert_eq!(client.answer_status(), Some(200));
    process.suspend();
    meanwhile();
    until("the window is over", || signalled.elapsed() > WINDOW);
    process.resume();
}

#[test]
fn connections_that_are_queued_at_the_end_of_the_window_are_answered() {
    let worker = Worker::plain();
    let mut process = GatewayProcess::start(&configuration_for(&[&worker]));
    let mut clients = Vec::new();
    suspend_through_window(&process, || {
        // More connections than are accepted in one iteration of the event loop.
        for id in 0..60 {
            let mut client = Client::to(process.address);
            client.send(&call(1000 + id).text());
            clients.push(client);
        }
    });
    let answered = clients
        .iter_mut()
        .filter_map(Client::answer)
        .filter(|a| a.0 == 200)
        .count();
    assert_eq!(answered, 60);
    assert_eq!(process.exit_code(), Some(0));
}

#[test]
fn unread_requests_at_the_end_of_the_window_are_answered() {
    let worker = Worker::plain();
    let mut process = GatewayProcess::start(&configuration_for(&[&worker]));
    let mut idle: Vec<Client> = (0..8).map(|_| Client::to(process.address)).collect();
    for (id, client) in idle.iter_mut().enumerate().take(4) {
        client.send(&call(id as u64).text());
        assert_eq!(client.answer_status(), Some(200));
    }
    let mut half = Client::to(process.address);
    let text = call(500).text();
    half.send(&text[..50]);
    suspend_through_window(&process, || {
        // Four of the connections have been used before, and four are new.
        idle.iter_mut()
            .zip(100..)
            .for_each(|(client, id)| client.send(&call(id).text()));
    });
    half.send(&text[50..]);
    for client in &mut idle {
        assert_eq!(client.answer_status(), Some(200));
    }
    assert!(
        half.answer().is_some(),
        "a request that was partly read at the end of the window is answered"
    );
    assert_eq!(process.exit_code(), Some(0));
}

#[test]
fn signals_before_the_event_loop_runs_are_handled_later() {
    let worker = Worker::plain();
    for signal in [Signal::TERM, Signal::HUP] {
        let configuration = configuration_for(&[&worker]);
        let reserved = reserve();
        let address = reserved.address();
        // The configuration is a FIFO, so that the program waits until the test writes it.
        let path = write_configuration(&configuration, address);
        let text = std::fs::read(&path).unwrap();
        std::fs::remove_file(&path).unwrap();
        rustix::fs::mknodat(
            rustix::fs::CWD,
            &path,
            rustix::fs::FileType::Fifo,
            0o600.into(),
            0,
        )
        .unwrap();
        let mut process = GatewayProcess::spawn(path.clone(), address);
        until("the program handles signals", || process.handles_signals());
        process.signal(signal);
        let write = || {
            std::fs::OpenOptions::new()
                .write(true)
                .open(&path)
                .unwrap()
                .write_all(&text)
                .unwrap()
        };
        write();
        if signal == Signal::HUP {
            // The program has read the configuration, and reads it again on SIGHUP.
            until("the program listens", || {
                TcpStream::connect(address).is_ok()
            });
            write();
            process.signal(Signal::TERM);
        }
        let ended = process.wait();
        assert_eq!(ended.code(), Some(0), "{signal:?}: {ended}");
    }
}

#[test]
fn open_calls_are_answered_and_a_second_signal_changes_nothing() {
    // The worker answers these calls only when the test releases them, one by one.
    let (worker, release) = worker_with_delayed_answers(&['1', '3', '5']);
    let mut process = GatewayProcess::start(&configuration_for(&[&worker]));
    // The worker has two lanes, so the third call waits. Calls of this class are not cancelled and retried when their worker is
    // silent, as it may seem to be on a slow machine.
    let mut open: Vec<Client> = (0..3).map(|_| Client::to(process.address)).collect();
    open.iter_mut()
        .zip([1, 3, 5])
        .for_each(|(client, id)| client.send(&call(id).once().text()));
    until("the worker has a call", || {
        !worker.commands("fire").is_empty()
    });
    process.signal(Signal::TERM);
    let mut during = Client::to(process.address);
    during.send("GET /alive HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(during.answer_status(), Some(200), "in the window");
    process.signal(Signal::TERM);
    process.signal(Signal::INT);
    (0..3).for_each(|_| release.send(()).unwrap());
    let answers: Vec<_> = open
        .iter_mut()
        .map(|client| client.answer_status())
        .collect();
    assert_eq!(process.exit_code(), Some(0));
    // Calls that were sent are served. The waiting call is served too, or on a slow machine refused without being sent.
    for (id, answer) in [1, 3, 5].into_iter().zip(answers) {
        let id = format!("{id:016x}");
        let sent = worker
            .commands("fire")
            .iter()
            .filter(|command| command.id() == id)
            .count();
        assert!(
            answer == Some(200) && sent == 1 || answer == Some(503) && sent == 0,
            "{id}: {answer:?}, {sent}"
        );
    }
    assert!(worker.commands("fire").len() >= 2);
}

#[test]
fn a_shutdown_waits_for_an_open_load() {
    let (release, released) = std::sync::mpsc::channel::<()>();
    let worker = Worker::start(Box::new(move |command| match command.name() {
        "provision" => {
            let _ = released.recv_timeout(Duration::from_secs(5));
            (worker::loaded(command), true)
        }
        "fire" => (served(command), true),
        _ => (Vec::new(), true),
    }));
    let mut process = GatewayProcess::start(&configuration_for(&[&worker]));
    let mut client = Client::to(process.address);
    client.send(&call(1).text());
    until("the worker has the load command", || {
        worker.commands("provision").len() == 1
    });
    process.signal(Signal::TERM);
    let signalled = Instant::now();
    until("the window is over", || signalled.elapsed() > WINDOW);
    release.send(()).unwrap();
    assert_eq!(client.answer_status(), Some(200));
    assert_eq!(process.exit_code(), Some(0));
}

#[test]
fn a_configuration_is_applied_during_the_window() {
    for in_one_turn in [true, false] {
        let (worker, old, new) = (Worker::plain(), Coordinator::start(), Coordinator::start());
        let mut configuration = PlatformConfiguration {
            coordinator: old.address,
            ..configuration_for(&[&worker])
        };
        let mut process = GatewayProcess::start(&configuration);
        let _held = old.next_poll();
        configuration.coordinator = new.address;
        std::fs::write(&process.path, configuration.text(process.address)).unwrap();
        if in_one_turn {
            process.suspend();
            process.signal(Signal::TERM);
            process.signal(Signal::HUP);
            process.resume();
        } else {
            process.signal(Signal::TERM);
            let mut client = Client::to(process.address);
            client.send(&call(1).text());
            assert_eq!(client.answer_status(), Some(200), "in the window");
            process.signal(Signal::HUP);
        }
        let (target, _socket) = new.next_poll();
        assert!(target.contains("follow=1&"), "{target}");
        assert_eq!(process.exit_code(), Some(0));
    }
}

#[test]
fn a_drain_event_during_the_window_is_applied() {
    let (leaves, stays, coordinator) = (Worker::plain(), Worker::plain(), Coordinator::start());
    let configuration = PlatformConfiguration {
        coordinator: coordinator.address,
        ..configuration_for(&[&leaves, &stays])
    };
    let mut process = GatewayProcess::start(&configuration);
    let (_, mut socket) = coordinator.next_poll();
    let event = worker_event(2, "s-0", leaves.address, "Terminating");
    let whole = reply(&event);
    let (first, rest) = whole.split_at(whole.len() / 2);
    // The first half of the reply arrives before SIGTERM, and the rest in the window.
    socket.write_all(first).unwrap();
    process.signal(Signal::TERM);
    socket.write_all(rest).unwrap();
    let (target, _held) = coordinator.next_poll();
    assert!(target.contains("follow=2&"), "{target}");
    for id in 0..12 {
        let mut client = Client::to(process.address);
        client.send(
            &Call {
                function: id,
                ..call(id)
            }
            .text(),
        );
        assert_eq!(client.answer_status(), Some(200));
    }
    assert_eq!(
        (
            leaves.commands("fire").len(),
            leaves.commands("provision").len()
        ),
        (0, 0)
    );
    assert_eq!(stays.commands("fire").len(), 12);
    assert_eq!(process.exit_code(), Some(0));
}

#[test]
fn a_failed_read_of_the_configuration_is_retried() {
    let (worker, old, new) = (Worker::plain(), Coordinator::start(), Coordinator::start());
    let mut configuration = PlatformConfiguration {
        coordinator: old.address,
        ..configuration_for(&[&worker])
    };
    let process = GatewayProcess::start(&configuration);
    let _held = old.next_poll();
    configuration.coordinator = new.address;
    std::fs::write(&process.path, configuration.text(process.address)).unwrap();
    // The program can open no further descriptor.
    process.suspend();
    process.limit_descriptors(0);
    process.signal(Signal::HUP);
    process.resume();
    until("the program has handled the signal", || {
        process.state() == "S"
    });
    let mut client = Client::to(process.address);
    client.send(&call(1).text());
    assert!(TcpStream::connect(process.address).is_ok());
    process.limit_descriptors(256);
    let (target, _socket) = new.next_poll();
    assert!(target.contains("follow=1&"), "{target}");
    assert_eq!(client.answer_status(), Some(200));
}

#[test]
fn after_sigterm_the_program_serves_through_the_window_and_exits() {
    let worker = Worker::plain();
    // The platform sends signals only to front ends that have answered a liveness check.
    let mut process = GatewayProcess::start(&configuration_for(&[&worker]));
    let address = process.address;
    process.signal(Signal::HUP);
    let mut open = Client::to(address);
    open.send(&call(1).text());
    assert_eq!(
        open.answer_status(),
        Some(200),
        "a reload does not close connections"
    );
    let signalled = Instant::now();
    process.signal(Signal::TERM);
    let mut id = 2;
    while signalled.elapsed() < Duration::from_millis(600) {
        open.send(&call(id).text());
        assert_eq!(open.answer_status(), Some(200), "on an open connection");
        let mut new = Client::to(address);
        new.send(&call(id + 1).text());
        assert_eq!(new.answer_status(), Some(200), "on a new connection");
        id += 2;
    }
    assert_eq!(process.exit_code(), Some(0));
    assert!(
        signalled.elapsed() < Duration::from_secs(3),
        "{:?}",
        signalled.elapsed()
    );
}
