//! Workers whose loads leave no instance: counts their failed loads and limits the rate of reports to the operator. The
//! router decides how to treat such workers.

use crate::outcome::AttemptOutcome;
use std::collections::BTreeMap;
use tansyrouter::{FunctionId, Micros, Time, WorkerId, SECOND};

/// Minimum time between two reports on one worker.
pub const REPORT_INTERVAL: Micros = 10 * SECOND;

/// The failed loads of a worker since its last successful one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadFailure {
    /// The function of the last failed load.
    pub function: FunctionId,
    /// How that load ended.
    pub outcome: AttemptOutcome,
    /// Failed loads since the last successful one.
    pub failed_loads: u64,
    next_report: Time,
}

/// The load failures by worker. Its size is bounded by the worker list.
#[derive(Debug, Default)]
pub struct LoadFailures(BTreeMap<WorkerId, LoadFailure>);

impl LoadFailures {
    /// Records a load that left no instance. Returns the failures of the worker if a report is due.
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

    /// Clears the count of a worker after a load that left an instance. The time of the next report stays, so that a
    /// worker whose loads fail intermittently is not reported more often.
    pub fn on_successful_load(&mut self, worker: WorkerId) {
        self.0
            .entry(worker)
            .and_modify(|failure| failure.failed_loads = 0);
    }

    /// Removes a worker that is gone.
    pub fn remove_worker(&mut self, worker: WorkerId) {
        self.0.remove(&worker);
    }

    /// The workers whose last load failed, with their failures.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerId, &LoadFailure)> {
        self.0
            .iter()
            .filter(|(_, failure)| failure.failed_loads > 0)
            .map(|(worker, failure)| (*worker, failure))
    }
}
