//! The poll of the list: what it brings goes before what else is ready, a new configuration takes it over at any point, and
//! a coordinator that brings nothing is not asked at the loop's speed.

use crate::harness::coordinator::worker_event;
use crate::harness::manual::{ManualCoordinator, ManualFrontEnd, ManualWorker};
use crate::harness::network::socket_state;
use crate::harness::scenarios::{
    accept_late_connection, in_order, listener_with_queue_of_one, LateConnection, ManualSetup,
    SaturatedWorker,
};
use crate::harness::*;
use std::time::{Duration, Instant};

/// The event in which the worker drains, or stays as it is.
fn drain_event(worker: &ManualWorker, drains: bool) -> String {
    let state = if drains { "Terminating" } else { "Ready" };
    worker_event(2, "s-0", worker.address, state)
}

/// The connection of the next poll.
fn next_poll(front_end: &mut ManualFrontEnd, coordinator: &mut ManualCoordinator) -> usize {
    front_end.until("a poll", |_| coordinator.next_poll())
}

/// What follows an event that has just been sent: a worker that drains gets no call and no load more, once the list has
/// been read and for as long as anything could wait here; one that does not gets the call.
fn assert_obeyed(
    drains: bool,
    front_end: &mut ManualFrontEnd,
    coordinator: &mut ManualCoordinator,
    worker: &mut ManualWorker,
) {
    if !drains {
        front_end.next_command(worker, "fire");
        return;
    }
    let had = (worker.count("fire"), worker.count("provision"));
    next_poll(front_end, coordinator);
    front_end.run_for(Duration::from_millis(60));
    worker.read_all();
    assert_eq!((worker.count("fire"), worker.count("provision")), had);
}

#[test]
fn a_drain_goes_before_a_held_call_whose_lane_comes_free() {
    for drains in [false, true] {
        for list_first in [true, false] {
            let mut coordinator = ManualCoordinator::start();
            let SaturatedWorker {
                mut front_end,
                mut worker,
                open_calls,
                open_clients: _open_clients,
                held_client: _held_client,
            } = SaturatedWorker::start(Some(coordinator.address));
            let connection = next_poll(&mut front_end, &mut coordinator);
            let event = drain_event(&worker, drains);
            in_order(
                list_first,
                || coordinator.reply(connection, &event),
                || worker.serve(&open_calls[0]),
            );
            assert_obeyed(drains, &mut front_end, &mut coordinator, &mut worker);
            assert!(!drains || worker.calls(3) == 0, "list first: {list_first}");
        }
    }
}

#[test]
fn a_drain_goes_before_a_load_and_an_attempt_on_a_connection_just_made() {
    for drains in [false, true] {
        for function in [7, 8] {
            let ManualSetup {
                mut front_end,
                mut coordinator,
                mut worker,
            } = ManualSetup::start();
            let connection = next_poll(&mut front_end, &mut coordinator);
            let mut first = front_end.send(&call(1));
            let command = front_end.next_command(&mut worker, "fire");
            worker.serve(&command);
            assert_eq!(front_end.answer(&mut first), 200);
            // Another function has to be loaded; the same one sent: the connections stand already.
            let _second = front_end.send(&Call {
                function,
                ..call(2)
            });
            let event = drain_event(&worker, drains);
            coordinator.reply(connection, &event);
            assert_obeyed(drains, &mut front_end, &mut coordinator, &mut worker);
        }
    }
}

#[test]
fn a_drain_goes_before_an_attempt_whose_connection_has_just_come_up() {
    for drains in [false, true] {
        let mut coordinator = ManualCoordinator::start();
        let LateConnection {
            mut front_end,
            mut worker,
            client: _client,
            filler: _filler,
        } = LateConnection::start(Some(coordinator.address));
        let connection = next_poll(&mut front_end, &mut coordinator);
        accept_late_connection(&mut worker, 3);
        let event = drain_event(&worker, drains);
        coordinator.reply(connection, &event);
        assert_obeyed(drains, &mut front_end, &mut coordinator, &mut worker);
        assert!(!drains || worker.calls(1) == 0);
    }
}

