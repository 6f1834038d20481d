//! System calls that fail, a process that stands still, connections and lists that come late: what is taken is answered in
//! its client's time, and workers are told no more time than there is.

use crate::departures::{comes_up, late};
use crate::hand::{Hand, Peer, Source};
use crate::process::{reserve, Program};
use crate::stage::*;
use rustix::process::Signal;
use std::time::{Duration, Instant};

/// What a worker may be told beyond the time that is left.
const SLACK_MS: u64 = 150;

fn plain() -> Worker {
    Worker::start(serving(|_| None))
}

/// The time that a worker was told for a call, milliseconds.
fn patience(words: &[String]) -> u64 {
    let value = words[2]
        .split(',')
        .find_map(|f| f.strip_prefix("patience="));
    value.expect("a patience").parse().expect("milliseconds")
}

#[test]
fn an_interrupted_read_of_signals_ends_nothing() {
    // The worker answers once the program has been told to end.
    let (go, wait) = std::sync::mpsc::channel::<()>();
    let worker = Worker::start(serving(move |_| {
        let _ = wait.recv_timeout(Duration::from_secs(5));
        None
    }));
    let reserved = reserve();
    let address = reserved.address();
    // Most reads of the signals' descriptor are interrupted.
    let mut program = Program::spawn_under(&Site::of(&[&worker]), address, "read:EINTR:rate=0.7");
    program.serves();
    let mut client = Client::to(address);
    client.send(&call(1).text());
    until("the call is out", || !worker.all("fire").is_empty());
    program.signal(Signal::HUP);
    program.signal(Signal::TERM);
    go.send(()).unwrap();
    assert_eq!(client.answer().map(|a| a.0), Some(200));
    // It serves through its window, and ends in good order.
    let mut later = Client::to(address);
    later.send(&call(2).text());
    go.send(()).unwrap();
    assert_eq!(later.answer().map(|a| a.0), Some(200));
    assert_eq!(program.ends(), Some(0));
}

#[test]
fn time_counts_from_the_last_byte_of_a_request_that_waited_in_the_kernel() {
    let worker = plain();
    let mut program = Program::start(&Site::of(&[&worker]));
    // A connection that was answered before, and one that is not accepted yet.
    let mut known = Client::to(program.address);
    known.send(&call(1).text());
    assert_eq!(known.answer().map(|a| a.0), Some(200));
    program.halt();
    let mut fresh = Client::to(program.address);
    let mut short = Client::to(program.address);
    known.send(
        &Call {
            timeout_ms: 2000,
            ..call(2)
        }
        .text(),
    );
    fresh.send(
        &Call {
            timeout_ms: 2000,
            ..call(3)
        }
        .text(),
    );
    short.send(
        &Call {
            timeout_ms: 300,
            ..call(4)
        }
        .text(),
    );
    let sent = Instant::now();
    until("they have waited", || {
        sent.elapsed() > Duration::from_millis(900)
    });
    let waited = sent.elapsed().as_millis() as u64;
    program.resume();
    for client in [&mut known, &mut fresh] {
        assert_eq!(client.answer().map(|a| a.0), Some(200));
    }
    let status = short.answer().map(|a| a.0);
    assert!(
        matches!(status, Some(503 | 504)),
        "its time was over: {status:?}"
    );
    let fires = worker.all("fire");
    assert_eq!(fires.len(), 3, "a call whose time was over was sent on");
    for came in &fires[1..] {
        let (told, left) = (patience(&came.words), 2000 - waited);
        assert!(
            told <= left + SLACK_MS,
            "told {told} ms where the client had {left} left"
        );
    }
    program.signal(Signal::TERM);
    assert_eq!(program.ends(), Some(0));
}

#[test]
fn a_worker_is_told_the_time_that_is_left_when_its_late_connection_is_up() {
    let (mut hand, mut worker, _client, _filler) = late(None);
    let chosen = Instant::now();
    hand.pass(Duration::from_millis(600));
    comes_up(&mut worker, 3);
    let came = hand.next(&mut worker, "fire");
    // The call has 2 s from before it was chosen; a little of it is kept for the answer's way.
    let left = 2000 - chosen.elapsed().as_millis() as u64;
    let told = patience(&came.words);
    assert!(
        told <= left + SLACK_MS,
        "told {told} ms where the client had {left} left"
    );
}

