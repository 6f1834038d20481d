//! SIGTERM and SIGHUP against whatever else is under way: nothing taken is lost, and what is told meanwhile is obeyed.

use crate::process::{reserve, Program};
use crate::stage::*;
use rustix::process::Signal;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Longer than new requests come after SIGTERM, and than the program takes them.
const WINDOW: Duration = Duration::from_millis(900);

fn plain() -> Worker {
    Worker::start(serving(|_| None))
}

/// A worker that answers calls of odd ids only when the test says so, one by one.
fn patient() -> (Worker, std::sync::mpsc::Sender<()>) {
    let (go, wait) = std::sync::mpsc::channel::<()>();
    let worker = Worker::start(serving(move |c| {
        if c.words[1].ends_with(['1', '3', '5']) {
            let _ = wait.recv_timeout(Duration::from_secs(5));
        }
        None
    }));
    (worker, go)
}

/// Halts the program once it has been told to end, until its window is over.
fn halted_through_the_window(program: &Program, meanwhile: impl FnOnce()) {
    program.signal(Signal::TERM);
    let told = Instant::now();
    // It serves in the window: it has taken the signal up.
    let mut client = Client::to(program.address);
    client.send(&call(900).text());
    assert_eq!(client.answer().map(|a| a.0), Some(200));
    program.halt();
    meanwhile();
    until("the window is over", || told.elapsed() > WINDOW);
    program.resume();
}

#[test]
fn what_waits_to_be_accepted_when_the_window_ends_is_answered() {
    let worker = plain();
    let mut program = Program::start(&Site::of(&[&worker]));
    let mut clients = Vec::new();
    halted_through_the_window(&program, || {
        // Far more than are accepted in one turn.
        for id in 0..60 {
            let mut c = Client::to(program.address);
            c.send(&call(1000 + id).text());
            clients.push(c);
        }
    });
    let answered = clients
        .iter_mut()
        .filter_map(Client::answer)
        .filter(|a| a.0 == 200)
        .count();
    assert_eq!(answered, 60);
    assert_eq!(program.ends(), Some(0));
}

#[test]
fn a_request_in_the_buffer_of_a_connection_that_is_being_closed_is_answered() {
    let worker = plain();
    let mut program = Program::start(&Site::of(&[&worker]));
    let mut idle: Vec<Client> = (0..8).map(|_| Client::to(program.address)).collect();
    for (id, c) in idle.iter_mut().enumerate().take(4) {
        c.send(&call(id as u64).text());
        assert_eq!(c.answer().map(|a| a.0), Some(200));
    }
    let mut half = Client::to(program.address);
    let text = call(500).text();
    half.send(&text[..50]);
    halted_through_the_window(&program, || {
        // On four that were answered before, and four that never sent a byte.
        idle.iter_mut()
            .zip(100..)
            .for_each(|(c, id)| c.send(&call(id).text()));
    });
    half.send(&text[50..]);
    for c in &mut idle {
        assert_eq!(c.answer().map(|a| a.0), Some(200));
    }
    assert!(
        half.answer().is_some(),
        "a request that was being read when the window ended has its answer"
    );
    assert_eq!(program.ends(), Some(0));
}

#[test]
fn signals_before_the_loop_runs_wait_for_it() {
    let worker = plain();
    for signal in [Signal::TERM, Signal::HUP] {
        let site = Site::of(&[&worker]);
        let reserved = reserve();
        let address = reserved.address();
        // It waits for its configuration until the test writes it.
        let path = site.file(&address.to_string());
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
        let mut program = Program::spawn(path.clone(), address);
        until("it takes signals up itself", || program.takes_signals());
        program.signal(signal);
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
            program.signal(Signal::TERM);
        }
        let ended = program.ended();
        assert_eq!(ended.code(), Some(0), "{signal:?}: {ended}");
    }
}

