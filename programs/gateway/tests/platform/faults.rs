//! Tests with failing system calls, late connections and slow coordinators: accepted calls are answered before their deadlines,
//! and workers are given no more time than remains.

use crate::harness::manual::ManualCoordinator;
use crate::harness::process::{reserve, GatewayProcess};
use crate::harness::scenarios::{accept_late_connection, LateConnection, ManualSetup};
use crate::harness::worker::PATIENCE_SLACK_MS;
use crate::harness::*;
use rustix::process::Signal;
use std::io::{BufRead, BufReader, PipeReader};
use std::time::{Duration, Instant};

#[test]
fn an_interrupted_read_of_signals_does_not_end_the_program() {
    // The worker answers after the program has received SIGTERM.
    let (release, released) = std::sync::mpsc::channel::<()>();
    let worker = Worker::start(serving(move |_| {
        let _ = released.recv_timeout(Duration::from_secs(5));
        None
    }));
    let reserved = reserve();
    let address = reserved.address();
    // Most reads of the signal descriptor are interrupted.
    let mut process = GatewayProcess::spawn_with_faults(
        &configuration_for(&[&worker]),
        address,
        "read:EINTR:rate=0.7",
    );
    process.wait_until_alive();
    let mut client = Client::to(address);
    client.send(&call(1).text());
    until("the worker has the call", || {
        !worker.commands("fire").is_empty()
    });
    process.signal(Signal::HUP);
    process.signal(Signal::TERM);
    release.send(()).unwrap();
    assert_eq!(client.answer_status(), Some(200));
    // The program serves through its shutdown window and exits normally.
    let mut later = Client::to(address);
    later.send(&call(2).text());
    release.send(()).unwrap();
    assert_eq!(later.answer_status(), Some(200));
    assert_eq!(process.exit_code(), Some(0));
}

#[test]
fn a_late_connection_reduces_the_timeout_that_the_worker_is_given() {
    let LateConnection {
        mut front_end,
        mut worker,
        client: _client,
        filler: _filler,
    } = LateConnection::start(None);
    let chosen = Instant::now();
    front_end.run_for(Duration::from_millis(600));
    accept_late_connection(&mut worker, 3);
    let command = front_end.next_command(&mut worker, "fire");
    // The call has a timeout of 2 s, which began before `chosen`.
    let left = 2000 - chosen.elapsed().as_millis() as u64;
    let given = command.patience_ms();
    assert!(
        given <= left + PATIENCE_SLACK_MS,
        "the worker was given {given} ms with {left} ms left"
    );
}

#[test]
fn slow_replies_of_the_coordinator_are_applied() {
    let ManualSetup {
        mut front_end,
        mut coordinator,
        worker: _worker,
    } = ManualSetup::start();
    let drains = r#"{"index":2,"updates":[{"index":2,"endpoints":{"servers":[{"id":"s-0","state":"Terminating"}]}}]}"#;
    // Time from each poll to its reply.
    let reply_delay = Duration::from_millis(1700);
    let mut due: Vec<(Instant, usize)> = Vec::new();
    let began = Instant::now();
    while front_end.platform.poller().index() < 2 {
        // The platform expects an event to be applied within 7 s.
        assert!(
            began.elapsed() < Duration::from_secs(7),
            "the event was not applied in time, after {} polls",
            coordinator.polls.len()
        );
        front_end.run_for(Duration::from_millis(10));
        if let Some(connection) = coordinator.next_poll() {
            due.push((Instant::now() + reply_delay, connection));
        }
        if due.first().is_some_and(|d| d.0 <= Instant::now()) {
            let (_, connection) = due.remove(0);
            coordinator.try_reply(connection, drains);
        }
    }
}

#[test]
fn temporary_failures_of_system_calls_do_not_end_the_start() {
    let worker = Worker::plain();
    let configuration = configuration_for(&[&worker]);
    for rules in [
        "socket:ENOBUFS:first=3",
        "socket:ENFILE:first=1",
        "read:EINTR:rate=0.5",
        "socket:EINTR:first=1",
    ] {
        let reserved = reserve();
        let address = reserved.address();
        let mut process = GatewayProcess::spawn_with_faults(&configuration, address, rules);
        process.wait_until_alive();
        let mut client = Client::to(address);
        client.send(&call(1).text());
        assert_eq!(client.answer_status(), Some(200), "{rules}");
        assert_eq!(process.terminate(), Some(0), "{rules}");
    }
}

