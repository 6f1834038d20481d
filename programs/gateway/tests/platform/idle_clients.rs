//! Clients that are silent or slow: they are closed in time, make room for others, and cost no memory.

use crate::harness::*;
use std::io::{ErrorKind, Read, Write};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Sends a byte now and then, never a whole request, until the connection ends or five seconds are over.
fn trickle(client: &mut Client, began: Instant) {
    let text = call(2).text();
    let mut bytes = text.bytes();
    while began.elapsed() < Duration::from_secs(5) {
        let next = bytes.next().unwrap_or(b'x');
        if client.socket.write_all(&[next]).is_err() {
            return;
        }
        client
            .socket
            .set_read_timeout(Some(Duration::from_millis(50)))
            .unwrap();
        let mut buffer = [0u8; 512];
        match client.socket.read(&mut buffer) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            _ => return,
        }
    }
}

/// On a thread of its own: whether a client's connection is ended, and after how long.
fn end_of_client(mut client: Client, trickles: bool) -> JoinHandle<(bool, Duration)> {
    std::thread::spawn(move || {
        let began = Instant::now();
        if trickles {
            trickle(&mut client, began);
        }
        let ended = trickles || client.ends_within(Duration::from_secs(4));
        (ended, began.elapsed())
    })
}

#[test]
fn silent_and_trickling_clients_are_closed_in_time_and_honest_idle_ones_are_not() {
    let worker = Worker::plain();
    let front_end = FrontEnd::start(&configuration_for(&[&worker]));
    let mut honest = front_end.connect();
    honest.send(&call(1).text());
    assert_eq!(honest.answer_status(), Some(200));
    let idle = Instant::now();
    let mut half = front_end.connect();
    half.send(&call(3).text()[..40]);
    let all = [
        end_of_client(front_end.connect(), false),
        end_of_client(front_end.connect(), true),
        end_of_client(half, false),
    ];
    for one in all {
        let (ended, took) = one.join().unwrap();
        assert!(
            ended && took < Duration::from_secs(3),
            "{ended} after {took:?}"
        );
    }
    // A connection that has been answered may be idle for the page's four seconds.
    let left = Duration::from_secs(4).saturating_sub(idle.elapsed());
    assert!(!honest.ends_within(left));
    honest
        .socket
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    honest.send(&call(4).text());
    assert_eq!(honest.answer_status(), Some(200));
}

#[test]
fn silent_connections_make_room_and_memory_stays_flat() {
    let worker = Worker::plain();
    let configuration = PlatformConfiguration {
        sockets: 64,
        ..configuration_for(&[&worker])
    };
    let front_end = FrontEnd::start(&configuration);
    let silent: Vec<Client> = (0..100).map(|_| front_end.connect()).collect();
    for id in 0..300 {
        let ever_new = Call {
            function: id,
            ..call(id)
        };
        assert_eq!(
            front_end.call(&ever_new).0,
            200,
            "call {id} beside 100 silent connections"
        );
    }
    drop(silent);
    let sizes = front_end.stop();
    assert_eq!(&sizes.driver[..3], [0, 0, 0]);
    assert!(
        sizes.functions <= 300 && sizes.workers == 1 && sizes.clients <= 24,
        "{sizes:?}"
    );
}
