//! A client's end against everything that would begin an attempt for it. Both are in the kernel before the loop runs, in
//! either order; where the client stays, the same play does begin the attempt.

use crate::hand::{reset, Came, Hand, Peer};
use crate::stage::*;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// How a client goes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Close,
    Reset,
    /// It does not: the play without the crossing.
    Stays,
}

impl End {
    /// Ends a client; one that stays is kept.
    fn of(self, client: Client) -> Option<Client> {
        if self == End::Reset {
            reset(&client.0);
        }
        if self == End::Stays {
            return Some(client);
        }
        end(client.0);
        None
    }
}

/// The client's end and the other event, in both orders, with both ends, and without an end.
fn crossings(mut play: impl FnMut(End, bool)) {
    for end in [End::Stays, End::Close, End::Reset] {
        for client_first in [true, false] {
            play(end, client_first);
        }
    }
}

/// Carries both out in the order asked for.
pub fn both(client_first: bool, client: impl FnOnce(), other: impl FnOnce()) {
    if client_first {
        client();
        other();
    } else {
        other();
        client();
    }
}

/// Whether the call with this id, sent on so often before, is sent on now: only if its client stays.
fn sent(hand: &mut Hand, worker: &mut Peer, id: u64, end: End, before: usize, name: &str) {
    let open = |hand: &Hand| hand.platform.driver().table_sizes()[1];
    let others = open(hand).saturating_sub(1);
    if end == End::Stays {
        hand.until(name, |_| {
            worker.look();
            (worker.fires(id) > before).then_some(())
        });
        return;
    }
    hand.pass(Duration::from_millis(60));
    worker.look();
    assert_eq!(
        worker.fires(id),
        before,
        "{name}, {end:?}: sent on for a client that has gone"
    );
    assert!(
        open(hand) <= others,
        "{name}, {end:?}: the call is still open"
    );
}

/// A worker whose two lanes are taken by calls 1 and 2, and call 3 held behind them.
pub fn full(source: Option<SocketAddr>) -> (Hand, Peer, [Came; 2], Vec<Client>, Client) {
    let mut worker = Peer::start();
    let mut site = Site::at(&[worker.address]);
    site.coordinator = source.unwrap_or(site.coordinator);
    let mut hand = Hand::start(&site);
    let first = vec![hand.send(&call(1)), hand.send(&call(2))];
    let out = [
        hand.next(&mut worker, "fire"),
        hand.next(&mut worker, "fire"),
    ];
    let third = hand.send(&call(3));
    hand.until("the third call is taken", |p| {
        (p.driver().table_sizes()[1] == 3).then_some(())
    });
    assert_eq!(worker.fires(3), 0, "it is held");
    (hand, worker, out, first, third)
}

#[test]
fn a_request_not_read_yet() {
    for end in [End::Stays, End::Close, End::Reset] {
        let mut worker = Peer::start();
        let mut hand = Hand::start(&Site::at(&[worker.address]));
        let mut warm = hand.send(&call(1));
        let came = hand.next(&mut worker, "fire");
        worker.serve(&came);
        assert_eq!(hand.answer(&mut warm), 200);
        let stays = end.of(hand.send(&call(2)));
        sent(&mut hand, &mut worker, 2, end, 0, "a request not read yet");
        drop(stays);
    }
}

#[test]
fn a_held_call_as_a_lane_comes_free() {
    crossings(|end, client_first| {
        let (mut hand, mut worker, out, _first, third) = full(None);
        let mut stays = None;
        both(
            client_first,
            || stays = end.of(third),
            || worker.serve(&out[0]),
        );
        sent(
            &mut hand,
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
        let mut worker = Peer::start();
        worker.loads = false;
        let mut hand = Hand::start(&Site::at(&[worker.address]));
        let client = hand.send(&call(1));
        let order = hand.next(&mut worker, "provision");
        let mut stays = None;
        both(
            client_first,
            || stays = end.of(client),
            || worker.say(&order, "200", "replicas=1"),
        );
        sent(
            &mut hand,
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
            let mut worker = Peer::start();
            let mut hand = Hand::start(&Site::at(&[worker.address]));
            let client = hand.send(&call(1));
            let came = hand.next(&mut worker, "fire");
            let mut stays = None;
            let other = || match ends {
                "reset" => worker.reset(came.on),
                "closed" => worker.end(came.on),
                word => worker.say(&came, word, "-"),
            };
            both(client_first, || stays = end.of(client), other);
            sent(&mut hand, &mut worker, 1, end, 1, ends);
        });
    }
}

/// A listener whose queue holds one connection, and that is taken: the next is not answered until the queue is free, and
/// then tried again by the kernel a second after the first time.
pub fn slow() -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(0).unwrap();
    socket.into()
}

/// A call whose attempt waits for a connection that is not answered, and what keeps it so.
pub fn late(source: Option<SocketAddr>) -> (Hand, Peer, Client, TcpStream) {
    let mut worker = Peer::on(slow());
    worker.loads = false;
    let mut site = Site {
        connect_timeout_s: 5.0,
        ..Site::at(&[worker.address])
    };
    site.coordinator = source.unwrap_or(site.coordinator);
    let mut hand = Hand::start(&site);
    let client = hand.send(&Call {
        timeout_ms: 2000,
        ..call(1)
    });
    let order = hand.next(&mut worker, "provision");
    let filler = TcpStream::connect(worker.address).unwrap();
    worker.say(&order, "200", "replicas=1");
    hand.until("the attempt waits", |p| {
        (p.driver().worker_connections() == 2).then_some(())
    });
    hand.pass(Duration::from_millis(20));
    (hand, worker, client, filler)
}

/// The late connection comes up, behind the one that was in its way; the loop does not run.
pub fn comes_up(worker: &mut Peer, connections: usize) {
    until("the late connection has come up", || {
        worker.accept();
        worker.links() == connections
    });
}

#[test]
fn an_attempt_on_a_connection_that_comes_up_late() {
    for end in [End::Stays, End::Close, End::Reset] {
        let (mut hand, mut worker, client, _filler) = late(None);
        comes_up(&mut worker, 3);
        let stays = end.of(client);
        sent(
            &mut hand,
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
    for end in [End::Close, End::Reset] {
        let mut worker = Peer::start();
        let mut hand = Hand::start(&Site::at(&[worker.address]));
        let client = hand.send(&call(1));
        let came = hand.next(&mut worker, "fire");
        // More than the kernel takes for a client that reads nothing.
        let body = "x".repeat(250_000);
        socket2::SockRef::from(&client.0)
            .set_recv_buffer_size(4096)
            .unwrap();
        worker.write(came.on, &array(&[came.id(), "200", "n=ready", &body]));
        hand.pass(Duration::from_millis(20));
        end.of(client);
        let mut next = hand.send(&call(2));
        let came = hand.next(&mut worker, "fire");
        worker.serve(&came);
        assert_eq!(hand.answer(&mut next), 200);
        assert_eq!(worker.fires(1), 1);
    }
}
