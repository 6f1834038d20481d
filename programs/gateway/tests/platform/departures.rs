//! Tests of clients that disconnect at the same time as an event that would start an attempt for their call. Both events are in
//! the kernel, in either order, before the event loop runs. If the client stays, the same event must start the attempt.

use crate::harness::manual::{reset_on_close, ManualFrontEnd, ManualWorker};
use crate::harness::network;
use crate::harness::scenarios::{
    accept_late_connection, in_order, LateConnection, SaturatedWorker,
};
use crate::harness::*;
use std::time::Duration;

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Departure {
    Close,
    Reset,
    /// The client stays connected, as a control.
    Stays,
}

impl Departure {
    /// Disconnects a client, or returns it if it stays.
    fn apply(self, client: Client) -> Option<Client> {
        if self == Departure::Reset {
            reset_on_close(&client.socket);
        }
        if self == Departure::Stays {
            return Some(client);
        }
        network::close(client.socket);
        None
    }
}

/// Runs a test with every departure and with both orders of the departure and the other event.
fn with_all_orders(mut run: impl FnMut(Departure, bool)) {
    for departure in [Departure::Stays, Departure::Close, Departure::Reset] {
        for client_first in [true, false] {
            run(departure, client_first);
        }
    }
}

/// Checks that the call with the given id, which was sent `before` times, is sent again if and only if its client stays.
fn assert_sent_if_client_stays(
    front_end: &mut ManualFrontEnd,
    worker: &mut ManualWorker,
    id: u64,
    departure: Departure,
    before: usize,
    name: &str,
) {
    let open = |front_end: &ManualFrontEnd| front_end.platform.driver().table_sizes()[1];
    let others = open(front_end).saturating_sub(1);
    if departure == Departure::Stays {
        front_end.until(name, |_| {
            worker.read_all();
            (worker.calls(id) > before).then_some(())
        });
        return;
    }
    front_end.run_for(Duration::from_millis(60));
    worker.read_all();
    assert_eq!(
        worker.calls(id),
        before,
        "{name}, {departure:?}: sent for a client that has disconnected"
    );
    assert!(
        open(front_end) <= others,
        "{name}, {departure:?}: the call is still open"
    );
}

#[test]
fn a_request_that_has_not_been_read() {
    for departure in [Departure::Stays, Departure::Close, Departure::Reset] {
        let mut worker = ManualWorker::start();
        let mut front_end = ManualFrontEnd::start(&configuration_at(&[worker.address]));
        let mut warm = front_end.send(&call(1));
        let command = front_end.next_command(&mut worker, "fire");
        worker.serve(&command);
        assert_eq!(front_end.answer(&mut warm), 200);
        let stays = departure.apply(front_end.send(&call(2)));
        assert_sent_if_client_stays(
            &mut front_end,
            &mut worker,
            2,
            departure,
            0,
            "a request that has not been read",
        );
        drop(stays);
    }
}

#[test]
fn a_waiting_call_when_a_lane_becomes_free() {
    with_all_orders(|departure, client_first| {
        let SaturatedWorker {
            mut front_end,
            mut worker,
            open_calls,
            open_clients: _open_clients,
            held_client,
        } = SaturatedWorker::start(None);
        let mut stays = None;
        in_order(
            client_first,
            || stays = departure.apply(held_client),
            || worker.serve(&open_calls[0]),
        );
        assert_sent_if_client_stays(
            &mut front_end,
            &mut worker,
            3,
            departure,
            0,
            "a waiting call when a lane becomes free",
        );
    });
}

#[test]
fn a_waiting_call_when_its_load_ends() {
    with_all_orders(|departure, client_first| {
        let mut worker = ManualWorker::start();
        worker.loads_immediately = false;
        let mut front_end = ManualFrontEnd::start(&configuration_at(&[worker.address]));
        let client = front_end.send(&call(1));
        let load = front_end.next_command(&mut worker, "provision");
        let mut stays = None;
        in_order(
            client_first,
            || stays = departure.apply(client),
            || worker.answer(&load, "200", "replicas=1"),
        );
        assert_sent_if_client_stays(
            &mut front_end,
            &mut worker,
            1,
            departure,
            0,
            "a waiting call when its load ends",
        );
    });
}

#[test]
fn a_failed_attempt_that_would_be_retried() {
    for attempt_end in ["404", "500", "503", "reset", "closed"] {
        with_all_orders(|departure, client_first| {
            let mut worker = ManualWorker::start();
            let mut front_end = ManualFrontEnd::start(&configuration_at(&[worker.address]));
            let client = front_end.send(&call(1));
            let command = front_end.next_command(&mut worker, "fire");
            let mut stays = None;
            let other = || match attempt_end {
                "reset" => worker.reset(command.connection),
                "closed" => worker.close(command.connection),
                status => worker.answer(&command, status, "-"),
            };
            in_order(client_first, || stays = departure.apply(client), other);
            assert_sent_if_client_stays(&mut front_end, &mut worker, 1, departure, 1, attempt_end);
        });
    }
}

#[test]
fn an_attempt_on_a_late_connection() {
    for departure in [Departure::Stays, Departure::Close, Departure::Reset] {
        let LateConnection {
            mut front_end,
            mut worker,
            client,
            filler: _filler,
        } = LateConnection::start(None);
        accept_late_connection(&mut worker, 3);
        let stays = departure.apply(client);
        assert_sent_if_client_stays(
            &mut front_end,
            &mut worker,
            1,
            departure,
            0,
            "a late connection",
        );
        drop(stays);
    }
}

#[test]
fn an_answer_that_is_being_written() {
    for departure in [Departure::Close, Departure::Reset] {
        let mut worker = ManualWorker::start();
        let mut front_end = ManualFrontEnd::start(&configuration_at(&[worker.address]));
        let client = front_end.send(&call(1));
        let command = front_end.next_command(&mut worker, "fire");
        // More than the kernel buffers for a client that does not read.
        let body = "x".repeat(250_000);
        socket2::SockRef::from(&client.socket)
            .set_recv_buffer_size(4096)
            .unwrap();
        worker.write(
            command.connection,
            &array(&[command.id(), "200", "n=ready", &body]),
        );
        front_end.run_for(Duration::from_millis(20));
        departure.apply(client);
        let mut next = front_end.send(&call(2));
        let command = front_end.next_command(&mut worker, "fire");
        worker.serve(&command);
        assert_eq!(front_end.answer(&mut next), 200);
        assert_eq!(worker.calls(1), 1);
    }
}