#[test]
fn a_list_that_is_told_slowly_is_heard_all_the_same() {
    let mut source = Source::start();
    let worker = Peer::start();
    let mut site = Site::at(&[worker.address]);
    site.coordinator = source.address;
    let mut hand = Hand::start(&site);
    let drains = r#"{"index":2,"updates":[{"index":2,"endpoints":{"servers":[{"id":"s-0","state":"Terminating"}]}}]}"#;
    // Each reply takes this long from its poll.
    let slow = Duration::from_millis(1700);
    let mut due: Vec<(Instant, usize)> = Vec::new();
    let began = Instant::now();
    while hand.platform.poller().index() < 2 {
        // An event counts as told 7 s after it happened, whatever discovery does.
        assert!(
            began.elapsed() < Duration::from_secs(7),
            "never heard; asked {} times",
            source.asked.len()
        );
        hand.pass(Duration::from_millis(10));
        if let Some(on) = source.look() {
            due.push((Instant::now() + slow, on));
        }
        if due.first().is_some_and(|d| d.0 <= Instant::now()) {
            let (_, on) = due.remove(0);
            source.try_reply(on, drains);
        }
    }
}

#[test]
fn a_start_bears_what_accept_bears() {
    let worker = plain();
    let site = Site::of(&[&worker]);
    for rules in [
        "socket:ENOBUFS:first=3",
        "socket:ENFILE:first=1",
        "read:EINTR:rate=0.5",
        "socket:EINTR:first=1",
    ] {
        let reserved = reserve();
        let address = reserved.address();
        let mut program = Program::spawn_under(&site, address, rules);
        program.serves();
        let mut client = Client::to(address);
        client.send(&call(1).text());
        assert_eq!(client.answer().map(|a| a.0), Some(200), "{rules}");
        program.signal(Signal::TERM);
        assert_eq!(program.ends(), Some(0), "{rules}");
    }
}

#[test]
fn a_start_waits_for_the_process_before_it_to_leave_the_address() {
    let worker = plain();
    let site = Site::of(&[&worker]);
    let mut before = Program::start(&site);
    let mut after = Program::spawn(site.file(&before.address.to_string()), before.address);
    // It has come as far as the address, which is in use.
    until("it waits", || after.takes_signals() && after.state() == "S");
    before.signal(Signal::TERM);
    assert_eq!(before.ends(), Some(0));
    after.serves();
    after.signal(Signal::TERM);
    assert_eq!(after.ends(), Some(0));
}

#[test]
fn logs_that_nobody_reads_do_not_stop_service() {
    let worker = plain();
    let reserved = reserve();
    let address = reserved.address();
    let path = Site::of(&[&worker]).file(&address.to_string());
    let mut logs = None;
    let mut program = Program::spawn_with(path, address, |command| {
        let (read, write) = std::io::pipe().unwrap();
        command.args(["--log", "debug"]).stderr(write);
        // Open, and never read.
        logs = Some(read);
    });
    program.serves();
    let mut client = Client::to(address);
    // Each call is worth some hundred bytes of logs; a pipe holds 64 KiB.
    for id in 1..=600 {
        client.send(&call(id).text());
        assert_eq!(client.answer().map(|a| a.0), Some(200), "call {id}");
    }
    program.signal(Signal::TERM);
    assert_eq!(program.ends(), Some(0));
    drop(logs);
}

#[test]
fn a_stepped_wall_clock_makes_no_worker_older() {
    // Stepped in service, and wrong at the start and set right in service.
    for (when, by) in [
        ("from", 3600),
        ("from", -3600),
        ("until", 3600),
        ("until", -3600),
    ] {
        let worker = plain();
        let mut source = Source::start();
        let site = Site {
            coordinator: source.address,
            ..Site::of(&[&worker])
        };
        let reserved = reserve();
        let address = reserved.address();
        let (logs, write) = std::io::pipe().unwrap();
        let rules = format!("clock:STEP:{when}=0.3:by={by}");
        let mut program = Program::spawn_under_with(&site, address, &rules, |command| {
            command.args(["--log", "debug"]).stderr(write);
        });
        program.serves();
        let began = Instant::now();
        let mut on = None;
        until("it polls after the step", || {
            on = source.look().or(on);
            began.elapsed() > Duration::from_millis(500) && on.is_some()
        });
        let now = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap()
            .as_millis();
        let event = format!(
            r#"{{"index":2,"updates":[{{"index":2,"endpoints":{{"servers":[{{"id":"s-9","addr":"{}","state":"Ready",
            "zone":"a","kind":"k","weight":1,"started_ms":{now}}}]}}}}]}}"#,
            worker.address
        );
        source.try_reply(on.unwrap(), &event);
        let mut lines =
            std::io::BufRead::lines(std::io::BufReader::new(logs)).map_while(Result::ok);
        let line = lines
            .find(|l| l.contains("is listed") && l.contains("s-9"))
            .expect("it is listed");
        let age: i64 = line
            .split("age=Some(")
            .nth(1)
            .unwrap()
            .split(')')
            .next()
            .unwrap()
            .parse()
            .unwrap();
        assert!(
            (0..2_000_000).contains(&age),
            "a worker that started now is {age} us old, clock off by {by} s {when} 0.3 s"
        );
        program.signal(Signal::TERM);
        assert_eq!(program.ends(), Some(0));
    }
}

