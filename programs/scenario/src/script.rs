//! What goes wrong, and when: moments as parts of the day, so that a short day has all of it too.

use crate::cast::{Cast, Error};
use tansy_audit::Link;

/// One thing that happens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// A worker's fault by its word.
    Fault(usize, &'static str),
    /// The relay ends all connections from one front end to a worker.
    Cut(usize, usize),
    /// The relay holds up all that passes from one front end to a worker, or lets it go on.
    Hold(usize, usize, bool),
    /// A front end's list says that a worker drains, or takes work.
    List(usize, usize, bool),
    /// A worker starts anew, empty and cold.
    Restart(usize),
    /// A front end is killed.
    Kill(usize),
    /// It is brought back.
    Revive(usize),
}

/// The bad day: when (a part of the day, 0 to 1) and what.
pub const BAD_DAY: &[(f64, Step)] = &[
    (0.10, Step::Fault(0, "silent")),
    (0.20, Step::Fault(0, "clear")),
    (0.22, Step::Cut(0, 1)),
    (0.23, Step::Cut(1, 4)),
    (0.24, Step::Cut(0, 0)),
    (0.25, Step::Cut(1, 5)),
    (0.26, Step::Cut(0, 3)),
    (0.27, Step::Cut(1, 1)),
    // One front end learns of a drain at once, the other late.
    (0.28, Step::List(0, 2, true)),
    (0.34, Step::List(1, 2, true)),
    (0.42, Step::List(0, 2, false)),
    (0.42, Step::List(1, 2, false)),
    (0.44, Step::Restart(3)),
    (0.50, Step::Fault(5, "silent-after=1")),
    (0.58, Step::Fault(5, "clear")),
    (0.60, Step::Kill(1)),
    (0.66, Step::Revive(1)),
    (0.70, Step::Hold(0, 4, true)),
    (0.76, Step::Hold(0, 4, false)),
    (0.78, Step::Fault(1, "refuse")),
    (0.82, Step::Fault(1, "clear")),
    (0.84, Step::Fault(2, "slow=8")),
    (0.92, Step::Fault(2, "clear")),
    (0.93, Step::Fault(4, "hollow")),
    (0.98, Step::Fault(4, "clear")),
];

/// A room comes back cold, all its workers at once.
pub const COLD_ROOM: &[(f64, Step)] = &[
    (0.35, Step::Restart(3)),
    (0.35, Step::Restart(4)),
    (0.35, Step::Restart(5)),
];

/// Does a step.
pub fn perform(cast: &mut Cast, step: Step) -> Result<(), Error> {
    match step {
        Step::Fault(worker, word) => cast.control(worker, &format!("/fault/{word}")),
        Step::Cut(front, worker) => cast
            .middle
            .with(move |r| r.cut(Link::Worker { front, worker })),
        Step::Hold(front, worker, held) => cast
            .middle
            .with(move |r| r.set_paused(Link::Worker { front, worker }, held)),
        Step::List(front, worker, draining) => cast.list(front, worker, draining),
        Step::Restart(worker) => cast.restart(worker),
        Step::Kill(front) => cast.kill(front),
        Step::Revive(front) => cast.revive(front),
    }
}
