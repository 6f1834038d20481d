//! Whether the event loop was held up: by a process that was stopped, a machine that gave it no time, or a long turn. What
//! is read then may have waited in the kernel since the loop last ran in time.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// A loop that runs this much later than it meant to was held up.
pub const MARGIN: Duration = Duration::from_millis(30);
/// Turns that have to run in time before the loop has caught up: what a turn was told of is read in the next ones.
const TURNS: u8 = 3;

/// Watches one loop.
#[derive(Debug)]
pub struct Lag {
    /// When this turn began.
    began: Cell<Instant>,
    /// When the turn before ended.
    ended: Cell<Instant>,
    /// How long it meant to wait.
    planned: Cell<Duration>,
    /// Since when what is read can have waited: the begin of the turn that was late, or the end of the one before it.
    behind_since: Cell<Option<Instant>>,
    /// Turns to go until it has caught up.
    turns: Cell<u8>,
}

impl Lag {
    /// Of a loop that has not run yet.
    pub fn new(now: Instant) -> Lag {
        Lag {
            began: Cell::new(now),
            ended: Cell::new(now),
            planned: Cell::new(Duration::ZERO),
            behind_since: Cell::new(None),
            turns: Cell::new(0),
        }
    }

    /// A turn begins, which waits at most so long.
    pub fn turn_begins(&self, now: Instant, planned: Duration) {
        if now.saturating_duration_since(self.ended.get()) > MARGIN {
            self.fell_behind(self.ended.get());
        }
        self.began.set(now);
        self.planned.set(planned);
    }

    /// A turn ends.
    pub fn turn_ends(&self, now: Instant) {
        self.ended.set(now);
        if self.late(now) {
            return self.fell_behind(self.began.get());
        }
        self.turns.set(self.turns.get().saturating_sub(1));
        if self.turns.get() == 0 {
            self.behind_since.set(None);
        }
    }

    fn fell_behind(&self, since: Instant) {
        self.behind_since
            .set(self.behind_since.get().or(Some(since)));
        self.turns.set(TURNS);
    }

    fn late(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.began.get()) > self.planned.get() + MARGIN
    }

    /// The earliest moment at which what is read now can have come; `now` if the loop runs in time.
    pub fn arrived(&self, now: Instant) -> Instant {
        let in_this_turn = self.late(now).then(|| self.began.get());
        self.behind_since.get().or(in_this_turn).unwrap_or(now)
    }
}
