//! The earliest arrival time of data covers any stall of the event loop before the read.

use std::time::{Duration, Instant};
use tansy_net_sockets::lag::{Lag, LATE_MARGIN};

const MS: Duration = Duration::from_millis(1);

#[test]
fn data_read_on_time_arrived_now() {
    let start = Instant::now();
    let lag = Lag::new(start);
    for turn in 0..10 {
        let began = start + turn * 100 * MS;
        lag.on_turn_start(began, 100 * MS);
        let read = began + 100 * MS + LATE_MARGIN;
        assert_eq!(lag.earliest_arrival(read), read);
        lag.on_turn_end(began + 99 * MS);
    }
}

#[test]
fn data_read_after_a_stall_may_have_arrived_since_the_turn_began() {
    let start = Instant::now();
    let lag = Lag::new(start);
    lag.on_turn_start(start, 50 * MS);
    let resumed = start + 900 * MS;
    assert_eq!(lag.earliest_arrival(resumed), start, "in the stalled turn");
    lag.on_turn_end(resumed);
    // Data reported in the stalled turn is read in the next one.
    lag.on_turn_start(resumed, Duration::ZERO);
    assert_eq!(
        lag.earliest_arrival(resumed + MS),
        start,
        "in the next turn"
    );
    lag.on_turn_end(resumed + MS);
}

#[test]
fn data_read_after_catching_up_arrived_now() {
    let start = Instant::now();
    let lag = Lag::new(start);
    lag.on_turn_start(start, Duration::ZERO);
    lag.on_turn_end(start + 500 * MS);
    let mut now = start + 500 * MS;
    for _ in 0..4 {
        lag.on_turn_start(now, 10 * MS);
        now += 5 * MS;
        lag.on_turn_end(now);
    }
    lag.on_turn_start(now, 10 * MS);
    assert_eq!(lag.earliest_arrival(now + MS), now + MS);
}

#[test]
fn stall_before_catching_up_counts_from_the_first_stall() {
    let start = Instant::now();
    let lag = Lag::new(start);
    lag.on_turn_start(start, Duration::ZERO);
    lag.on_turn_end(start + 500 * MS);
    lag.on_turn_start(start + 500 * MS, Duration::ZERO);
    lag.on_turn_end(start + 900 * MS);
    lag.on_turn_start(start + 900 * MS, Duration::ZERO);
    assert_eq!(lag.earliest_arrival(start + 901 * MS), start);
}

#[test]
fn stall_between_turns_counts_from_the_end_of_the_previous_turn() {
    let start = Instant::now();
    let lag = Lag::new(start);
    lag.on_turn_start(start, 10 * MS);
    lag.on_turn_end(start + 5 * MS);
    let resumed = start + 500 * MS;
    lag.on_turn_start(resumed, 10 * MS);
    assert_eq!(
        lag.earliest_arrival(resumed + MS),
        start + 5 * MS,
        "in the turn after the stall"
    );
    lag.on_turn_end(resumed + MS);
    lag.on_turn_start(resumed + MS, Duration::ZERO);
    assert_eq!(
        lag.earliest_arrival(resumed + 2 * MS),
        start + 5 * MS,
        "in the next turn"
    );
}
