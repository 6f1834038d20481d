//! Workers that answer loads without carrying them out: counted by worker, and reported to the operator once and then
//! seldom, whatever they are asked meanwhile. What is done about them is the router's to decide.

use crate::outcome::AttemptOutcome;
use std::collections::BTreeMap;
use tansyrouter::{FunctionId, Micros, Time, WorkerId, SECOND};

/// The least time between two reports on one worker.
pub const REPORT_INTERVAL: Micros = 10 * SECOND;

/// What is known of a worker whose last load left no instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadFailure {
    /// The function of its last load without effect.
    pub function: FunctionId,
    /// How that load ended.
    pub outcome: AttemptOutcome,
    /// Loads without effect since the last one that left an instance.
    pub failed_loads: u64,
    next_report: Time,
}

/// The workers whose last load left no instance. Bounded by the list of workers.
#[derive(Debug, Default)]
pub struct LoadFailures(BTreeMap<WorkerId, LoadFailure>);

impl LoadFailures {
    /// A load left no instance. `Some`: it is time to report so.
    pub fn on_failed_load(
        &mut self,
        now: Time,
        worker: WorkerId,
        function: FunctionId,
        outcome: AttemptOutcome,
    ) -> Option<LoadFailure> {
        let failure = self.0.entry(worker).or_insert(LoadFailure {
            function,
            outcome,
            failed_loads: 0,
            next_report: now,
        });
        failure.function = function;
        failure.outcome = outcome;
        failure.failed_loads += 1;
        if now < failure.next_report {
            return None;
        }
        failure.next_report = now.plus(REPORT_INTERVAL);
        Some(*failure)
    }

    /// A load left an instance, which clears the count. The time of the next report stays: one that fails in turns is
    /// reported no more often.
    pub fn on_successful_load(&mut self, worker: WorkerId) {
        self.0
            .entry(worker)
            .and_modify(|failure| failure.failed_loads = 0);
    }

    /// The worker is gone.
    pub fn remove_worker(&mut self, worker: WorkerId) {
        self.0.remove(&worker);
    }

    /// The workers, and what is known of each.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerId, &LoadFailure)> {
        self.0
            .iter()
            .filter(|(_, failure)| failure.failed_loads > 0)
            .map(|(worker, failure)| (*worker, failure))
    }
}
