//! Tests of silent and slow clients: their connections time out, are evicted in favour of others, and do not accumulate memory.

use crate::harness::*;
use std::io::{ErrorKind, Read, Write};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Sends single bytes, never a whole request, until the connection ends or five seconds have passed.
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

/// Watches a client's connection on a new thread. The result tells whether the connection has ended, and after what time.
fn watch_client(mut client: Client, trickles: bool) -> JoinHandle<(bool, Duration)> {
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
fn silent_and_slow_clients_time_out_and_idle_clients_do_not() {
    let worker = Worker::plain();
    let front_end = FrontEnd::start(&configuration_for(&[&worker]));
    let mut idle = front_end.connect();
    idle.send(&call(1).text());
    assert_eq!(idle.answer_status(), Some(200));
    let idle_since = Instant::now();
    let mut half = front_end.connect();
    half.send(&call(3).text()[..40]);
    let all = [
        watch_client(front_end.connect(), false),
        watch_client(front_end.connect(), true),
        watch_client(half, false),
    ];
    for one in all {
        let (ended, took) = one.join().unwrap();
        assert!(
            ended && took < Duration::from_secs(3),
            "{ended} after {took:?}"
        );
    }
    // After an answer, the platform's clients may leave a connection idle for four seconds.
    let left = Duration::from_secs(4).saturating_sub(idle_since.elapsed());
    assert!(!idle.ends_within(left));
    idle.socket
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    idle.send(&call(4).text());
    assert_eq!(idle.answer_status(), Some(200));
}

#[test]
fn silent_connections_are_evicted_and_tables_do_not_grow() {
    let worker = Worker::plain();
    let configuration = PlatformConfiguration {
        sockets: 64,
        ..configuration_for(&[&worker])
    };
    let front_end = FrontEnd::start(&configuration);
    let silent: Vec<Client> = (0..100).map(|_| front_end.connect()).collect();
    for id in 0..300 {
        let new_function = Call {
            function: id,
            ..call(id)
        };
        assert_eq!(
            front_end.call(&new_function).0,
            200,
            "call {id} with 100 silent connections"
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
