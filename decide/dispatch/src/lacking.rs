//! Workers that answer orders without carrying them out: counted by worker, and told to the operator once and then
//! seldom, whatever they are asked meanwhile. What is done about them is the module's to decide.

use crate::outcome::Seen;
use std::collections::BTreeMap;
use tansyrouter::{FunctionId, Span, Time, WorkerId, SECOND};

/// The least time between two lines on one worker.
pub const TELL_EVERY: Span = 10 * SECOND;

/// What one worker lacks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lack {
    /// The function of its last order in vain.
    pub function: FunctionId,
    /// How that one ended.
    pub seen: Seen,
    /// Orders in vain since the last one that left an instance.
    pub count: u64,
    next: Time,
}

/// The workers whose last order was in vain. Bounded by the list of workers.
#[derive(Debug, Default)]
pub struct Lacking(BTreeMap<WorkerId, Lack>);

impl Lacking {
    /// An order was in vain. Some: it is time to say so.
    pub fn vain(
        &mut self,
        now: Time,
        worker: WorkerId,
        function: FunctionId,
        seen: Seen,
    ) -> Option<Lack> {
        let lack = self.0.entry(worker).or_insert(Lack {
            function,
            seen,
            count: 0,
            next: now,
        });
        (lack.function, lack.seen) = (function, seen);
        lack.count += 1;
        if now < lack.next {
            return None;
        }
        lack.next = now.plus(TELL_EVERY);
        Some(*lack)
    }
    /// An order there left an instance: nothing is held against it. One that fails in turns is told of no more often.
    pub fn clear(&mut self, worker: WorkerId) {
        self.0.entry(worker).and_modify(|l| l.count = 0);
    }
    /// The worker is gone.
    pub fn forget(&mut self, worker: WorkerId) {
        self.0.remove(&worker);
    }
    /// The workers and what they lack.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerId, &Lack)> {
        self.0
            .iter()
            .filter(|(_, l)| l.count > 0)
            .map(|(w, l)| (*w, l))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::outcome::Stage;

    #[test]
    fn it_is_told_at_once_then_every_ten_seconds_with_all_that_came_meanwhile() {
        let seen = Seen::Status {
            code: 12,
            stage: Stage::Headers,
        };
        let mut l = Lacking::default();
        let mut told = Vec::new();
        for ms in (0..25_000).step_by(100) {
            let now = Time(ms * 1000);
            told.extend(
                l.vain(now, WorkerId(7), FunctionId(3), seen)
                    .map(|k| (ms, k.count)),
            );
        }
        assert_eq!(told, [(0, 1), (10_000, 101), (20_000, 201)]);
        assert_eq!(
            l.iter().map(|(w, k)| (w, k.count)).collect::<Vec<_>>(),
            [(WorkerId(7), 250)]
        );
        l.clear(WorkerId(7));
        assert_eq!(l.iter().count(), 0);
        assert_eq!(
            l.vain(Time(25_000_000), WorkerId(7), FunctionId(3), seen),
            None,
            "still within the ten seconds"
        );
        assert_eq!(
            l.vain(Time(30_000_000), WorkerId(7), FunctionId(3), seen)
                .map(|k| k.count),
            Some(2)
        );
        l.forget(WorkerId(7));
        assert_eq!(
            l.vain(Time(30_000_001), WorkerId(7), FunctionId(3), seen)
                .map(|k| k.count),
            Some(1)
        );
    }

    #[test]
    fn workers_are_told_of_apart() {
        let mut l = Lacking::default();
        for w in 0..5 {
            assert!(l
                .vain(Time(0), WorkerId(w), FunctionId(1), Seen::ConnectRefused)
                .is_some());
            assert!(l
                .vain(Time(1), WorkerId(w), FunctionId(2), Seen::ConnectRefused)
                .is_none());
        }
    }
}