#[test]
fn a_drain_goes_before_a_load_whose_connection_has_just_come_up() {
    for drains in [false, true] {
        let (mut coordinator, mut worker) = (
            ManualCoordinator::start(),
            ManualWorker::on_listener(listener_with_queue_of_one()),
        );
        let _filler = std::net::TcpStream::connect(worker.address).unwrap();
        let configuration = PlatformConfiguration {
            coordinator: coordinator.address,
            connect_timeout_s: 5.0,
            ..configuration_at(&[worker.address])
        };
        let mut front_end = ManualFrontEnd::start(&configuration);
        let connection = next_poll(&mut front_end, &mut coordinator);
        let _client = front_end.send(&call(1).with_timeout_ms(2000));
        front_end.until("the load waits", |platform| {
            (platform.driver().worker_connections() == 1).then_some(())
        });
        front_end.run_for(Duration::from_millis(20));
        accept_late_connection(&mut worker, 2);
        let event = drain_event(&worker, drains);
        coordinator.reply(connection, &event);
        assert_obeyed(drains, &mut front_end, &mut coordinator, &mut worker);
        assert!(!drains || worker.count("provision") == 0);
    }
}

/// The pause after the first poll that brings nothing; it doubles up to the longest one.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// A poll that takes as long as the longest pause is followed at once, and the pauses begin anew.
const MAX_PAUSE: Duration = Duration::from_millis(200);

