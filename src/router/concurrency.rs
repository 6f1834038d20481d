//! Adaptive limit of the calls in flight at a worker.

use super::attempt::EndedAttempt;
use super::estimate::SMOOTHING;
use super::workers::Worker;
use super::Router;
use crate::{AttemptResult, Micros, Outcome, Time};

/// Limit of a worker without observations.
pub(super) const INITIAL_LIMIT: f64 = 4.0;

/// Minimum of the sum of all front ends' limits of a worker, in calls.
const MIN_FLEET_LIMIT: f64 = 2.0;

/// Factor of a multiplicative decrease.
const LIMIT_DECREASE: f64 = 0.8;

/// The limit grows only if at most this much of it is unused, the place of the call that just ended included.
const UNUSED_LIMIT: f64 = 1.5;

/// A worker that reports a lower core utilization counts as idle.
pub(super) const IDLE_UTILIZATION: f64 = 0.5;

impl Worker {
    /// Returns how much longer a worker with a limit below one call gets no call, where a call takes `service_time`.
    /// Zero or negative if it may get one now.
    pub(super) fn pacing_delay(&self, service_time: f64, now: Time) -> f64 {
        if self.concurrency_limit < 1.0 {
            let since_last = self
                .last_send
                .map_or(f64::MAX, |sent| now.since(sent) as f64);
            service_time / self.concurrency_limit - since_last
        } else {
            0.0
        }
    }

    /// Whether the limit allows one more call.
    pub(super) fn has_spare_concurrency(&self, service_time: f64, now: Time) -> bool {
        (self.in_flight as f64) < self.concurrency_limit.max(1.0)
            && self.pacing_delay(service_time, now) <= 0.0
    }
}

impl Router {
    /// Adapts the limit of a worker by additive increase and multiplicative decrease.
    ///
    /// # Departure from the base algorithm
    ///
    /// The calls in flight at a worker are limited to what it answers in good time, whatever slows it down: calls of
    /// other front ends, few cores or an overload. With many front ends, the limit of one can be below one call; it
    /// is then the fraction of time for which a call may be there ([`Worker::pacing_delay`]). Slow answers of a
    /// worker with idle cores are ignored, as fewer calls would not make them faster.
    ///
    /// Trade-off: some capacity is lost to random variation of answer times.
    pub(super) fn update_concurrency_limit(
        &mut self,
        now: Time,
        ended: &EndedAttempt,
        result: &AttemptResult,
    ) {
        let observed_window = self.observed_window(now);
        let objective = self.settings.classes[ended.class].latency_objective as f64;
        let Some(worker) = self.workers.get_mut(&ended.worker) else {
            return;
        };
        let expected = ended.expected.time;
        let busy = result.report.and_then(|report| report.utilization);
        let idle = busy.is_some_and(|share| share < IDLE_UTILIZATION);
        let late = ended.duration > objective / 2.0 && ended.duration > 2.0 * expected;
        let slow = ended.ran && ended.warm && late && !idle;
        let overloaded = slow || matches!(result.outcome, Outcome::Rejected | Outcome::TimedOut);
        if overloaded && now.since(worker.limit_cut_at) > expected as Micros {
            let used = if worker.in_flight > 0 {
                worker.concurrency_limit
            } else {
                (expected * worker.recent_sends.sum / observed_window).min(1.0)
            };
            let least = (MIN_FLEET_LIMIT / self.settings.front_ends as f64).min(1.0);
            let decreased = worker.concurrency_limit.min(used) * LIMIT_DECREASE;
            worker.concurrency_limit = decreased.max(least);
            worker.limit_cut_at = now;
        } else if !overloaded
            && ended.ran
            && worker.in_flight as f64 + UNUSED_LIMIT >= worker.concurrency_limit
        {
            let step = (1.0 / worker.concurrency_limit).min(SMOOTHING * worker.concurrency_limit);
            worker.concurrency_limit += step;
        }
    }
}
