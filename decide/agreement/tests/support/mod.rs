//! Random histories, each determined by its seed.

use std::fmt::Debug;
use std::ops::Range;
use tansy_agreement::lease::Member;
use tansy_agreement::log::{LogEntry, Revision};

/// A random history of a leader and members, with an invariant that holds after each step unless a defect is injected.
pub trait History: Sized {
    /// The defects that can be injected.
    type Defect: Copy + Debug;
    /// The number of steps of one run.
    const STEPS: usize;

    fn new(seed: u64, defect: Self::Defect) -> Self;

    fn step(&mut self);

    /// Checks the invariant; the error describes the violation.
    fn check(&self) -> Result<(), String>;

    /// The number of strict changes or of their steps so far.
    fn strict_changes(&self) -> u64;
}

/// Runs one history. Returns the number of its strict changes, or the violation.
pub fn run<H: History>(seed: u64, defect: H::Defect) -> Result<u64, String> {
    let mut history = H::new(seed, defect);
    for _ in 0..H::STEPS {
        history.step();
        history
            .check()
            .map_err(|violation| format!("seed {seed}: {violation}"))?;
    }
    Ok(history.strict_changes())
}

/// Runs the histories of these seeds, none of which may violate the invariant. Returns the number of their strict
/// changes.
pub fn run_without_violation<H: History>(seeds: Range<u64>, defect: H::Defect) -> u64 {
    seeds
        .map(|seed| run::<H>(seed, defect).unwrap_or_else(|violation| panic!("{violation}")))
        .sum()
}

/// Whether the history of any of these seeds violates the invariant.
pub fn is_detected<H: History>(mut seeds: Range<u64>, defect: H::Defect) -> bool {
    seeds.any(|seed| run::<H>(seed, defect).is_err())
}

/// The first process of a member.
pub fn member(id: u64) -> Member {
    Member { id, incarnation: 1 }
}

/// The entry with which a member joins at a revision.
pub fn join(member: Member, revision: Revision) -> LogEntry {
    LogEntry::Join {
        member,
        name: "g".into(),
        revision,
    }
}

/// The member's next process, as after a crash.
pub fn restarted(member: Member) -> Member {
    Member {
        incarnation: member.incarnation + 1,
        ..member
    }
}
