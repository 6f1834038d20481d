//! What goes wrong, when, and for how long; and the shortest list of it that still shows a failure.

use serde::Serialize;

/// Virtual time, microseconds.
pub type Time = i64;
/// A second of it.
pub const SECOND: Time = 1_000_000;

/// One thing that goes wrong. Front ends by their index; the first voter is number 0.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Fault {
    /// A process ends at once and is started again, from nothing or from what its disk holds.
    Kill {
        /// Which process.
        who: usize,
        /// When.
        at: Time,
        /// For how long it is away.
        away: Time,
    },
    /// A process is stopped and goes on where it was.
    Pause {
        /// Which process.
        who: usize,
        /// When.
        at: Time,
        /// For how long.
        away: Time,
    },
    /// No message passes from one process to another; the other direction is not affected.
    Cut {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
        /// When.
        at: Time,
        /// For how long.
        away: Time,
    },
    /// No message passes between these processes and the others.
    Split {
        /// One side.
        side: Vec<usize>,
        /// When.
        at: Time,
        /// For how long.
        away: Time,
    },
    /// Every message takes longer, by up to a time.
    Slow {
        /// When.
        at: Time,
        /// For how long.
        away: Time,
        /// The most that is added.
        by: Time,
    },
}

impl Fault {
    /// When it begins.
    pub fn at(&self) -> Time {
        match self {
            Fault::Kill { at, .. }
            | Fault::Pause { at, .. }
            | Fault::Cut { at, .. }
            | Fault::Split { at, .. }
            | Fault::Slow { at, .. } => *at,
        }
    }

    /// When it is over.
    pub fn over(&self) -> Time {
        match self {
            Fault::Kill { at, away, .. }
            | Fault::Pause { at, away, .. }
            | Fault::Cut { at, away, .. }
            | Fault::Split { at, away, .. }
            | Fault::Slow { at, away, .. } => at + away,
        }
    }
}

/// Draws what goes wrong in a run: some faults of every sort, all over by `until`. In one of three runs seven in ten front
/// ends are killed within a second.
pub fn draw(rng: &mut fastrand::Rng, front_ends: usize, until: Time) -> Vec<Fault> {
    let mut all = Vec::new();
    let count = 4 + rng.usize(0..8);
    for _ in 0..count {
        let at = rng.i64(SECOND..until * 3 / 4);
        let longest = (until - at).min(12 * SECOND);
        let away = rng.i64(SECOND / 50..longest);
        let who = rng.usize(0..front_ends);
        all.push(match rng.u32(0..10) {
            // A voter that is back at once has granted leases that it knows nothing of.
            0 => Fault::Kill {
                who: 0,
                at,
                away: rng.i64(SECOND / 100..SECOND / 2),
            },
            1..3 => Fault::Kill { who, at, away },
            3..5 => Fault::Pause { who, at, away },
            5..7 => Fault::Cut {
                from: who,
                to: rng.usize(0..front_ends),
                at,
                away,
            },
            7..9 => {
                let share = rng.f64() * 0.6 + 0.1;
                let side = (0..front_ends).filter(|_| rng.f64() < share).collect();
                Fault::Split { side, at, away }
            }
            _ => Fault::Slow {
                at,
                away,
                by: rng.i64(SECOND / 100..2 * SECOND),
            },
        });
    }
    if rng.u32(0..3) == 0 {
        let at = rng.i64(SECOND..until / 2);
        for who in 0..front_ends {
            if rng.f64() < 0.7 {
                all.push(Fault::Kill {
                    who,
                    at: at + rng.i64(0..SECOND),
                    away: rng.i64(SECOND / 10..8 * SECOND),
                });
            }
        }
    }
    all.sort_by_key(Fault::at);
    all
}

/// The shortest list that still fails, as far as taking out halves, quarters and so on down to single faults finds it.
pub fn shrink(faults: Vec<Fault>, mut fails: impl FnMut(&[Fault]) -> bool) -> Vec<Fault> {
    let mut kept = faults;
    let mut part = kept.len().div_ceil(2).max(1);
    loop {
        let mut from = 0;
        while from < kept.len() {
            let to = (from + part).min(kept.len());
            let without: Vec<Fault> = kept[..from].iter().chain(&kept[to..]).cloned().collect();
            if fails(&without) {
                kept = without;
            } else {
                from = to;
            }
        }
        if part == 1 {
            return kept;
        }
        part = part.div_ceil(2);
    }
}