#[test]
fn calls_that_are_out_or_held_are_answered_and_a_second_signal_changes_nothing() {
    let (worker, go) = patient();
    let mut program = Program::start(&Site::of(&[&worker]));
    // Two lanes: the third is held. Of a class that is not taken back for silence, which a slow machine may look like.
    let mut open: Vec<Client> = (0..3).map(|_| Client::to(program.address)).collect();
    open.iter_mut()
        .zip([1, 3, 5])
        .for_each(|(c, id)| c.send(&call(id).once().text()));
    until("one is out", || !worker.all("fire").is_empty());
    program.signal(Signal::TERM);
    let mut during = Client::to(program.address);
    during.send("GET /alive HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(during.answer().map(|a| a.0), Some(200), "in the window");
    program.signal(Signal::TERM);
    program.signal(Signal::INT);
    (0..3).for_each(|_| go.send(()).unwrap());
    let answers: Vec<_> = open.iter_mut().map(|c| c.answer().map(|a| a.0)).collect();
    assert_eq!(program.ends(), Some(0));
    // What was out is served. What was held is, or on a slow machine is refused for the sake of others, and then unsent.
    for (id, answer) in [1, 3, 5].into_iter().zip(answers) {
        let id = format!("{id:016x}");
        let sent = worker
            .all("fire")
            .iter()
            .filter(|c| c.words[1] == id)
            .count();
        assert!(
            answer == Some(200) && sent == 1 || answer == Some(503) && sent == 0,
            "{id}: {answer:?}, {sent}"
        );
    }
    assert!(worker.all("fire").len() >= 2);
}

#[test]
fn a_load_that_is_out_is_waited_for() {
    let (go, wait) = std::sync::mpsc::channel::<()>();
    let worker = Worker::start(Box::new(move |c| match c.word() {
        "provision" => {
            let _ = wait.recv_timeout(Duration::from_secs(5));
            (array(&[&c.words[1], "200", "replicas=1", ""]), true)
        }
        "fire" => (served(c), true),
        _ => (Vec::new(), true),
    }));
    let mut program = Program::start(&Site::of(&[&worker]));
    let mut c = Client::to(program.address);
    c.send(&call(1).text());
    until("the load is out", || worker.all("provision").len() == 1);
    program.signal(Signal::TERM);
    let told = Instant::now();
    until("the window is over", || told.elapsed() > WINDOW);
    go.send(()).unwrap();
    assert_eq!(c.answer().map(|a| a.0), Some(200));
    assert_eq!(program.ends(), Some(0));
}

#[test]
fn a_configuration_is_taken_up_in_the_window_and_beside_its_signal() {
    for in_one_turn in [true, false] {
        let (worker, old, new) = (plain(), Coordinator::start(), Coordinator::start());
        let mut site = Site {
            coordinator: old.address,
            ..Site::of(&[&worker])
        };
        let mut program = Program::start(&site);
        let _held = old.next();
        site.coordinator = new.address;
        std::fs::write(&program.path, site.text(&program.address.to_string())).unwrap();
        if in_one_turn {
            program.halt();
            program.signal(Signal::TERM);
            program.signal(Signal::HUP);
            program.resume();
        } else {
            program.signal(Signal::TERM);
            let mut c = Client::to(program.address);
            c.send(&call(1).text());
            assert_eq!(c.answer().map(|a| a.0), Some(200), "in the window");
            program.signal(Signal::HUP);
        }
        let (target, _socket) = new.next();
        assert!(target.contains("follow=1&"), "{target}");
        assert_eq!(program.ends(), Some(0));
    }
}

#[test]
fn a_drain_that_is_told_in_the_window_is_obeyed() {
    let (leaves, stays, source) = (plain(), plain(), Coordinator::start());
    let site = Site {
        coordinator: source.address,
        ..Site::of(&[&leaves, &stays])
    };
    let mut program = Program::start(&site);
    let (_, mut socket) = source.next();
    let event = format!(
        r#"{{"index":2,"updates":[{{"index":2,"endpoints":{{"full":false,"servers":[
        {{"id":"s-0","addr":"{}","zone":"a","kind":"k","state":"Terminating"}}]}}}}]}}"#,
        leaves.address
    );
    let whole = reply(&event);
    let (first, rest) = whole.split_at(whole.len() / 2);
    // Half of the reply before SIGTERM, the rest in the window.
    socket.write_all(first).unwrap();
    program.signal(Signal::TERM);
    socket.write_all(rest).unwrap();
    let (target, _held) = source.next();
    assert!(target.contains("follow=2&"), "{target}");
    for id in 0..12 {
        let mut c = Client::to(program.address);
        c.send(
            &Call {
                function: id,
                ..call(id)
            }
            .text(),
        );
        assert_eq!(c.answer().map(|a| a.0), Some(200));
    }
    assert_eq!(
        (leaves.all("fire").len(), leaves.all("provision").len()),
        (0, 0)
    );
    assert_eq!(stays.all("fire").len(), 12);
    assert_eq!(program.ends(), Some(0));
}

#[test]
fn a_configuration_that_cannot_be_opened_is_tried_again() {
    let (worker, old, new) = (plain(), Coordinator::start(), Coordinator::start());
    let mut site = Site {
        coordinator: old.address,
        ..Site::of(&[&worker])
    };
    let program = Program::start(&site);
    let _held = old.next();
    site.coordinator = new.address;
    std::fs::write(&program.path, site.text(&program.address.to_string())).unwrap();
    // Not one more, as when clients have taken all.
    program.halt();
    program.limit(0);
    program.signal(Signal::HUP);
    program.resume();
    until("it has taken the signal up", || program.state() == "S");
    let mut c = Client::to(program.address);
    c.send(&call(1).text());
    assert!(TcpStream::connect(program.address).is_ok());
    program.limit(256);
    let (target, _socket) = new.next();
    assert!(target.contains("follow=1&"), "{target}");
    assert_eq!(c.answer().map(|a| a.0), Some(200));
}
