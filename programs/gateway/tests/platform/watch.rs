//! The watch on the list: what it tells goes before what else is ready, a new configuration takes it over at any point, and
//! a coordinator that brings nothing is not asked at the loop's speed.

use crate::departures::{both, comes_up, full, late, slow};
use crate::hand::{Hand, Peer, Source};
use crate::stage::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// An event that tells a worker's state.
fn event(index: u64, id: &str, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"index":{index},"updates":[{{"index":{index},"endpoints":{{"full":false,"servers":[
        {{"id":"{id}","addr":"{address}","zone":"a","kind":"k","state":"{state}"}}]}}}}]}}"#
    )
}

fn next(hand: &mut Hand, source: &mut Source) -> usize {
    hand.until("a poll", |_| source.look())
}

/// What follows an event that has just been told: a worker that drains gets no call and no load more, once the list has
/// been heard and for as long as anything could wait here; one that does not gets the call.
fn after(drains: bool, hand: &mut Hand, source: &mut Source, worker: &mut Peer) {
    if !drains {
        hand.next(worker, "fire");
        return;
    }
    let had = (worker.count("fire"), worker.count("provision"));
    next(hand, source);
    hand.pass(Duration::from_millis(60));
    worker.look();
    assert_eq!((worker.count("fire"), worker.count("provision")), had);
}

#[test]
fn a_drain_goes_before_a_held_call_whose_lane_comes_free() {
    for drains in [false, true] {
        for list_first in [true, false] {
            let mut source = Source::start();
            let (mut hand, mut worker, out, _clients, _third) = full(Some(source.address));
            let on = next(&mut hand, &mut source);
            let drain = event(
                2,
                "s-0",
                worker.address,
                if drains { "Terminating" } else { "Ready" },
            );
            both(
                list_first,
                || source.reply(on, &drain),
                || worker.serve(&out[0]),
            );
            after(drains, &mut hand, &mut source, &mut worker);
            assert!(!drains || worker.fires(3) == 0, "list first: {list_first}");
        }
    }
}

#[test]
fn a_drain_goes_before_a_load_and_an_attempt_on_a_connection_just_made() {
    for drains in [false, true] {
        for function in [7, 8] {
            let (mut source, mut worker) = (Source::start(), Peer::start());
            let site = Site {
                coordinator: source.address,
                ..Site::at(&[worker.address])
            };
            let mut hand = Hand::start(&site);
            let on = next(&mut hand, &mut source);
            let mut first = hand.send(&call(1));
            let came = hand.next(&mut worker, "fire");
            worker.serve(&came);
            assert_eq!(hand.answer(&mut first), 200);
            // Another function has to be loaded; the same one sent: the connections stand already.
            let _second = hand.send(&Call {
                function,
                ..call(2)
            });
            let told = event(
                2,
                "s-0",
                worker.address,
                if drains { "Terminating" } else { "Ready" },
            );
            source.reply(on, &told);
            after(drains, &mut hand, &mut source, &mut worker);
        }
    }
}

#[test]
fn a_drain_goes_before_an_attempt_whose_connection_has_just_come_up() {
    for drains in [false, true] {
        let mut source = Source::start();
        let (mut hand, mut worker, _client, _filler) = late(Some(source.address));
        let on = next(&mut hand, &mut source);
        comes_up(&mut worker, 3);
        let told = event(
            2,
            "s-0",
            worker.address,
            if drains { "Terminating" } else { "Ready" },
        );
        source.reply(on, &told);
        after(drains, &mut hand, &mut source, &mut worker);
        assert!(!drains || worker.fires(1) == 0);
    }
}

