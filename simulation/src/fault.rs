//! Faults injected into a run, and the minimization of a list of faults that reproduces a failure.

/// Virtual time in microseconds.
pub type Time = i64;
/// One second of virtual time.
pub const SECOND: Time = 1_000_000;

/// A fault. Processes are identified by their index, as in [`crate::fleet`]; index 0 is the first voter.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A process is killed and later restarted with what its disk has persisted, if it has a disk.
    Kill {
        /// Index of the affected process.
        process: usize,
        /// Start of the fault.
        start: Time,
        /// Time until the restart.
        downtime: Time,
    },
    /// A process is suspended and later resumed with its state intact.
    Pause {
        /// Index of the affected process.
        process: usize,
        /// Start of the fault.
        start: Time,
        /// Duration of the fault.
        duration: Time,
    },
    /// Messages from one process to another are lost; the reverse direction works.
    LinkCut {
        /// The sender of the lost messages.
        sender: usize,
        /// The receiver of the lost messages.
        receiver: usize,
        /// Start of the fault.
        start: Time,
        /// Duration of the fault.
        duration: Time,
    },
    /// Messages between these processes and all others are lost.
    Partition {
        /// The processes on one side of the partition.
        side: Vec<usize>,
        /// Start of the fault.
        start: Time,
        /// Duration of the fault.
        duration: Time,
    },
    /// Every message is delayed by an additional random time.
    Delay {
        /// Start of the fault.
        start: Time,
        /// Duration of the fault.
        duration: Time,
        /// Upper bound on the added delay.
        max_delay: Time,
    },
}

impl Fault {
    /// The start of the fault.
    pub fn start(&self) -> Time {
        match self {
            Fault::Kill { start, .. }
            | Fault::Pause { start, .. }
            | Fault::LinkCut { start, .. }
            | Fault::Partition { start, .. }
            | Fault::Delay { start, .. } => *start,
        }
    }

    /// The duration of the fault.
    pub fn duration(&self) -> Time {
        match self {
            Fault::Kill { downtime, .. } => *downtime,
            Fault::Pause { duration, .. }
            | Fault::LinkCut { duration, .. }
            | Fault::Partition { duration, .. }
            | Fault::Delay { duration, .. } => *duration,
        }
    }

    /// Whether the fault is active at `now`.
    pub fn is_active(&self, now: Time) -> bool {
        self.start() <= now && now < self.start() + self.duration()
    }
}

/// Draws the faults of a run, which end by `until`. One run in three also kills about 70% of the front ends within one
/// second.
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

/// Draws one fault that ends by `until`.
fn draw_fault(rng: &mut fastrand::Rng, front_ends: usize, until: Time) -> Fault {
    let start = rng.i64(SECOND..until * 3 / 4);
    let longest = (until - start).min(12 * SECOND);
    let duration = rng.i64(SECOND / 50..longest);
    let process = rng.usize(0..front_ends);
    match rng.u32(0..10) {
        // A voter that restarts quickly has lost track of leases that it granted and that are still valid.
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

/// Minimizes a list of faults for which `fails` holds by removing ever smaller chunks, down to single faults.
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
