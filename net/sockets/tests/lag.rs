//! When what is read can have come: a loop that was held up does not know.

use std::time::{Duration, Instant};
use tansy_net_sockets::lag::{Lag, LATE_MARGIN};

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_loop_in_time_takes_what_it_reads_as_new() {
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
fn what_is_read_after_a_stop_can_have_come_since_the_turn_began() {
    let start = Instant::now();
    let lag = Lag::new(start);
    lag.on_turn_start(start, 50 * MS);
    let woken = start + 900 * MS;
    assert_eq!(
        lag.earliest_arrival(woken),
        start,
        "in the turn that was stopped"
    );
    lag.on_turn_end(woken);
    // What that turn was told of is read in the next.
    lag.on_turn_start(woken, Duration::ZERO);
    assert_eq!(lag.earliest_arrival(woken + MS), start, "in the next turn");
    lag.on_turn_end(woken + MS);
}

#[test]
fn a_loop_that_has_caught_up_takes_what_it_reads_as_new_again() {
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
fn a_second_stop_before_it_has_caught_up_counts_from_the_first() {
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
fn a_stop_between_two_turns_counts_from_the_end_of_the_first() {
    let start = Instant::now();
    let lag = Lag::new(start);
    lag.on_turn_start(start, 10 * MS);
    lag.on_turn_end(start + 5 * MS);
    let woken = start + 500 * MS;
    lag.on_turn_start(woken, 10 * MS);
    assert_eq!(
        lag.earliest_arrival(woken + MS),
        start + 5 * MS,
        "in the turn after the stop"
    );
    lag.on_turn_end(woken + MS);
    lag.on_turn_start(woken + MS, Duration::ZERO);
    assert_eq!(
        lag.earliest_arrival(woken + 2 * MS),
        start + 5 * MS,
        "in the next"
    );
}