#[test]
fn a_drain_goes_before_a_load_whose_connection_has_just_come_up() {
    for drains in [false, true] {
        let (mut source, mut worker) = (Source::start(), Peer::on(slow()));
        let _filler = std::net::TcpStream::connect(worker.address).unwrap();
        let site = Site {
            coordinator: source.address,
            connect_timeout_s: 5.0,
            ..Site::at(&[worker.address])
        };
        let mut hand = Hand::start(&site);
        let on = next(&mut hand, &mut source);
        let _client = hand.send(&Call {
            timeout_ms: 2000,
            ..call(1)
        });
        hand.until("the load waits", |p| {
            (p.driver().worker_connections() == 1).then_some(())
        });
        hand.pass(Duration::from_millis(20));
        comes_up(&mut worker, 2);
        let told = event(
            2,
            "s-0",
            worker.address,
            if drains { "Terminating" } else { "Ready" },
        );
        source.reply(on, &told);
        after(drains, &mut hand, &mut source, &mut worker);
        assert!(!drains || worker.count("provision") == 0);
    }
}

/// The pause after the first poll that brings nothing; it doubles up to the longest one.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// A poll that takes as long as the longest pause is followed at once, and the pauses begin anew.
const MAX_PAUSE: Duration = Duration::from_millis(200);

