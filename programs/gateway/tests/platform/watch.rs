//! Tests of the poll of the endpoint list: its events are applied before other events that are ready, a new configuration
//! redirects it in any state, and a coordinator without events is polled with pauses.

use crate::harness::coordinator::worker_event;
use crate::harness::manual::{ManualCoordinator, ManualFrontEnd, ManualWorker};
use crate::harness::network::socket_state;
use crate::harness::scenarios::{
    accept_late_connection, in_order, listener_with_queue_of_one, LateConnection, ManualSetup,
    SaturatedWorker,
};
use crate::harness::*;
use std::time::{Duration, Instant};

/// An event that makes the worker drain, or that does not change its state.
fn drain_event(worker: &ManualWorker, drains: bool) -> String {
    let state = if drains { "Terminating" } else { "Ready" };
    worker_event(2, "s-0", worker.address, state)
}

/// Runs the event loop until the next poll, and returns the index of its connection.
fn next_poll(front_end: &mut ManualFrontEnd, coordinator: &mut ManualCoordinator) -> usize {
    front_end.until("a poll", |_| coordinator.next_poll())
}

/// Checks the effect of an event that has just been sent. A draining worker receives no further call or load, and a worker that
/// does not drain receives the call.
fn assert_applied(
    drains: bool,
    front_end: &mut ManualFrontEnd,
    coordinator: &mut ManualCoordinator,
    worker: &mut ManualWorker,
) {
    if !drains {
        front_end.next_command(worker, "fire");
        return;
    }
    let before = (worker.count("fire"), worker.count("provision"));
    next_poll(front_end, coordinator);
    front_end.run_for(Duration::from_millis(60));
    worker.read_all();
    assert_eq!((worker.count("fire"), worker.count("provision")), before);
}

#[test]
fn a_drain_is_applied_before_a_waiting_call_is_sent() {
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
            assert_applied(drains, &mut front_end, &mut coordinator, &mut worker);
            assert!(!drains || worker.calls(3) == 0, "list first: {list_first}");
        }
    }
}

#[test]
fn a_drain_is_applied_before_a_new_load_or_attempt() {
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
            // The same function is sent immediately, and another one is loaded first. The connections exist already.
            let _second = front_end.send(&Call {
                function,
                ..call(2)
            });
            let event = drain_event(&worker, drains);
            coordinator.reply(connection, &event);
            assert_applied(drains, &mut front_end, &mut coordinator, &mut worker);
        }
    }
}

#[test]
fn a_drain_is_applied_before_an_attempt_on_a_late_connection() {
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
        assert_applied(drains, &mut front_end, &mut coordinator, &mut worker);
        assert!(!drains || worker.calls(1) == 0);
    }
}

#[test]
fn a_drain_is_applied_before_a_load_on_a_late_connection() {
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
        front_end.until("the load waits for a connection", |platform| {
            (platform.driver().worker_connections() == 1).then_some(())
        });
        front_end.run_for(Duration::from_millis(20));
        accept_late_connection(&mut worker, 2);
        let event = drain_event(&worker, drains);
        coordinator.reply(connection, &event);
        assert_applied(drains, &mut front_end, &mut coordinator, &mut worker);
        assert!(!drains || worker.count("provision") == 0);
    }
}

/// The pause after the first poll without events. It doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause. A poll that takes at least this long is followed by the next without a pause, which resets the pauses.
const MAX_PAUSE: Duration = Duration::from_millis(200);

