//! Tracks which front ends must know of which drain.
//!
//! One front end reads of a drain in its endpoint list; the others must learn of it from the fleet within [`CONTRADICTION_LIMIT`]. For
//! a front end that was killed, stopped or had a link paused, the time starts at the end of that disturbance.

use super::CONTRADICTION_LIMIT;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;
use tansy_audit::Mark;

struct Drain {
    worker: usize,
    since: Instant,
}

/// Drains in progress, and the disturbances of the front ends that must learn of them.
#[derive(Default)]
pub(super) struct DrainTracker {
    drains: Vec<Drain>,
    /// When each front end was last started, resumed, or had a link changed.
    disturbed_at: BTreeMap<usize, Instant>,
    stopped: BTreeSet<usize>,
    /// Worker and front end of the marks that were already returned.
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

    /// Restarts the front end's time limit: its messages may have been delayed until now.
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

    /// Marks for the front ends that were undisturbed for the time limit, and so must know of a drain from now on.
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
