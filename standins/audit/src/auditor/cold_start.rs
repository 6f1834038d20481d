//! Rule 4: a worker that has just started isn't sent more than it can do, by all front ends together.

use super::Auditor;
use crate::report::Violation;
use crate::rules::{Overload, SlowStart};

impl Auditor<'_> {
    /// The first time at which a worker that started then was sent too much.
    pub(super) fn cold_overload(&self, started: i64, worker: usize) -> Option<Violation> {
        let SlowStart {
            initial_share,
            window: warm_up,
            cores,
        } = self.rules.slow_start;
        let Overload {
            multiple,
            window: span,
        } = self.rules.overload;
        let attempts = self.calls.values().flat_map(|call| &call.attempts);
        let mut sent: Vec<(i64, i64)> = attempts
            .filter(|attempt| attempt.worker == worker)
            .filter(|attempt| attempt.sent_at >= started && attempt.sent_at < started + warm_up)
            .map(|attempt| (attempt.sent_at, attempt.work))
            .collect();
        sent.sort();
        for (index, (at, _)) in sent.iter().enumerate() {
            if at - started < span {
                continue;
            }
            let recent = sent[..=index].iter().filter(|(time, _)| at - time <= span);
            let work: i64 = recent.map(|(_, work)| work).sum();
            let share = (initial_share
                + (1.0 - initial_share) * (at - started) as f64 / warm_up as f64)
                .min(1.0);
            let capacity = multiple * share * cores * span as f64;
            if work as f64 > capacity {
                let reason = format!(
                    "{work} us of work in {span} us, over {multiple} times what it can do ({capacity:.0} us)"
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
