//! Estimates of when connections arrived that waited in the accept queue.

use std::time::{Duration, Instant};
use tansy_net_platform::client::accept_queue::AcceptQueue;
use tansy_net_sockets::accept_queue::MAX_LENGTH;

/// Time between two turns of the event loop.
const TURN: Duration = Duration::from_millis(10);

#[test]
fn connections_arrived_when_they_are_accepted_if_the_queue_was_empty() {
    let mut queue = AcceptQueue::default();
    let mut now = Instant::now();
    for _ in 0..10 {
        queue.begin(now);
        assert_eq!(queue.on_accepted(now), now);
        queue.on_empty();
        assert_eq!(queue.age(now), Duration::ZERO);
        now += TURN;
    }
}

#[test]
fn connections_that_were_left_in_the_queue_count_from_when_it_was_last_empty() {
    let mut queue = AcceptQueue::default();
    let start = Instant::now();
    queue.begin(start);
    queue.on_accepted(start);
    queue.on_more(start, || Some(5));
    let now = start + TURN;
    queue.begin(now);
    for _ in 0..5 {
        assert_eq!(queue.on_accepted(now), start);
    }
    assert_eq!(queue.age(now), TURN);
    queue.on_empty();
    queue.begin(now + TURN);
    assert_eq!(queue.on_accepted(now + TURN), now + TURN);
}

// Guards against calls that are refused although they have just arrived: connections counted as queued since the queue was
// last seen empty, however many had been accepted since.
#[test]
fn in_a_queue_that_is_never_empty_connections_count_from_the_last_measurement_that_they_passed() {
    let mut queue = AcceptQueue::default();
    let start = Instant::now();
    let length = 100;
    // Ten connections arrive and ten are accepted in each turn.
    for turn in 0..1_000 {
        let now = start + TURN * turn;
        queue.begin(now);
        for _ in 0..10 {
            let arrived = queue.on_accepted(now);
            // They have waited for ten turns; a measurement is at most two turns old when the next is made.
            let waited = now.duration_since(arrived);
            assert!(waited >= TURN * turn.min(10), "turn {turn}: {waited:?}");
            assert!(waited <= TURN * 14, "turn {turn}: {waited:?}");
        }
        queue.on_more(now, || Some(length));
    }
}

#[test]
fn without_measurements_the_queue_is_taken_to_be_as_long_as_possible() {
    let mut queue = AcceptQueue::default();
    let start = Instant::now();
    queue.begin(start);
    queue.on_more(start, || None);
    let now = start + TURN;
    for _ in 0..MAX_LENGTH {
        assert_eq!(queue.on_accepted(now), start);
    }
    queue.begin(now);
    queue.on_more(now, || None);
    let later = start + 3 * TURN;
    queue.begin(later);
    assert_eq!(queue.on_accepted(later), start);
    for _ in 1..MAX_LENGTH {
        queue.on_accepted(later);
    }
    queue.on_more(later, || None);
    for _ in 0..MAX_LENGTH {
        queue.on_accepted(later);
    }
    assert_eq!(queue.on_accepted(later), later);
}
