//! Connections to workers: what was chosen for one may no longer leave when it can, and what comes on one may be for
//! another.

use crate::harness::manual::{readable, ManualFrontEnd, ManualWorker};
use crate::harness::*;
use std::time::{Duration, Instant};

fn keyed(id: u64) -> Call {
    Call {
        class: "keyed",
        timeout_ms: 2000,
        ..call(id)
    }
}

#[test]
fn a_further_attempt_that_could_leave_only_after_the_window_does_not() {
    for behind in [false, true] {
        let mut worker = ManualWorker::start();
        let mut front_end = ManualFrontEnd::start(&configuration_at(&[worker.address]));
        let mut client = front_end.send(&keyed(1));
        let first = front_end.next_command(&mut worker, "fire");
        assert!(
            first.words[2].ends_with(",op=k1"),
            "the key goes on as it came: {:?}",
            first.words
        );
        let began = Instant::now();
        // It may have run; the class's repeats are dropped for one second.
        worker.answer(&first, "500", "-");
        front_end.until("a further attempt is chosen", |platform| {
            (platform.driver().worker_connections() == 3).then_some(())
        });
        if behind {
            // Its connection stands, in the kernel; the loop does not run.
            until("the window is over", || {
                began.elapsed() > Duration::from_millis(1050)
            });
            assert_eq!(
                front_end.answer(&mut client),
                503,
                "refused: its repeats are dropped everywhere"
            );
            worker.read_all();
            assert_eq!(worker.calls(1), 1, "a repeat after the window");
        } else {
            let second = front_end.next_command(&mut worker, "fire");
            worker.serve(&second);
            assert_eq!(front_end.answer(&mut client), 200);
        }
    }
}

#[test]
fn a_late_answer_is_not_taken_for_another_call_of_the_same_id() {
    let mut worker = ManualWorker::start();
    let mut front_end = ManualFrontEnd::start(&configuration_at(&[worker.address]));
    // Of a class that is not taken back from a worker for its silence, which a slow machine may look like.
    let client = front_end.send(&call(1).once());
    let first = front_end.next_command(&mut worker, "fire");
    // The connection is known to lead somewhere after that call was sent on it: it stays in use.
    let mut other = front_end.send(&call(9).once());
    let command = front_end.next_command(&mut worker, "fire");
    worker.serve(&command);
    assert_eq!(
        (front_end.answer(&mut other), command.connection),
        (200, first.connection)
    );
    drop(client);
    front_end.next_command(&mut worker, "never_mind");
    let mut again = front_end.send(
        &Call {
            body: "another".into(),
            ..call(1)
        }
        .once(),
    );
    let second = front_end.next_command(&mut worker, "fire");
    worker.serve(&first);
    front_end.run_for(Duration::from_millis(20));
    worker.serve(&second);
    assert_eq!(front_end.answer(&mut again), 200);
    assert_ne!(
        first.connection, second.connection,
        "on one connection the two can't be told apart"
    );
}

#[test]
fn answers_that_come_when_nobody_waits_for_them_change_nothing() {
    let mut worker = ManualWorker::start();
    let mut front_end = ManualFrontEnd::start(&configuration_at(&[worker.address]));
    let mut client = front_end.send(&call(1).with_timeout_ms(150));
    let first = front_end.next_command(&mut worker, "fire");
    let status = front_end.answer(&mut client);
    assert!(status == 503 || status == 504, "{status}: its time is up");
    // Too late, twice, and once more some milliseconds later.
    worker.serve(&first);
    worker.serve(&first);
    front_end.run_for(Duration::from_millis(10));
    worker.serve(&first);
    let mut next = front_end.send(&call(2));
    let second = front_end.next_command(&mut worker, "fire");
    worker.serve(&second);
    worker.serve(&second);
    assert_eq!(front_end.answer(&mut next), 200);
    assert_eq!(front_end.platform.driver().table_sizes()[..3], [0, 0, 0]);
}

/// Longer than this an answer has to be out before its call is taken back from a worker for its silence.
const SILENCE: Duration = Duration::from_millis(20);

/// How often a call was sent once more though no connection had ended under its last attempt: that was taken back.
fn taken_back(front_end: &ManualFrontEnd) -> usize {
    let reasons = front_end.platform.driver().reasons.to_string();
    let total = |name: &str| {
        let mut entries = reasons
            .split_whitespace()
            .filter_map(|entry| entry.split_once('='));
        entries.find_map(|(entry, total)| (entry == name).then(|| total.parse::<usize>().unwrap()))
    };
    // Its answer may still be read before the call goes again.
    let names = ["repeated.no_answer_in_time", "repeated.ok"];
    names.into_iter().filter_map(total).sum()
}

/// A connection ends, closed or reset while idle, and a call is picked for it before the loop knows; nothing of the call
/// was read, but that can't be proved.
fn ends_as_a_request_is_picked(cancels: bool, resets: bool, class: &'static str) {
    let name = format!("cancels: {cancels}, resets: {resets}, {class}");
    let mut worker = ManualWorker::start();
    let configuration = configuration_at(&[worker.address]).text(ANY_PORT);
    let mut front_end = ManualFrontEnd::with_text(
        &configuration.replace("\"cancel\":true", &format!("\"cancel\":{cancels}")),
    );
    let mut client = front_end.send(&call(1));
    let command = front_end.next_command(&mut worker, "fire");
    worker.serve(&command);
    assert_eq!(front_end.answer(&mut client), 200);
    let began = Instant::now();
    let mut second = front_end.send(&Call { class, ..call(2) });
    if resets {
        worker.reset(command.connection);
    } else {
        worker.close(command.connection);
    }
    second.socket.set_nonblocking(true).unwrap();
    let mut again = None;
    front_end.until("an answer", |_| {
        while let Some(command) = worker.next_command("fire") {
            worker.serve(&command);
        }
        if worker.calls(2) > 1 {
            again.get_or_insert_with(|| began.elapsed());
        }
        readable(&second.socket)
    });
    let status = front_end.answer(&mut second);
    assert!(
        status == 200 || class == "once" && (status == 502 || status == 503),
        "{name}: {status}"
    );
    let taken_back = taken_back(&front_end);
    assert!(
        taken_back == 0 || cancels && class == "safe",
        "{name}: taken back"
    );
    assert!(
        worker.calls(2) <= 1 + taken_back,
        "{name}: {} sends, {taken_back} taken back",
        worker.calls(2)
    );
    assert!(
        again.is_none_or(|after| after > SILENCE),
        "{name}: sent again after {again:?}"
    );
}

#[test]
fn a_connection_that_ends_as_a_request_is_picked_for_it() {
    // A safe call may be taken back from a worker for its silence, which a machine that gives this thread no time looks
    // like; where the platform does not cancel, none is.
    for cancels in [false, true] {
        for resets in [false, true] {
            for class in ["safe", "once"] {
                ends_as_a_request_is_picked(cancels, resets, class);
            }
        }
    }
}
