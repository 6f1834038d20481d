//! Tests of connections to workers: attempts that wait too long for a connection are not sent, and late answers are not taken
//! for those of other attempts.

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
fn a_retry_is_not_sent_after_the_deduplication_window() {
    for after_window in [false, true] {
        let mut worker = ManualWorker::start();
        let mut front_end = ManualFrontEnd::start(&configuration_at(&[worker.address]));
        let mut client = front_end.send(&keyed(1));
        let first = front_end.next_command(&mut worker, "fire");
        assert!(
            first.words[2].ends_with(",op=k1"),
            "the idempotency key is forwarded unchanged: {:?}",
            first.words
        );
        let began = Instant::now();
        // The call may have run. Workers drop duplicates of this class for one second.
        worker.answer(&first, "500", "-");
        front_end.until("a retry is scheduled", |platform| {
            (platform.driver().worker_connections() == 3).then_some(())
        });
        if after_window {
            // The connection of the retry is established in the kernel while the event loop does not run.
            until("the window is over", || {
                began.elapsed() > Duration::from_millis(1050)
            });
            assert_eq!(
                front_end.answer(&mut client),
                503,
                "no worker would drop a duplicate any more"
            );
            worker.read_all();
            assert_eq!(worker.calls(1), 1, "a retry after the window");
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
    // Calls of this class are not cancelled and retried when their worker is silent, as it may seem to be on a slow machine.
    let client = front_end.send(&call(1).once());
    let first = front_end.next_command(&mut worker, "fire");
    // An answer on the same connection shows that the connection works, so that it stays in use.
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
        "on one connection the two answers can't be told apart"
    );
}

#[test]
fn late_and_duplicate_answers_are_ignored() {
    let mut worker = ManualWorker::start();
    let mut front_end = ManualFrontEnd::start(&configuration_at(&[worker.address]));
    let mut client = front_end.send(&call(1).with_timeout_ms(150));
    let first = front_end.next_command(&mut worker, "fire");
    let status = front_end.answer(&mut client);
    assert!(
        status == 503 || status == 504,
        "{status}: the deadline has passed"
    );
    // Two late answers, and a third one some milliseconds later.
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

/// Minimum time without an answer after which a call is cancelled at a silent worker and retried.
const MIN_SILENCE: Duration = Duration::from_millis(20);

/// Number of attempts that were cancelled at a silent worker and retried, rather than ended by their connection.
fn cancelled_attempts(front_end: &ManualFrontEnd) -> usize {
    let reasons = front_end.platform.driver().reasons.to_string();
    let total = |name: &str| {
        let mut entries = reasons
            .split_whitespace()
            .filter_map(|entry| entry.split_once('='));
        entries.find_map(|(entry, total)| (entry == name).then(|| total.parse::<usize>().unwrap()))
    };
    // The answer to a cancelled attempt may still be read before the call is retried.
    let names = ["repeated.no_answer_in_time", "repeated.ok"];
    names.into_iter().filter_map(total).sum()
}

/// A worker closes or resets an idle connection, and a call is assigned to it before the event loop notices. The worker reads
/// nothing of the call, but the front end can't know that.
fn check_connection_that_ends_as_a_call_is_assigned(
    cancels: bool,
    resets: bool,
    class: &'static str,
) {
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
    let mut retried_after = None;
    front_end.until("an answer", |_| {
        while let Some(command) = worker.next_command("fire") {
            worker.serve(&command);
        }
        if worker.calls(2) > 1 {
            retried_after.get_or_insert_with(|| began.elapsed());
        }
        readable(&second.socket)
    });
    let status = front_end.answer(&mut second);
    assert!(
        status == 200 || class == "once" && (status == 502 || status == 503),
        "{name}: {status}"
    );
    let cancelled = cancelled_attempts(&front_end);
    assert!(
        cancelled == 0 || cancels && class == "safe",
        "{name}: {cancelled} attempts cancelled"
    );
    assert!(
        worker.calls(2) <= 1 + cancelled,
        "{name}: {} sends, {cancelled} attempts cancelled",
        worker.calls(2)
    );
    assert!(
        retried_after.is_none_or(|after| after > MIN_SILENCE),
        "{name}: retried after {retried_after:?}"
    );
}

#[test]
fn a_connection_that_ends_as_a_call_is_assigned_to_it() {
    // A safe call may be cancelled and retried when its worker is silent, as it may seem to be on an overloaded machine. If the
    // platform does not support cancellation, no call is.
    for cancels in [false, true] {
        for resets in [false, true] {
            for class in ["safe", "once"] {
                check_connection_that_ends_as_a_call_is_assigned(cancels, resets, class);
            }
        }
    }
}
