//! Workers that answer orders without carrying them out: counted by worker, and told to the operator once and then
//! seldom, whatever they are asked meanwhile. What is done about them is the module's to decide.

use crate::outcome::AttemptOutcome;
use std::collections::BTreeMap;
use tansyrouter::{FunctionId, Span, Time, WorkerId, SECOND};

/// The least time between two lines on one worker.
pub const REPORT_INTERVAL: Span = 10 * SECOND;

/// What one worker lacks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MissingFunction {
    /// The function of its last order in vain.
    pub function: FunctionId,
    /// How that one ended.
    pub outcome: AttemptOutcome,
    /// Orders in vain since the last one that left an instance.
    pub failed_loads: u64,
    next: Time,
}

/// The workers whose last order was in vain. Bounded by the list of workers.
#[derive(Debug, Default)]
pub struct MissingFunctions(BTreeMap<WorkerId, MissingFunction>);

impl MissingFunctions {
    /// An order was in vain. Some: it is time to say so.
    pub fn on_failed_load(
        &mut self,
        now: Time,
        worker: WorkerId,
        function: FunctionId,
        outcome: AttemptOutcome,
    ) -> Option<MissingFunction> {
        let lack = self.0.entry(worker).or_insert(MissingFunction {
            function,
            outcome,
            failed_loads: 0,
            next: now,
        });
        lack.function = function;
        lack.outcome = outcome;
        lack.failed_loads += 1;
        if now < lack.next {
            return None;
        }
        lack.next = now.plus(REPORT_INTERVAL);
        Some(*lack)
    }
    /// An order there left an instance: nothing is held against it. One that fails in turns is told of no more often.
    pub fn on_successful_load(&mut self, worker: WorkerId) {
        self.0.entry(worker).and_modify(|l| l.failed_loads = 0);
    }
    /// The worker is gone.
    pub fn remove_worker(&mut self, worker: WorkerId) {
        self.0.remove(&worker);
    }
    /// The workers and what they lack.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerId, &MissingFunction)> {
        self.0
            .iter()
            .filter(|(_, l)| l.failed_loads > 0)
            .map(|(w, l)| (*w, l))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::outcome::ResponseStage;

    #[test]
    fn it_is_told_at_once_then_every_ten_seconds_with_all_that_came_meanwhile() {
        let seen = AttemptOutcome::Status {
            code: 12,
            stage: ResponseStage::Headers,
        };
        let mut l = MissingFunctions::default();
        let mut told = Vec::new();
        for ms in (0..25_000).step_by(100) {
            let now = Time(ms * 1000);
            told.extend(
                l.on_failed_load(now, WorkerId(7), FunctionId(3), seen)
                    .map(|k| (ms, k.failed_loads)),
            );
        }
        assert_eq!(told, [(0, 1), (10_000, 101), (20_000, 201)]);
        assert_eq!(
            l.iter()
                .map(|(w, k)| (w, k.failed_loads))
                .collect::<Vec<_>>(),
            [(WorkerId(7), 250)]
        );
        l.on_successful_load(WorkerId(7));
        assert_eq!(l.iter().count(), 0);
        assert_eq!(
            l.on_failed_load(Time(25_000_000), WorkerId(7), FunctionId(3), seen),
            None,
            "still within the ten seconds"
        );
        assert_eq!(
            l.on_failed_load(Time(30_000_000), WorkerId(7), FunctionId(3), seen)
                .map(|k| k.failed_loads),
            Some(2)
        );
        l.remove_worker(WorkerId(7));
        assert_eq!(
            l.on_failed_load(Time(30_000_001), WorkerId(7), FunctionId(3), seen)
                .map(|k| k.failed_loads),
            Some(1)
        );
    }

    #[test]
    fn workers_are_told_of_apart() {
        let mut l = MissingFunctions::default();
        for w in 0..5 {
            assert!(l
                .on_failed_load(
                    Time(0),
                    WorkerId(w),
                    FunctionId(1),
                    AttemptOutcome::ConnectRefused
                )
                .is_some());
            assert!(l
                .on_failed_load(
                    Time(1),
                    WorkerId(w),
                    FunctionId(2),
                    AttemptOutcome::ConnectRefused
                )
                .is_none());
        }
    }
}
