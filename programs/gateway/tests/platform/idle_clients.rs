//! Clients that are silent or slow: they are closed in time, make room for others, and cost no memory.

use crate::harness::*;
use std::io::Write;
use std::time::{Duration, Instant};

#[test]
fn silent_and_trickling_clients_are_closed_in_time_and_honest_idle_ones_are_not() {
    let worker = Worker::plain();
    let front_end = FrontEnd::start(&configuration_for(&[&worker]));
    let mut honest = front_end.connect();
    honest.send(&call(1).text());
    assert_eq!(honest.answer_status(), Some(200));
    let idle = Instant::now();
    let ends = |mut client: Client, trickle: bool| {
        std::thread::spawn(move || {
            let began = Instant::now();
            let text = call(2).text();
            let mut sent = text.bytes();
            while trickle && began.elapsed() < Duration::from_secs(5) {
                // A byte now and then, never a whole request.
                if client
                    .socket
                    .write_all(&[sent.next().unwrap_or(b'x')])
                    .is_err()
                {
                    break;
                }
                client
                    .socket
                    .set_read_timeout(Some(Duration::from_millis(50)))
                    .unwrap();
                let mut buffer = [0u8; 512];
                match std::io::Read::read(&mut client.socket, &mut buffer) {
                    Ok(_) => break,
                    Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(_) => break,
                }
            }
            let ended = trickle || client.ends_within(Duration::from_secs(4));
            (ended, began.elapsed())
        })
    };
    let mut half = front_end.connect();
    half.send(&call(3).text()[..40]);
    let all = [
        ends(front_end.connect(), false),
        ends(front_end.connect(), true),
        ends(half, false),
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
