//! Which front ends must know of which drain by now.
//!
//! One front end reads of a drain in its own endpoint list, and the others have to learn of it from the fleet within the limit. One
//! that was killed, stopped or cut off has that time from the end of the disturbance on.

use super::CONTRADICTION_LIMIT;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;
use tansy_audit::Mark;

struct Drain {
    worker: usize,
    since: Instant,
}

/// Drains in progress, and what was done to the front ends that have to learn of them.
#[derive(Default)]
pub(super) struct DrainTracker {
    drains: Vec<Drain>,
    /// When each front end was last started, resumed, or had a link changed.
    disturbed_at: BTreeMap<usize, Instant>,
    stopped: BTreeSet<usize>,
    /// Worker and front end of the marks that were given out.
    marked: BTreeSet<(usize, usize)>,
}

impl DrainTracker {
    pub fn begin(&mut self, worker: usize) {
        let since = Instant::now();
        self.drains.push(Drain { worker, since });
    }

    pub fn end(&mut self, worker: usize) {
        self.drains.retain(|drain| drain.worker != worker);
    }

    /// Messages to or from a front end may have been delayed until now.
    pub fn on_disturbed(&mut self, front: usize) {
        self.disturbed_at.insert(front, Instant::now());
    }

    pub fn on_stopped(&mut self, front: usize) {
        self.stopped.insert(front);
    }

    pub fn on_resumed(&mut self, front: usize) {
        self.stopped.remove(&front);
        self.on_disturbed(front);
    }

    pub fn on_killed(&mut self, front: usize) {
        self.stopped.remove(&front);
    }

    /// The marks of the front ends that must know of a drain since now: they have had the time, undisturbed.
    pub fn new_marks(&mut self, running: &[usize]) -> Vec<Mark> {
        let now = Instant::now();
        let mut marks = Vec::new();
        for drain in &self.drains {
            for &front in running.iter().filter(|front| !self.stopped.contains(front)) {
                let disturbed_at = self.disturbed_at.get(&front).copied();
                let since = disturbed_at.map_or(drain.since, |at| at.max(drain.since));
                let worker = drain.worker;
                if now - since >= CONTRADICTION_LIMIT && self.marked.insert((worker, front)) {
                    marks.push(Mark::Draining { front, worker });
                }
            }
        }
        let drains = &self.drains;
        self.marked
            .retain(|(worker, _)| drains.iter().any(|drain| drain.worker == *worker));
        marks
    }
}
