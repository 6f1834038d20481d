//! Rule 4: all front ends together send a cold worker no more work than it can serve.

use super::Auditor;
use crate::report::Violation;
use crate::rules::{Overload, SlowStart};

impl Auditor<'_> {
    /// The first overload of a worker during the slow start that began at `started`.
    pub(super) fn cold_overload(&self, started: i64, worker: usize) -> Option<Violation> {
        let SlowStart {
            initial_share,
            window: slow_start_window,
            cores,
        } = self.rules.slow_start;
        let Overload {
            multiple,
            window: overload_window,
        } = self.rules.overload;
        let attempts = self.calls.values().flat_map(|call| &call.attempts);
        let mut sent: Vec<(i64, i64)> = attempts
            .filter(|attempt| attempt.worker == worker)
            .filter(|attempt| {
                attempt.sent_at >= started && attempt.sent_at < started + slow_start_window
            })
            .map(|attempt| (attempt.sent_at, attempt.work))
            .collect();
        sent.sort();
        for (index, (at, _)) in sent.iter().enumerate() {
            if at - started < overload_window {
                continue;
            }
            let recent = sent[..=index]
                .iter()
                .filter(|(time, _)| at - time <= overload_window);
            let work: i64 = recent.map(|(_, work)| work).sum();
            let share = (initial_share
                + (1.0 - initial_share) * (at - started) as f64 / slow_start_window as f64)
                .min(1.0);
            let limit = multiple * share * cores * overload_window as f64;
            if work as f64 > limit {
                let reason = format!(
                    "{work} us of work in {overload_window} us exceed {multiple} times the capacity ({limit:.0} us)"
                );
                return Some(Violation {
                    rule: 4,
                    at: *at,
                    subject: format!("worker {worker}"),
                    reason,
                });
            }
        }
        None
    }
}