/// Answers a poll without an event, or closes its connection if `refuses`, and waits until the front end has noticed.
fn end_poll_without_event(
    front_end: &mut ManualFrontEnd,
    coordinator: &mut ManualCoordinator,
    connection: usize,
    refuses: bool,
) {
    let (own, other) = coordinator.addresses(connection);
    if refuses {
        coordinator.close(connection);
    } else {
        // The index is that of the front end, and there are no events.
        coordinator.reply(connection, r#"{"index":1,"updates":[]}"#);
    }
    front_end.until("the reply is read", |_| {
        socket_state(other, own)
            .is_none_or(|state| state.unread == 0 && !(refuses && state.established))
            .then_some(())
    });
    // Data that was read in one iteration may be handled in the next.
    front_end.platform.turn(Duration::ZERO).unwrap();
}

/// Ends polls without events until the longest pause has been observed six times. Returns the connection of the next poll.
fn assert_pauses(
    front_end: &mut ManualFrontEnd,
    coordinator: &mut ManualCoordinator,
    refuses: bool,
) -> usize {
    let mut connection = next_poll(front_end, coordinator);
    // The earliest time at which the open poll can have started, and the pause that is expected after it, if known.
    let (mut begun, mut pause) = (Instant::now(), None);
    let (mut rounds, mut longest) = (0, 0);
    while longest < 6 {
        rounds += 1;
        assert!(
            rounds < 100,
            "the machine is too slow: only {longest} pauses observed"
        );
        let Some(least) = pause else {
            front_end.run_for(MAX_PAUSE);
            begun = Instant::now();
            end_poll_without_event(front_end, coordinator, connection, refuses);
            let description = "a poll after a long one";
            connection =
                front_end.while_runs(MAX_PAUSE / 2, description, |_| coordinator.next_poll());
            pause = Some(FIRST_PAUSE);
            continue;
        };
        let ended = Instant::now();
        end_poll_without_event(front_end, coordinator, connection, refuses);
        // On a slow machine the poll may have taken so long that no pause follows. The next pause is unknown then.
        let pause_expected = begun.elapsed() < MAX_PAUSE;
        connection = front_end.while_runs(MAX_PAUSE * 3 / 2, "a poll", |_| coordinator.next_poll());
        let waited = ended.elapsed();
        if !pause_expected {
            pause = None;
            continue;
        }
        assert!(
            waited >= least,
            "polled again after {waited:?}, expected at least {least:?}, refused: {refuses}"
        );
        longest += u32::from(least == MAX_PAUSE);
        (begun, pause) = (ended + least, Some((least * 2).min(MAX_PAUSE)));
    }
    connection
}

/// Checks that the last poll asked for the events after the given one.
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
fn polls_without_events_are_paused_and_polls_with_events_are_not() {
    for refuses in [false, true] {
        let ManualSetup {
            mut front_end,
            mut coordinator,
            worker,
        } = ManualSetup::start();
        let connection = assert_pauses(&mut front_end, &mut coordinator, refuses);
        let event = drain_event(&worker, true);
        coordinator.reply(connection, &event);
        // A poll with an event is followed by the next without a pause.
        front_end.while_runs(MAX_PAUSE / 2, "a poll after an event", |_| {
            coordinator.next_poll()
        });
        assert_eq!(front_end.platform.poller().index(), 2);
        assert_last_poll_follows(&coordinator, 2);
    }
}

#[test]
fn event_indexes_that_repeat_decrease_or_skip() {
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
            "an old event is not applied"
        );
    }
    next_poll(&mut front_end, &mut coordinator);
    assert_last_poll_follows(&coordinator, 9);
}

#[test]
fn a_reply_before_the_end_of_its_connection_is_applied() {
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

/// The state of the poll when a new configuration is read.
#[derive(Clone, Copy, Debug)]
enum PollState {
    Waiting,
    HalfReply,
    Connecting,
    Refused,
    WholeReplyUnread,
}

impl PollState {
    const ALL: [PollState; 5] = [
        PollState::Waiting,
        PollState::HalfReply,
        PollState::Connecting,
        PollState::Refused,
        PollState::WholeReplyUnread,
    ];

    /// Brings the poll of a front end to this state. The front end's configuration must name a matching coordinator.
    fn set_up(
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
fn a_new_configuration_redirects_the_poll_in_any_state() {
    for state in PollState::ALL {
        let (mut old, mut new, worker) = (
            ManualCoordinator::start(),
            ManualCoordinator::start(),
            ManualWorker::start(),
        );
        let unanswered = listener_with_queue_of_one();
        let _filler = std::net::TcpStream::connect(unanswered.local_addr().unwrap()).unwrap();
        let coordinator = match state {
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
        state.set_up(&mut front_end, &mut old, &worker);
        configuration.coordinator = new.address;
        let moved = Instant::now();
        front_end.reload(&configuration);
        next_poll(&mut front_end, &mut new);
        assert!(
            moved.elapsed() < Duration::from_millis(100),
            "{state:?}: {:?}",
            moved.elapsed()
        );
        let follow =
            new.polls[0].contains("follow=1&") || matches!(state, PollState::WholeReplyUnread);
        assert!(follow, "{state:?}: {:?}", new.polls);
        // The configuration changes to a third coordinator and back before the event loop runs. After that, reading the same
        // address again changes nothing.
        let other = ManualCoordinator::start();
        front_end.reload(&PlatformConfiguration {
            coordinator: other.address,
            ..configuration_at(&[worker.address])
        });
        front_end.reload(&configuration);
        next_poll(&mut front_end, &mut new);
        let accepted = new.accepted;
        front_end.reload(&configuration);
        front_end.run_for(Duration::from_millis(60));
        new.next_poll();
        assert_eq!(
            new.accepted, accepted,
            "{state:?}: the address is unchanged"
        );
    }
}
