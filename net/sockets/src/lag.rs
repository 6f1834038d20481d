//! Detects stalls of the event loop: the process was stopped, the machine was overloaded, or a turn took long. Data
//! that is read after a stall may have waited in the kernel since the loop last ran on time.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// A loop that runs later than planned by more than this was stalled.
pub const LATE_MARGIN: Duration = Duration::from_millis(30);
/// Number of turns on time after which the loop has caught up. Data reported in one turn is read in the following
/// ones.
const CATCH_UP_TURNS: u8 = 3;

/// The lag of one event loop.
#[derive(Debug)]
pub struct Lag {
    /// When the current turn began.
    turn_started: Cell<Instant>,
    /// When the previous turn ended.
    turn_ended: Cell<Instant>,
    /// How long the current turn may wait for events.
    planned_wait: Cell<Duration>,
    /// The earliest time since which data may have waited: the start of the late turn, or the end of the turn before
    /// it.
    behind_since: Cell<Option<Instant>>,
    /// Turns left until the loop has caught up.
    turns_behind: Cell<u8>,
}

impl Lag {
    /// Creates the lag of a loop that has not run yet.
    pub fn new(now: Instant) -> Lag {
        Lag {
            turn_started: Cell::new(now),
            turn_ended: Cell::new(now),
            planned_wait: Cell::new(Duration::ZERO),
            behind_since: Cell::new(None),
            turns_behind: Cell::new(0),
        }
    }

    /// Called at the start of a turn that waits for at most `planned_wait`.
    pub fn on_turn_start(&self, now: Instant, planned_wait: Duration) {
        if now.saturating_duration_since(self.turn_ended.get()) > LATE_MARGIN {
            self.set_behind(self.turn_ended.get());
        }
        self.turn_started.set(now);
        self.planned_wait.set(planned_wait);
    }

    /// Called at the end of a turn.
    pub fn on_turn_end(&self, now: Instant) {
        self.turn_ended.set(now);
        if self.is_late(now) {
            return self.set_behind(self.turn_started.get());
        }
        self.turns_behind
            .set(self.turns_behind.get().saturating_sub(1));
        if self.turns_behind.get() == 0 {
            self.behind_since.set(None);
        }
    }

    fn set_behind(&self, since: Instant) {
        self.behind_since
            .set(self.behind_since.get().or(Some(since)));
        self.turns_behind.set(CATCH_UP_TURNS);
    }

    fn is_late(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.turn_started.get())
            > self.planned_wait.get() + LATE_MARGIN
    }

    /// The earliest time at which data read now can have arrived; `now` if the loop runs on time.
    pub fn earliest_arrival(&self, now: Instant) -> Instant {
        let in_this_turn = self.is_late(now).then(|| self.turn_started.get());
        self.behind_since.get().or(in_this_turn).unwrap_or(now)
    }
}
