//! Estimates from what was observed: times, rates and ratios that decay.

use super::*;

/// Answers under which a worker is presumed to be as its kind, and a kind as all.
pub(super) const FEW: f64 = 4.0;

/// Weight of one sample in slow averages.
pub(super) const GAIN: f64 = 0.1;

/// Idle lives over which a function's rate is taken: with many siblings each sees few calls of it.
pub(super) const RATE_LIVES: Span = 2;

pub(super) const ALL: usize = usize::MAX; // All kinds of workers together, among the kinds.

/// Guess of a service time before any answer, as a part of the class's aim.
pub(super) const FIRST_SERVICE: f64 = 0.2;

/// A mean and a mean deviation, both in microseconds.
#[derive(Default, Clone, Copy)]
pub(super) struct Typical {
    pub(super) mean: f64,
    pub(super) dev: f64,
}

impl Typical {
    pub(super) fn add(&mut self, x: f64) {
        if self.mean == 0.0 {
            *self = Typical {
                mean: x,
                dev: x / 2.0,
            };
        } else {
            self.dev += GAIN * ((x - self.mean).abs() - self.dev);
            self.mean += GAIN * (x - self.mean);
        }
    }
}

/// A sum that decays over `memory`.
#[derive(Default, Clone, Copy)]
pub(super) struct Recent {
    pub(super) sum: f64,
    pub(super) at: Time,
}

impl Recent {
    pub(super) fn add(&mut self, now: Time, x: f64, memory: f64) {
        *self = Recent {
            sum: x + self.sum * (-(now.since(self.at) as f64) / memory).exp(),
            at: now,
        };
    }
}

/// Lately: times taken over those expected, summed, and their number.
#[derive(Default, Clone, Copy)]
pub(super) struct Pace(pub(super) Recent, pub(super) Recent);

impl Pace {
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
        (self.0.sum + FEW * presumed) / (self.1.sum + FEW)
    }
}

impl Router {
    /// How slowly a kind of worker answers, as far as seen.
    pub(super) fn slowness(&self, kind: usize) -> f64 {
        self.kinds.get(&kind).map_or(1.0, |k| k.slowness(1.0))
    }

    /// What this call should take on a warm lane, microseconds, and its weight among its function's calls.
    pub(super) fn expected(&self, r: &Request) -> (f64, f64) {
        let f = self.functions.get(&r.function);
        let base = f.and_then(|f| f.service).unwrap_or(self.service(r.class));
        let mean = f.map_or(0.0, |f| f.mean_hint);
        let weight = r
            .hint
            .filter(|_| mean > 0.0)
            .map_or(1.0, |h| h as f64 / mean);
        (base * weight, weight)
    }

    /// What calls of a class take on a warm lane, microseconds.
    pub(super) fn service(&self, class: usize) -> f64 {
        let guess = || self.set.classes[class].aim as f64 * FIRST_SERVICE;
        self.services.get(&class).copied().unwrap_or_else(guess)
    }

    /// What an answer usually takes of late, queues and chance included.
    pub(super) fn answer_time(&self) -> f64 {
        let seen = self.answers.mean + self.answers.dev;
        Some(seen)
            .filter(|s| *s > 0.0)
            .unwrap_or(2.0 * self.service(0))
    }

    /// Time over which the rate of a function is taken.
    pub(super) fn memory(&self) -> f64 {
        (self.set.idle_life.max(SECOND) * RATE_LIVES) as f64
    }

    /// How far a sum over that time has filled since our own start; half an idle life at least, for chance.
    pub(super) fn filled(&self, now: Time) -> f64 {
        let memory = self.memory();
        let filled = memory * (1.0 - (-(now.since(self.began) as f64) / memory).exp());
        filled.max(self.set.idle_life.max(SECOND) as f64 / 2.0)
    }
}
