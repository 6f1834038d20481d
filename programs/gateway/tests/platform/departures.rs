//! A client's end against everything that would begin an attempt for it. Both are in the kernel before the loop runs, in
//! either order; where the client stays, the same events do begin the attempt.

use crate::harness::manual::{reset_on_close, ManualFrontEnd, ManualWorker};
use crate::harness::network;
use crate::harness::scenarios::{
    accept_late_connection, in_order, LateConnection, SaturatedWorker,
};
use crate::harness::*;
use std::time::Duration;

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Departure {
    Close,
    Reset,
    /// It does not: the same events without the crossing.
    Stays,
}

impl Departure {
    /// Ends a client; one that stays is kept.
    fn of(self, client: Client) -> Option<Client> {
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

/// The client's end and the other event, in both orders, with both ends, and without an end.
fn crossings(mut run: impl FnMut(Departure, bool)) {
    for end in [Departure::Stays, Departure::Close, Departure::Reset] {
        for client_first in [true, false] {
            run(end, client_first);
        }
    }
}

/// The call with this id, sent on so often before, is sent on now if its client stays, and only then.
fn assert_sent_if_client_stays(
    front_end: &mut ManualFrontEnd,
    worker: &mut ManualWorker,
    id: u64,
    end: Departure,
    before: usize,
    name: &str,
) {
    let open = |front_end: &ManualFrontEnd| front_end.platform.driver().table_sizes()[1];
    let others = open(front_end).saturating_sub(1);
    if end == Departure::Stays {
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
        "{name}, {end:?}: sent on for a client that has gone"
    );
    assert!(
        open(front_end) <= others,
        "{name}, {end:?}: the call is still open"
    );
}

#[test]
fn a_request_not_read_yet() {
    for end in [Departure::Stays, Departure::Close, Departure::Reset] {
        let mut worker = ManualWorker::start();
        let mut front_end = ManualFrontEnd::start(&configuration_at(&[worker.address]));
        let mut warm = front_end.send(&call(1));
        let command = front_end.next_command(&mut worker, "fire");
        worker.serve(&command);
        assert_eq!(front_end.answer(&mut warm), 200);
        let stays = end.of(front_end.send(&call(2)));
        assert_sent_if_client_stays(
            &mut front_end,
            &mut worker,
            2,
            end,
            0,
            "a request not read yet",
        );
        drop(stays);
    }
}

#[test]
fn a_held_call_as_a_lane_comes_free() {
    crossings(|end, client_first| {
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
            || stays = end.of(held_client),
            || worker.serve(&open_calls[0]),
        );
        assert_sent_if_client_stays(
            &mut front_end,
            &mut worker,
            3,
            end,
            0,
            "a held call as a lane comes free",
        );
    });
}

#[test]
fn a_held_call_as_its_load_ends() {
    crossings(|end, client_first| {
        let mut worker = ManualWorker::start();
        worker.loads_immediately = false;
        let mut front_end = ManualFrontEnd::start(&configuration_at(&[worker.address]));
        let client = front_end.send(&call(1));
        let load = front_end.next_command(&mut worker, "provision");
        let mut stays = None;
        in_order(
            client_first,
            || stays = end.of(client),
            || worker.answer(&load, "200", "replicas=1"),
        );
        assert_sent_if_client_stays(
            &mut front_end,
            &mut worker,
            1,
            end,
            0,
            "a held call as its load ends",
        );
    });
}

#[test]
fn an_attempt_that_ends_so_that_another_would_follow() {
    for ends in ["404", "500", "503", "reset", "closed"] {
        crossings(|end, client_first| {
            let mut worker = ManualWorker::start();
            let mut front_end = ManualFrontEnd::start(&configuration_at(&[worker.address]));
            let client = front_end.send(&call(1));
            let command = front_end.next_command(&mut worker, "fire");
            let mut stays = None;
            let other = || match ends {
                "reset" => worker.reset(command.connection),
                "closed" => worker.close(command.connection),
                status => worker.answer(&command, status, "-"),
            };
            in_order(client_first, || stays = end.of(client), other);
            assert_sent_if_client_stays(&mut front_end, &mut worker, 1, end, 1, ends);
        });
    }
}

#[test]
fn an_attempt_on_a_connection_that_comes_up_late() {
    for end in [Departure::Stays, Departure::Close, Departure::Reset] {
        let LateConnection {
            mut front_end,
            mut worker,
            client,
            filler: _filler,
        } = LateConnection::start(None);
        accept_late_connection(&mut worker, 3);
        let stays = end.of(client);
        assert_sent_if_client_stays(
            &mut front_end,
            &mut worker,
            1,
            end,
            0,
            "a connection that comes up late",
        );
        drop(stays);
    }
}

#[test]
fn an_answer_that_is_being_written() {
    for end in [Departure::Close, Departure::Reset] {
        let mut worker = ManualWorker::start();
        let mut front_end = ManualFrontEnd::start(&configuration_at(&[worker.address]));
        let client = front_end.send(&call(1));
        let command = front_end.next_command(&mut worker, "fire");
        // More than the kernel takes for a client that reads nothing.
        let body = "x".repeat(250_000);
        socket2::SockRef::from(&client.socket)
            .set_recv_buffer_size(4096)
            .unwrap();
        worker.write(
            command.connection,
            &array(&[command.id(), "200", "n=ready", &body]),
        );
        front_end.run_for(Duration::from_millis(20));
        end.of(client);
        let mut next = front_end.send(&call(2));
        let command = front_end.next_command(&mut worker, "fire");
        worker.serve(&command);
        assert_eq!(front_end.answer(&mut next), 200);
        assert_eq!(worker.calls(1), 1);
    }
}
