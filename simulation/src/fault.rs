//! What goes wrong, when, and for how long; and the shortest list of it that still shows a failure.

/// Virtual time, microseconds.
pub type Time = i64;
/// A second of it.
pub const SECOND: Time = 1_000_000;

/// One thing that goes wrong. Processes by their index, as in [`crate::fleet`]: the first voter is number 0.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A process ends at once and is started again, from nothing or from what its disk holds.
    Kill {
        /// Which process.
        process: usize,
        /// When.
        start: Time,
        /// How long it is away.
        downtime: Time,
    },
    /// A process is stopped and goes on where it was.
    Pause {
        /// Which process.
        process: usize,
        /// When.
        start: Time,
        /// For how long.
        duration: Time,
    },
    /// No message passes from one process to another; the other direction is not affected.
    LinkCut {
        /// The process whose messages are lost.
        sender: usize,
        /// The process that does not get them.
        receiver: usize,
        /// When.
        start: Time,
        /// For how long.
        duration: Time,
    },
    /// No message passes between these processes and the others.
    Partition {
        /// One side.
        side: Vec<usize>,
        /// When.
        start: Time,
        /// For how long.
        duration: Time,
    },
    /// Every message takes longer, by up to a time.
    Delay {
        /// When.
        start: Time,
        /// For how long.
        duration: Time,
        /// The most that is added.
        max_delay: Time,
    },
}

impl Fault {
    /// When it begins.
    pub fn start(&self) -> Time {
        match self {
            Fault::Kill { start, .. }
            | Fault::Pause { start, .. }
            | Fault::LinkCut { start, .. }
            | Fault::Partition { start, .. }
            | Fault::Delay { start, .. } => *start,
        }
    }

    /// How long it lasts.
    pub fn duration(&self) -> Time {
        match self {
            Fault::Kill { downtime, .. } => *downtime,
            Fault::Pause { duration, .. }
            | Fault::LinkCut { duration, .. }
            | Fault::Partition { duration, .. }
            | Fault::Delay { duration, .. } => *duration,
        }
    }

    /// Whether it is under way at this time.
    pub fn is_active(&self, now: Time) -> bool {
        self.start() <= now && now < self.start() + self.duration()
    }
}

/// Draws what goes wrong in a run: some faults of every sort, all over by `until`. In one of three runs seven in ten front
/// ends are killed within a second.
pub fn draw_faults(rng: &mut fastrand::Rng, front_ends: usize, until: Time) -> Vec<Fault> {
    let count = 4 + rng.usize(0..8);
    let mut faults: Vec<Fault> = (0..count)
        .map(|_| draw_fault(rng, front_ends, until))
        .collect();
    if rng.u32(0..3) == 0 {
        let start = rng.i64(SECOND..until / 2);
        for process in 0..front_ends {
            if rng.f64() < 0.7 {
                faults.push(Fault::Kill {
                    process,
                    start: start + rng.i64(0..SECOND),
                    downtime: rng.i64(SECOND / 10..8 * SECOND),
                });
            }
        }
    }
    faults.sort_by_key(Fault::start);
    faults
}

/// Draws one fault that is over by `until`.
fn draw_fault(rng: &mut fastrand::Rng, front_ends: usize, until: Time) -> Fault {
    let start = rng.i64(SECOND..until * 3 / 4);
    let longest = (until - start).min(12 * SECOND);
    let duration = rng.i64(SECOND / 50..longest);
    let process = rng.usize(0..front_ends);
    match rng.u32(0..10) {
        // A voter that is back at once has granted leases that it knows nothing of.
        0 => Fault::Kill {
            process: 0,
            start,
            downtime: rng.i64(SECOND / 100..SECOND / 2),
        },
        1..3 => Fault::Kill {
            process,
            start,
            downtime: duration,
        },
        3..5 => Fault::Pause {
            process,
            start,
            duration,
        },
        5..7 => Fault::LinkCut {
            sender: process,
            receiver: rng.usize(0..front_ends),
            start,
            duration,
        },
        7..9 => {
            let share = rng.f64() * 0.6 + 0.1;
            let side = (0..front_ends).filter(|_| rng.f64() < share).collect();
            Fault::Partition {
                side,
                start,
                duration,
            }
        }
        _ => Fault::Delay {
            start,
            duration,
            max_delay: rng.i64(SECOND / 100..2 * SECOND),
        },
    }
}

/// The shortest list that still fails, as far as taking out halves, quarters and so on down to single faults finds it.
pub fn shrink(faults: Vec<Fault>, mut fails: impl FnMut(&[Fault]) -> bool) -> Vec<Fault> {
    let mut kept = faults;
    let mut chunk = kept.len().div_ceil(2).max(1);
    loop {
        let mut start = 0;
        while start < kept.len() {
            let end = (start + chunk).min(kept.len());
            let without: Vec<Fault> = kept[..start].iter().chain(&kept[end..]).cloned().collect();
            if fails(&without) {
                kept = without;
            } else {
                start = end;
            }
        }
        if chunk == 1 {
            return kept;
        }
        chunk = chunk.div_ceil(2);
    }
}