/// Brings nothing to a poll, and waits until that has been read.
fn bring_nothing(
    front_end: &mut ManualFrontEnd,
    coordinator: &mut ManualCoordinator,
    connection: usize,
    refuses: bool,
) {
    let (own, other) = coordinator.addresses(connection);
    if refuses {
        coordinator.close(connection);
    } else {
        // The same number again, an earlier one, and none of the events that it has.
        coordinator.reply(connection, r#"{"index":1,"updates":[]}"#);
    }
    front_end.until("it is read", |_| {
        socket_state(other, own)
            .is_none_or(|state| state.unread == 0 && !(refuses && state.established))
            .then_some(())
    });
    // What was read in one turn may be handled in the next.
    front_end.platform.turn(Duration::ZERO).unwrap();
}

/// Brings nothing until the longest pause has been kept six times: the connection of the poll that follows.
fn assert_pauses(
    front_end: &mut ManualFrontEnd,
    coordinator: &mut ManualCoordinator,
    refuses: bool,
) -> usize {
    let mut connection = next_poll(front_end, coordinator);
    // No earlier than this the poll that is out was begun, and the pause that is to follow it, if that is known.
    let (mut begun, mut pause) = (Instant::now(), None);
    let (mut rounds, mut longest) = (0, 0);
    while longest < 6 {
        rounds += 1;
        assert!(rounds < 100, "too slow to judge: {longest} pauses");
        let Some(least) = pause else {
            front_end.run_for(MAX_PAUSE);
            begun = Instant::now();
            bring_nothing(front_end, coordinator, connection, refuses);
            let description = "a poll behind a long one";
            connection =
                front_end.while_runs(MAX_PAUSE / 2, description, |_| coordinator.next_poll());
            pause = Some(FIRST_PAUSE);
            continue;
        };
        let brought = Instant::now();
        bring_nothing(front_end, coordinator, connection, refuses);
        // This machine may have kept the poll for so long that no pause is due: what follows is not known then.
        let judged = begun.elapsed() < MAX_PAUSE;
        connection = front_end.while_runs(MAX_PAUSE * 3 / 2, "a poll", |_| coordinator.next_poll());
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
    connection
}

/// The last poll follows this event.
fn assert_last_poll_follows(coordinator: &ManualCoordinator, event: u64) {
    let follow = format!("follow={event}&");
    let last = coordinator.polls.last();
    assert!(
        last.is_some_and(|target| target.contains(&follow)),
        "{:?}",
        coordinator.polls
    );
}

#[test]
fn a_coordinator_that_brings_nothing_is_asked_seldom_and_one_that_is_back_is_heard_soon() {
    for refuses in [false, true] {
        let ManualSetup {
            mut front_end,
            mut coordinator,
            worker,
        } = ManualSetup::start();
        let connection = assert_pauses(&mut front_end, &mut coordinator, refuses);
        let event = drain_event(&worker, true);
        coordinator.reply(connection, &event);
        // Without a pause.
        front_end.while_runs(MAX_PAUSE / 2, "a poll behind an event", |_| {
            coordinator.next_poll()
        });
        assert_eq!(front_end.platform.poller().index(), 2);
        assert_last_poll_follows(&coordinator, 2);
    }
}

#[test]
fn numbers_that_repeat_go_back_or_jump() {
    let ManualSetup {
        mut front_end,
        mut coordinator,
        worker,
    } = ManualSetup::start();
    let replies = [
        (worker_event(2, "s-0", worker.address, "Terminating"), 2),
        (worker_event(2, "s-0", worker.address, "Ready"), 2),
        (worker_event(1, "s-0", worker.address, "Ready"), 2),
        (r#"{"index":0,"updates":[]}"#.to_string(), 2),
        (worker_event(9, "s-0", worker.address, "Terminating"), 9),
    ];
    for (reply, index) in replies {
        let connection = next_poll(&mut front_end, &mut coordinator);
        coordinator.reply(connection, &reply);
        front_end.run_for(Duration::from_millis(5));
        assert_eq!(front_end.platform.poller().index(), index, "{reply}");
        assert_eq!(
            front_end
                .platform
                .driver()
                .with_dispatcher(|dispatcher| dispatcher.ready_workers()),
            0,
            "an old event says nothing"
        );
    }
    next_poll(&mut front_end, &mut coordinator);
    assert_last_poll_follows(&coordinator, 9);
}

#[test]
fn a_reply_on_a_connection_that_ends_behind_it_counts() {
    let ManualSetup {
        mut front_end,
        mut coordinator,
        worker,
    } = ManualSetup::start();
    let connection = next_poll(&mut front_end, &mut coordinator);
    coordinator.reply(connection, &drain_event(&worker, true));
    coordinator.close(connection);
    next_poll(&mut front_end, &mut coordinator);
    assert_last_poll_follows(&coordinator, 2);
    assert_eq!(coordinator.accepted, 2);
}

/// The state of the poll when a new configuration comes.
#[derive(Clone, Copy, Debug)]
enum PollState {
    Out,
    HalfReply,
    Connecting,
    Refused,
    WholeReplyUnread,
}

impl PollState {
    const ALL: [PollState; 5] = [
        PollState::Out,
        PollState::HalfReply,
        PollState::Connecting,
        PollState::Refused,
        PollState::WholeReplyUnread,
    ];

    /// Brings the poll of a front end that was configured for it to this state.
    fn bring_about(
        self,
        front_end: &mut ManualFrontEnd,
        coordinator: &mut ManualCoordinator,
        worker: &ManualWorker,
    ) {
        if matches!(self, PollState::Connecting | PollState::Refused) {
            return front_end.run_for(Duration::from_millis(120));
        }
        let connection = next_poll(front_end, coordinator);
        let whole = reply(&worker_event(2, "s-0", worker.address, "Terminating"));
        match self {
            PollState::HalfReply => coordinator.write(connection, &whole[..whole.len() - 3]),
            PollState::WholeReplyUnread => coordinator.write(connection, &whole),
            _ => {}
        }
    }
}

#[test]
fn a_new_configuration_takes_the_watch_over_wherever_it_is() {
    for at in PollState::ALL {
        let (mut old, mut new, worker) = (
            ManualCoordinator::start(),
            ManualCoordinator::start(),
            ManualWorker::start(),
        );
        let unanswered = listener_with_queue_of_one();
        let _filler = std::net::TcpStream::connect(unanswered.local_addr().unwrap()).unwrap();
        let coordinator = match at {
            PollState::Connecting => unanswered.local_addr().unwrap(),
            PollState::Refused => unused_address(),
            _ => old.address,
        };
        let mut configuration = PlatformConfiguration {
            coordinator,
            connect_timeout_s: 5.0,
            ..configuration_at(&[worker.address])
        };
        let mut front_end = ManualFrontEnd::start(&configuration);
        at.bring_about(&mut front_end, &mut old, &worker);
        configuration.coordinator = new.address;
        let moved = Instant::now();
        front_end.reload(&configuration);
        next_poll(&mut front_end, &mut new);
        assert!(
            moved.elapsed() < Duration::from_millis(100),
            "{at:?}: {:?}",
            moved.elapsed()
        );
        let follow =
            new.polls[0].contains("follow=1&") || matches!(at, PollState::WholeReplyUnread);
        assert!(follow, "{at:?}: {:?}", new.polls);
        // There and back before the loop runs; then the same address once more, which moves nothing.
        let back = ManualCoordinator::start();
        front_end.reload(&PlatformConfiguration {
            coordinator: back.address,
            ..configuration_at(&[worker.address])
        });
        front_end.reload(&configuration);
        next_poll(&mut front_end, &mut new);
        let accepted = new.accepted;
        front_end.reload(&configuration);
        front_end.run_for(Duration::from_millis(60));
        new.next_poll();
        assert_eq!(new.accepted, accepted, "{at:?}: the same address again");
    }
}
