//! SIGTERM and SIGHUP against whatever else is under way: nothing taken is lost, and what comes meanwhile is obeyed.

use crate::harness::coordinator::worker_event;
use crate::harness::process::{reserve, GatewayProcess};
use crate::harness::*;
use rustix::process::Signal;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Longer than new requests come after SIGTERM, and than the program takes them.
const WINDOW: Duration = Duration::from_millis(900);

/// Suspends the program once it has been signalled to end, until its window is over.
fn suspended_through_the_window(process: &GatewayProcess, meanwhile: impl FnOnce()) {
    process.signal(Signal::TERM);
    let signalled = Instant::now();
    // It serves in the window: it has taken the signal up.
    let mut client = Client::to(process.address);
    client.send(&call(900).text());
    assert_eq!(client.answer_status(), Some(200));
    process.suspend();
    meanwhile();
    until("the window is over", || signalled.elapsed() > WINDOW);
    process.resume();
}

#[test]
fn what_waits_to_be_accepted_when_the_window_ends_is_answered() {
    let worker = Worker::plain();
    let mut process = GatewayProcess::start(&configuration_for(&[&worker]));
    let mut clients = Vec::new();
    suspended_through_the_window(&process, || {
        // Far more than are accepted in one turn.
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
fn a_request_in_the_buffer_of_a_connection_that_is_being_closed_is_answered() {
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
    suspended_through_the_window(&process, || {
        // On four that were answered before, and four that never sent a byte.
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
        "a request that was being read when the window ended has its answer"
    );
    assert_eq!(process.exit_code(), Some(0));
}

#[test]
fn signals_before_the_loop_runs_wait_for_it() {
    let worker = Worker::plain();
    for signal in [Signal::TERM, Signal::HUP] {
        let configuration = configuration_for(&[&worker]);
        let reserved = reserve();
        let address = reserved.address();
        // It waits for its configuration until the test writes it.
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
        until("it takes signals up itself", || process.handles_signals());
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
            // It has read the first to its end, and reads it once more.
            until("it listens", || TcpStream::connect(address).is_ok());
            write();
            process.signal(Signal::TERM);
        }
        let ended = process.wait();
        assert_eq!(ended.code(), Some(0), "{signal:?}: {ended}");
    }
}

#[test]
fn calls_that_are_out_or_held_are_answered_and_a_second_signal_changes_nothing() {
    // It answers calls of odd ids only when the test says so, one by one.
    let (worker, release) = held_back(&['1', '3', '5']);
    let mut process = GatewayProcess::start(&configuration_for(&[&worker]));
    // Two lanes: the third is held. Of a class that is not taken back for silence, which a slow machine may look like.
    let mut open: Vec<Client> = (0..3).map(|_| Client::to(process.address)).collect();
    open.iter_mut()
        .zip([1, 3, 5])
        .for_each(|(client, id)| client.send(&call(id).once().text()));
    until("one is out", || !worker.commands("fire").is_empty());
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
    // What was out is served. What was held is, or on a slow machine is refused for the sake of others, and then unsent.
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
fn a_load_that_is_out_is_waited_for() {
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
    until("the load is out", || {
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
fn a_configuration_is_taken_up_in_the_window_and_beside_its_signal() {
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
fn a_drain_that_is_told_in_the_window_is_obeyed() {
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
    // Half of the reply before SIGTERM, the rest in the window.
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
fn a_configuration_that_cannot_be_opened_is_tried_again() {
    let (worker, old, new) = (Worker::plain(), Coordinator::start(), Coordinator::start());
    let mut configuration = PlatformConfiguration {
        coordinator: old.address,
        ..configuration_for(&[&worker])
    };
    let process = GatewayProcess::start(&configuration);
    let _held = old.next_poll();
    configuration.coordinator = new.address;
    std::fs::write(&process.path, configuration.text(process.address)).unwrap();
    // Not one more, as when clients have taken all.
    process.suspend();
    process.limit_descriptors(0);
    process.signal(Signal::HUP);
    process.resume();
    until("it has taken the signal up", || process.state() == "S");
    let mut client = Client::to(process.address);
    client.send(&call(1).text());
    assert!(TcpStream::connect(process.address).is_ok());
    process.limit_descriptors(256);
    let (target, _socket) = new.next_poll();
    assert!(target.contains("follow=1&"), "{target}");
    assert_eq!(client.answer_status(), Some(200));
}

#[test]
fn sigterm_serves_through_the_window_and_ends_well() {
    let worker = Worker::plain();
    // The platform signals no front end that has not answered whether it is alive.
    let mut process = GatewayProcess::start(&configuration_for(&[&worker]));
    let address = process.address;
    process.signal(Signal::HUP);
    let mut open = Client::to(address);
    open.send(&call(1).text());
    assert_eq!(
        open.answer_status(),
        Some(200),
        "a configuration read again ends nothing"
    );
    let signalled = Instant::now();
    process.signal(Signal::TERM);
    let mut id = 2;
    while signalled.elapsed() < Duration::from_millis(600) {
        open.send(&call(id).text());
        assert_eq!(open.answer_status(), Some(200), "on an open connection");
        let mut new = Client::to(address);
        new.send(&call(id + 1).text());
        assert_eq!(new.answer_status(), Some(200), "on a new one");
        id += 2;
    }
    assert_eq!(process.exit_code(), Some(0));
    assert!(
        signalled.elapsed() < Duration::from_secs(3),
        "{:?}",
        signalled.elapsed()
    );
}