/// Brings nothing to a poll, and waits until that has been read.
fn bring_nothing(hand: &mut Hand, source: &mut Source, on: usize, refuses: bool) {
    let (own, other) = source.addresses(on);
    if refuses {
        source.end(on);
    } else {
        // The same number again, an earlier one, and none of the events that it has.
        source.reply(on, r#"{"index":1,"updates":[]}"#);
    }
    hand.until("it is read", |_| {
        socket_state(other, own)
            .is_none_or(|state| state.unread == 0 && !(refuses && state.established))
            .then_some(())
    });
    // What was read in one turn may be handled in the next.
    hand.platform.turn(Duration::ZERO).unwrap();
}

#[test]
fn a_coordinator_that_brings_nothing_is_asked_seldom_and_one_that_is_back_is_heard_soon() {
    for refuses in [false, true] {
        let (mut source, worker) = (Source::start(), Peer::start());
        let site = Site {
            coordinator: source.address,
            ..Site::at(&[worker.address])
        };
        let mut hand = Hand::start(&site);
        let mut on = next(&mut hand, &mut source);
        // No earlier than this the poll that is out was begun, and the pause that is to follow it, if that is known.
        let (mut begun, mut pause) = (Instant::now(), None);
        let (mut rounds, mut longest) = (0, 0);
        while longest < 6 {
            rounds += 1;
            assert!(rounds < 100, "too slow to judge: {longest} pauses");
            let Some(least) = pause else {
                hand.pass(MAX_PAUSE);
                begun = Instant::now();
                bring_nothing(&mut hand, &mut source, on, refuses);
                on = hand.while_runs(MAX_PAUSE / 2, "a poll behind a long one", |_| source.look());
                pause = Some(FIRST_PAUSE);
                continue;
            };
            let brought = Instant::now();
            bring_nothing(&mut hand, &mut source, on, refuses);
            // This machine may have kept the poll for so long that no pause is due: what follows is not known then.
            let judged = begun.elapsed() < MAX_PAUSE;
            on = hand.while_runs(MAX_PAUSE * 3 / 2, "a poll", |_| source.look());
            let waited = brought.elapsed();
            if !judged {
                pause = None;
                continue;
            }
            assert!(
                waited >= least,
                "asked again after {waited:?}, not {least:?}, refused: {refuses}"
            );
            longest += u32::from(least == MAX_PAUSE);
            (begun, pause) = (brought + least, Some((least * 2).min(MAX_PAUSE)));
        }
        source.reply(on, &event(2, "s-0", worker.address, "Terminating"));
        // Without a pause.
        hand.while_runs(MAX_PAUSE / 2, "a poll behind an event", |_| source.look());
        assert_eq!(hand.platform.poller().index(), 2);
        assert!(
            source.asked.last().is_some_and(|t| t.contains("follow=2&")),
            "{:?}",
            source.asked
        );
    }
}

#[test]
fn numbers_that_repeat_go_back_or_jump() {
    let (mut source, worker) = (Source::start(), Peer::start());
    let site = Site {
        coordinator: source.address,
        ..Site::at(&[worker.address])
    };
    let mut hand = Hand::start(&site);
    let replies = [
        (event(2, "s-0", worker.address, "Terminating"), 2),
        (event(2, "s-0", worker.address, "Ready"), 2),
        (event(1, "s-0", worker.address, "Ready"), 2),
        (r#"{"index":0,"updates":[]}"#.to_string(), 2),
        (event(9, "s-0", worker.address, "Terminating"), 9),
    ];
    for (reply, index) in replies {
        let on = next(&mut hand, &mut source);
        source.reply(on, &reply);
        hand.pass(Duration::from_millis(5));
        assert_eq!(hand.platform.poller().index(), index, "{reply}");
        assert_eq!(
            hand.platform
                .driver()
                .with_dispatcher(|dispatcher| dispatcher.ready_workers()),
            0,
            "an old event says nothing"
        );
    }
    next(&mut hand, &mut source);
    assert!(
        source.asked.last().is_some_and(|t| t.contains("follow=9&")),
        "{:?}",
        source.asked
    );
}

#[test]
fn a_reply_on_a_connection_that_ends_behind_it_counts() {
    let (mut source, worker) = (Source::start(), Peer::start());
    let site = Site {
        coordinator: source.address,
        ..Site::at(&[worker.address])
    };
    let mut hand = Hand::start(&site);
    let on = next(&mut hand, &mut source);
    source.reply(on, &event(2, "s-0", worker.address, "Terminating"));
    source.end(on);
    next(&mut hand, &mut source);
    assert!(
        source.asked.last().is_some_and(|t| t.contains("follow=2&")),
        "{:?}",
        source.asked
    );
    assert_eq!(source.connected, 2);
}

/// What the watch is at when a new configuration comes.
#[derive(Clone, Copy, Debug)]
enum At {
    Out,
    HalfReply,
    Connecting,
    Refused,
    WholeReplyUnread,
}

#[test]
fn a_new_configuration_takes_the_watch_over_wherever_it_is() {
    for at in [
        At::Out,
        At::HalfReply,
        At::Connecting,
        At::Refused,
        At::WholeReplyUnread,
    ] {
        let (mut old, mut new, worker) = (Source::start(), Source::start(), Peer::start());
        let slow = slow();
        let _filler = std::net::TcpStream::connect(slow.local_addr().unwrap()).unwrap();
        let coordinator = match at {
            At::Connecting => slow.local_addr().unwrap(),
            At::Refused => nobody(),
            _ => old.address,
        };
        let mut site = Site {
            coordinator,
            connect_timeout_s: 5.0,
            ..Site::at(&[worker.address])
        };
        let mut hand = Hand::start(&site);
        match at {
            At::Connecting | At::Refused => hand.pass(Duration::from_millis(120)),
            _ => {
                let on = next(&mut hand, &mut old);
                let whole = reply(&event(2, "s-0", worker.address, "Terminating"));
                match at {
                    At::HalfReply => old.write(on, &whole[..whole.len() - 3]),
                    At::WholeReplyUnread => old.write(on, &whole),
                    _ => {}
                }
            }
        }
        site.coordinator = new.address;
        let moved = Instant::now();
        hand.reload(&site);
        next(&mut hand, &mut new);
        assert!(
            moved.elapsed() < Duration::from_millis(100),
            "{at:?}: {:?}",
            moved.elapsed()
        );
        let follow = new.asked[0].contains("follow=1&") || matches!(at, At::WholeReplyUnread);
        assert!(follow, "{at:?}: {:?}", new.asked);
        // There and back before the loop runs; then the same address once more, which moves nothing.
        let back = Source::start();
        hand.reload(&Site {
            coordinator: back.address,
            ..Site::at(&[worker.address])
        });
        hand.reload(&site);
        next(&mut hand, &mut new);
        let connected = new.connected;
        hand.reload(&site);
        hand.pass(Duration::from_millis(60));
        new.look();
        assert_eq!(new.connected, connected, "{at:?}: the same address again");
    }
}
