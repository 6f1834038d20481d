//! Estimates from what was observed: times, rates and ratios that decay.

use super::*;

/// Answers under which a worker is presumed to be as its kind, and a kind as all.
pub(super) const PRIOR_SAMPLES: f64 = 4.0;

/// Weight of one sample in slow averages.
pub(super) const SMOOTHING: f64 = 0.1;

/// Idle lives over which a function's rate is taken: with many siblings each sees few calls of it.
pub(super) const RATE_WINDOW_IDLE_LIVES: Span = 2;

pub(super) const ALL_KINDS: usize = usize::MAX; // All kinds of workers together, among the kinds.

/// Guess of a service time before any answer, as a part of the class's aim.
pub(super) const INITIAL_SERVICE_SHARE: f64 = 0.2;

/// A mean and a mean deviation, both in microseconds.
#[derive(Default, Clone, Copy)]
pub(super) struct LatencyEstimate {
    pub(super) mean: f64,
    pub(super) dev: f64,
}

impl LatencyEstimate {
    pub(super) fn add(&mut self, x: f64) {
        if self.mean == 0.0 {
            *self = LatencyEstimate {
                mean: x,
                dev: x / 2.0,
            };
        } else {
            self.dev += SMOOTHING * ((x - self.mean).abs() - self.dev);
            self.mean += SMOOTHING * (x - self.mean);
        }
    }
}

/// A sum that decays over `memory`.
#[derive(Default, Clone, Copy)]
pub(super) struct DecayingSum {
    pub(super) sum: f64,
    pub(super) at: Time,
}

impl DecayingSum {
    pub(super) fn add(&mut self, now: Time, x: f64, memory: f64) {
        *self = DecayingSum {
            sum: x + self.sum * (-(now.since(self.at) as f64) / memory).exp(),
            at: now,
        };
    }
}

/// Lately: times taken over those expected, summed, and their number.
#[derive(Default, Clone, Copy)]
pub(super) struct ServiceTimeRatio(pub(super) DecayingSum, pub(super) DecayingSum);

impl ServiceTimeRatio {
    pub(super) fn add(&mut self, now: Time, ratio: f64, memory: f64) {
        self.0.add(now, ratio, memory);
        self.1.add(now, 1.0, memory);
    }
    /// What its slowness is never under, whatever is presumed: that is no less than one's own.
    pub(super) fn least(&self) -> f64 {
        Some(self.0.sum / self.1.sum)
            .filter(|r| *r >= 0.0)
            .unwrap_or(1.0)
    }
    pub(super) fn slowness(&self, presumed: f64) -> f64 {
        (self.0.sum + PRIOR_SAMPLES * presumed) / (self.1.sum + PRIOR_SAMPLES)
    }
}

impl Router {
    /// How slowly a kind of worker answers, as far as seen.
    pub(super) fn kind_slowness(&self, kind: usize) -> f64 {
        self.kind_ratios.get(&kind).map_or(1.0, |k| k.slowness(1.0))
    }

    /// What this call should take on a warm lane, microseconds, and its weight among its function's calls.
    pub(super) fn expected_service(&self, r: &Request) -> (f64, f64) {
        let f = self.functions.get(&r.function);
        let base = f
            .and_then(|f| f.service_time)
            .unwrap_or(self.service_time(r.class));
        let mean = f.map_or(0.0, |f| f.mean_work_hint);
        let weight = r
            .work_hint
            .filter(|_| mean > 0.0)
            .map_or(1.0, |h| h as f64 / mean);
        (base * weight, weight)
    }

    /// What calls of a class take on a warm lane, microseconds.
    pub(super) fn service_time(&self, class: usize) -> f64 {
        let guess = || self.settings.classes[class].aim as f64 * INITIAL_SERVICE_SHARE;
        self.class_service_times
            .get(&class)
            .copied()
            .unwrap_or_else(guess)
    }

    /// What an answer usually takes of late, queues and chance included.
    pub(super) fn usual_answer_time(&self) -> f64 {
        let seen = self.answer_times.mean + self.answer_times.dev;
        Some(seen)
            .filter(|s| *s > 0.0)
            .unwrap_or(2.0 * self.service_time(0))
    }

    /// Time over which the rate of a function is taken.
    pub(super) fn rate_window(&self) -> f64 {
        (self.settings.idle_life.max(SECOND) * RATE_WINDOW_IDLE_LIVES) as f64
    }

    /// How far a sum over that time has filled since our own start; half an idle life at least, for chance.
    pub(super) fn observed_window(&self, now: Time) -> f64 {
        let memory = self.rate_window();
        let filled = memory * (1.0 - (-(now.since(self.started_at) as f64) / memory).exp());
        filled.max(self.settings.idle_life.max(SECOND) as f64 / 2.0)
    }
}