#[test]
fn a_long_backlog_of_changes_is_heard() {
    let mut source = Source::start();
    let worker = Peer::start();
    let mut site = Site::at(&[worker.address]);
    site.coordinator = source.address;
    let mut hand = Hand::start(&site);
    // What a roll of thousands of workers leaves behind while the coordinator is out of reach.
    const EVENTS: u64 = 9_000;
    let event = |index: u64| {
        let state = ["Terminating", "Gone", "Ready"][index as usize % 3];
        format!(
            r#"{{"index":{index},"endpoints":{{"version":{index},"full":false,"servers":[{{"id":"s-{:08x}","addr":"127.0.0.1:9",
            "zone":"a","kind":"k","cell":2,"state":"{state}","weight":4,"started_ms":1764666000000}}]}}}}"#,
            index / 3
        )
    };
    let events: Vec<String> = (2..=EVENTS).map(event).collect();
    let body = format!(r#"{{"index":{EVENTS},"updates":[{}]}}"#, events.join(","));
    assert!(body.len() > 1_500_000, "{}", body.len());
    let bytes = reply(&body);
    let mut out: Option<(usize, usize)> = None;
    let began = Instant::now();
    while hand.platform.poller().index() < EVENTS {
        assert!(
            began.elapsed() < Duration::from_secs(7),
            "never heard; asked {} times",
            source.asked.len()
        );
        hand.pass(Duration::from_millis(1));
        if let Some(on) = source.look() {
            out = Some((on, 0));
        }
        // As much as the kernel takes, turn by turn.
        if let Some((on, from)) = out {
            out = source
                .write_some(on, &bytes[from..])
                .map(|n| (on, from + n));
        }
    }
}

#[test]
fn an_answer_that_came_while_the_process_stood_still_is_given() {
    for (safe, stands_still_ms) in [(true, 600), (false, 600), (true, 1500), (false, 1500)] {
        let (go, wait) = std::sync::mpsc::channel::<()>();
        let worker = Worker::start(serving(move |c| {
            // The first call warms the worker; the second is answered when the test says so.
            if c.words[1].ends_with('2') {
                let _ = wait.recv_timeout(Duration::from_secs(5));
            }
            None
        }));
        let mut program = Program::start(&Site::of(&[&worker]));
        let mut client = Client::to(program.address);
        client.send(&call(1).text());
        assert_eq!(client.answer().map(|a| a.0), Some(200));
        let second = Call {
            timeout_ms: 2000,
            ..call(2)
        };
        client.send(&if safe { second } else { second.once() }.text());
        until("the call is out", || worker.all("fire").len() == 2);
        program.halt();
        let halted = Instant::now();
        go.send(()).unwrap();
        until("it has stood still", || {
            halted.elapsed() > Duration::from_millis(stands_still_ms)
        });
        program.resume();
        let answer = client.answer();
        assert_eq!(
            answer,
            Some((200, "body 2".into())),
            "safe: {safe}, {stands_still_ms} ms"
        );
        assert_eq!(
            worker.all("fire").len(),
            2,
            "safe: {safe}: sent again though it was answered"
        );
        program.signal(Signal::TERM);
        assert_eq!(program.ends(), Some(0));
    }
}

#[test]
fn a_request_whose_rest_came_while_the_process_stood_still_is_served() {
    let worker = plain();
    let mut program = Program::start(&Site::of(&[&worker]));
    let mut warm = Client::to(program.address);
    warm.send(&call(1).text());
    assert_eq!(warm.answer().map(|a| a.0), Some(200));
    // On a connection that was answered, and on new ones.
    let mut clients = vec![warm];
    clients.extend((0..6).map(|_| Client::to(program.address)));
    let began = Instant::now();
    let texts: Vec<String> = (2..)
        .map(|id| {
            Call {
                timeout_ms: 2000,
                ..call(id)
            }
            .text()
        })
        .take(7)
        .collect();
    clients
        .iter_mut()
        .zip(&texts)
        .for_each(|(c, text)| c.send(&text[..60]));
    // A request may be in the making for 2 s, the first of a connection for 2.3 s.
    until("half of it has been read for long", || {
        began.elapsed() > Duration::from_millis(1300)
    });
    program.halt();
    clients
        .iter_mut()
        .zip(&texts)
        .for_each(|(c, text)| c.send(&text[60..]));
    until("its time to be whole is over", || {
        began.elapsed() > Duration::from_millis(2500)
    });
    program.resume();
    let answers: Vec<_> = clients
        .iter_mut()
        .map(|c| c.answer().map(|a| a.0))
        .collect();
    assert_eq!(answers, [Some(200); 7]);
    program.signal(Signal::TERM);
    assert_eq!(program.ends(), Some(0));
}
