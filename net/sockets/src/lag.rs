//! Event loop lag: whether the loop was stalled by a process that was stopped, a machine that gave it no time, or a long
//! turn. What is read then may have waited in the kernel since the loop last ran in time.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// A loop that runs this much later than it meant to was stalled.
pub const LATE_MARGIN: Duration = Duration::from_millis(30);
/// Turns that have to run in time before the loop has caught up: what was reported in a turn is read in the next ones.
const CATCH_UP_TURNS: u8 = 3;

/// The lag of one loop.
#[derive(Debug)]
pub struct Lag {
    /// When this turn began.
    turn_started: Cell<Instant>,
    /// When the turn before ended.
    turn_ended: Cell<Instant>,
    /// How long this turn may wait.
    planned_wait: Cell<Duration>,
    /// Since when what is read can have waited: the begin of the turn that was late, or the end of the one before it.
    behind_since: Cell<Option<Instant>>,
    /// Turns to go until it has caught up.
    turns_behind: Cell<u8>,
}

impl Lag {
    /// The lag of a loop that has not run yet.
    pub fn new(now: Instant) -> Lag {
        Lag {
            turn_started: Cell::new(now),
            turn_ended: Cell::new(now),
            planned_wait: Cell::new(Duration::ZERO),
            behind_since: Cell::new(None),
            turns_behind: Cell::new(0),
        }
    }

    /// A turn begins, which waits for at most `planned_wait`.
    pub fn on_turn_start(&self, now: Instant, planned_wait: Duration) {
        if now.saturating_duration_since(self.turn_ended.get()) > LATE_MARGIN {
            self.set_behind(self.turn_ended.get());
        }
        self.turn_started.set(now);
        self.planned_wait.set(planned_wait);
    }

    /// A turn ends.
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

    /// The earliest moment at which what is read now can have come; `now` if the loop runs in time.
    pub fn earliest_arrival(&self, now: Instant) -> Instant {
        let in_this_turn = self.is_late(now).then(|| self.turn_started.get());
        self.behind_since.get().or(in_this_turn).unwrap_or(now)
    }
}
