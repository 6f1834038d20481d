//! Rule 5: a front end sends load requests in proportion to the calls it accepted.

use super::Auditor;
use crate::report::Violation;
use crate::rules::LoadBudget;

impl Auditor<'_> {
    /// Load requests that exceed the front end's budget in the period before them.
    pub(super) fn excess_load_requests(&self) -> Vec<Violation> {
        let Some(LoadBudget {
            free,
            per_call,
            period,
        }) = self.rules.load_budget
        else {
            return Vec::new();
        };
        let mut violations = Vec::new();
        for (index, (at, front)) in self.load_requests.iter().enumerate() {
            let process_start = self.last_kill(*front, *at);
            // Sending may be delayed while a connection is made, so only requests that were surely decided within the period count.
            let surely_within = |time: i64| {
                time >= process_start && time <= *at && at - time < period - self.rules.connect_time
            };
            let requests = self.load_requests[..=index]
                .iter()
                .filter(|(time, by)| by == front && surely_within(*time))
                .count();
            // Calls near the start of the period count, because the front end may have received them later than the proxy.
            let maybe_within = |time: i64| {
                time >= process_start
                    && time <= *at
                    && at - time < period + self.rules.clock_tolerance
            };
            let accepted = self
                .calls
                .values()
                .filter(|call| call.front == *front && maybe_within(call.at))
                .count();
            if requests as f64 > free + per_call * accepted as f64 {
                violations.push(Violation {
                    rule: 5,
                    at: *at,
                    subject: format!("front end {front}"),
                    reason: format!("{requests} load requests for {accepted} calls accepted"),
                });
            }
        }
        violations
    }

    /// When the front end was last killed up to `until`, or 0. A restarted process begins with a new budget.
    fn last_kill(&self, front: usize, until: i64) -> i64 {
        let kills = self.kills.iter();
        kills
            .filter(|(time, killed)| *killed == front && *time <= until)
            .map(|(time, _)| *time)
            .max()
            .unwrap_or(0)
    }
}