#[test]
fn a_start_waits_until_the_previous_process_releases_the_address() {
    let worker = Worker::plain();
    let configuration = configuration_for(&[&worker]);
    let mut before = GatewayProcess::start(&configuration);
    let mut after = GatewayProcess::spawn(
        write_configuration(&configuration, before.address),
        before.address,
    );
    // The new process tries to bind the address, which is in use.
    until("the new process waits", || {
        after.handles_signals() && after.state() == "S"
    });
    assert_eq!(before.terminate(), Some(0));
    after.wait_until_alive();
    assert_eq!(after.terminate(), Some(0));
}

#[test]
fn unread_logs_do_not_block_the_service() {
    let worker = Worker::plain();
    let reserved = reserve();
    let address = reserved.address();
    let path = write_configuration(&configuration_for(&[&worker]), address);
    let mut logs = None;
    let mut process = GatewayProcess::spawn_with(path, address, |command| {
        let (read, write) = std::io::pipe().unwrap();
        command.args(["--log", "debug"]).stderr(write);
        // The reading end stays open, but is never read.
        logs = Some(read);
    });
    process.wait_until_alive();
    let mut client = Client::to(address);
    // Each call produces some hundred bytes of logs; a pipe holds 64 KiB.
    for id in 1..=600 {
        client.send(&call(id).text());
        assert_eq!(client.answer_status(), Some(200), "call {id}");
    }
    assert_eq!(process.terminate(), Some(0));
    drop(logs);
}

/// The age of a worker, in microseconds, in the log line of its listing.
fn logged_age_us(log: PipeReader, worker: &str) -> i64 {
    let mut lines = BufReader::new(log).lines().map_while(Result::ok);
    let line = lines
        .find(|line| line.contains("is listed") && line.contains(worker))
        .expect("a log line of the worker's listing");
    let age = line.split("age=Some(").nth(1).unwrap();
    age.split(')').next().unwrap().parse().unwrap()
}

#[test]
fn a_step_of_the_wall_clock_does_not_change_the_age_of_workers() {
    // `from`: the clock is stepped while the program runs. `until`: it is wrong at the start and corrected later.
    for (when, by) in [
        ("from", 3600),
        ("from", -3600),
        ("until", 3600),
        ("until", -3600),
    ] {
        let worker = Worker::plain();
        let mut coordinator = ManualCoordinator::start();
        let configuration = PlatformConfiguration {
            coordinator: coordinator.address,
            ..configuration_for(&[&worker])
        };
        let reserved = reserve();
        let address = reserved.address();
        let (logs, write) = std::io::pipe().unwrap();
        let rules = format!("clock:STEP:{when}=0.3:by={by}");
        let mut process = GatewayProcess::spawn_with_faults_and_options(
            &configuration,
            address,
            &rules,
            |command| {
                command.args(["--log", "debug"]).stderr(write);
            },
        );
        process.wait_until_alive();
        let began = Instant::now();
        let mut polled = None;
        until("a poll after the step", || {
            polled = coordinator.next_poll().or(polled);
            began.elapsed() > Duration::from_millis(500) && polled.is_some()
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
        coordinator.try_reply(polled.unwrap(), &event);
        let age = logged_age_us(logs, "s-9");
        assert!(
            (0..2_000_000).contains(&age),
            "a worker that has just started is {age} us old, clock off by {by} s {when} 0.3 s"
        );
        assert_eq!(process.terminate(), Some(0));
    }
}

#[test]
fn a_long_backlog_of_events_is_applied() {
    let ManualSetup {
        mut front_end,
        mut coordinator,
        worker: _worker,
    } = ManualSetup::start();
    // The events of a rollout of thousands of workers, during which the coordinator is unreachable.
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
    // The connection of the poll, and the number of bytes of the reply that have been written.
    let mut writing: Option<(usize, usize)> = None;
    let began = Instant::now();
    while front_end.platform.poller().index() < EVENTS {
        assert!(
            began.elapsed() < Duration::from_secs(7),
            "the events were not applied in time, after {} polls",
            coordinator.polls.len()
        );
        front_end.run_for(Duration::from_millis(1));
        if let Some(connection) = coordinator.next_poll() {
            writing = Some((connection, 0));
        }
        // Writes as much as the kernel accepts in each iteration.
        if let Some((connection, written)) = writing {
            writing = coordinator
                .write_some(connection, &bytes[written..])
                .map(|more| (connection, written + more));
        }
    }
}
