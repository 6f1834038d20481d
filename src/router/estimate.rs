//! Estimates of service times, answer times and rates from observations.

use super::attempt::EndedAttempt;
use super::request::Request;
use super::Router;
use crate::{AttemptResult, Micros, Outcome, Time, SECOND};

/// Weight of one sample in slow averages.
pub(super) const SMOOTHING: f64 = 0.1;

/// Weight of the prior, in answers: a worker with few answers is presumed to be like its kind, and a kind like all
/// workers.
const PRIOR_SAMPLES: f64 = 4.0;

/// Window of rates, in idle timeouts. It has to be long, as each of many front ends sees few calls of a function.
const RATE_WINDOW_IDLE_TIMEOUTS: Micros = 2;

/// Key of the ratio over all kinds of workers.
pub(super) const ALL_KINDS: usize = usize::MAX;

/// Initial service time, as a fraction of the latency objective of the class.
const INITIAL_SERVICE_FRACTION: f64 = 0.2;

/// Smoothed mean and mean deviation of durations.
#[derive(Default, Clone, Copy)]
pub(super) struct LatencyEstimate {
    pub(super) mean: f64,
    pub(super) deviation: f64,
}

impl LatencyEstimate {
    pub(super) fn add(&mut self, sample: f64) {
        if self.mean == 0.0 {
            self.mean = sample;
            self.deviation = sample / 2.0;
        } else {
            self.deviation += SMOOTHING * ((sample - self.mean).abs() - self.deviation);
            self.mean += SMOOTHING * (sample - self.mean);
        }
    }
}

/// A sum whose terms decay exponentially.
#[derive(Default, Clone, Copy)]
pub(super) struct DecayingSum {
    pub(super) sum: f64,
    pub(super) updated_at: Time,
}

impl DecayingSum {
    pub(super) fn add(&mut self, now: Time, term: f64, window: f64) {
        let age = now.since(self.updated_at) as f64;
        self.sum = term + self.sum * (-age / window).exp();
        self.updated_at = now;
    }
}

/// A mean whose samples decay exponentially.
#[derive(Default, Clone, Copy)]
pub(super) struct DecayingMean {
    sum: DecayingSum,
    count: DecayingSum,
}

impl DecayingMean {
    pub(super) fn add(&mut self, now: Time, sample: f64, window: f64) {
        self.sum.add(now, sample, window);
        self.count.add(now, 1.0, window);
    }

    /// Returns the mean, or 1 if there are no samples.
    pub(super) fn mean_or_one(&self) -> f64 {
        let mean = self.sum.sum / self.count.sum;
        if mean >= 0.0 {
            mean
        } else {
            1.0
        }
    }

    /// Returns the mean including [`PRIOR_SAMPLES`] samples of a presumed value.
    fn mean_with_prior(&self, presumed: f64) -> f64 {
        (self.sum.sum + PRIOR_SAMPLES * presumed) / (self.count.sum + PRIOR_SAMPLES)
    }
}

/// Mean ratio of observed to expected service time: above 1 for slow workers.
#[derive(Default, Clone, Copy)]
pub(super) struct ServiceTimeRatio(DecayingMean);

impl ServiceTimeRatio {
    pub(super) fn add(&mut self, now: Time, ratio: f64, window: f64) {
        self.0.add(now, ratio, window);
    }

    /// Returns the mean ratio, with `presumed` as its prior.
    pub(super) fn slowness(&self, presumed: f64) -> f64 {
        self.0.mean_with_prior(presumed)
    }

    /// Returns the mean ratio without prior, a lower bound of `slowness` for any presumed value that is not below it.
    pub(super) fn observed(&self) -> f64 {
        self.0.mean_or_one()
    }
}

/// Expected service of a call.
pub(super) struct ExpectedService {
    /// Service time in a warm lane, in microseconds.
    pub(super) time: f64,
    /// Its work divided by the mean work of the calls of its function.
    pub(super) relative_work: f64,
}

/// Updates a low estimate of service times. It falls fast and rises slowly, so that queueing time has little weight.
fn low_estimate(old: f64, sample: f64) -> f64 {
    let gain = if sample < old {
        2.0 * SMOOTHING
    } else {
        SMOOTHING / 2.0
    };
    old + (sample - old) * gain
}

impl Router {
    /// Returns the slowness of a kind of workers.
    pub(super) fn kind_slowness(&self, kind: usize) -> f64 {
        self.kind_ratios
            .get(&kind)
            .map_or(1.0, |ratio| ratio.slowness(1.0))
    }

    /// Updates the lower bound of the slowness of all workers, which ends the search for preferred workers early.
    pub(super) fn update_lowest_slowness(&mut self) {
        let of_workers = self.workers.values().map(|worker| &worker.service_ratio);
        let ratios = of_workers.chain(self.kind_ratios.values());
        self.lowest_slowness = ratios.map(ServiceTimeRatio::observed).fold(1.0, f64::min);
    }

    /// Returns the expected service of a call.
    pub(super) fn expected_service(&self, request: &Request) -> ExpectedService {
        let function = self.functions.get(&request.function);
        let usual = function
            .and_then(|function| function.service_time)
            .unwrap_or(self.service_time(request.class));
        let mean_hint = function.map_or(0.0, |function| function.mean_work_hint);
        let relative_work = match request.work_hint {
            Some(hint) if mean_hint > 0.0 => hint as f64 / mean_hint,
            _ => 1.0,
        };
        ExpectedService {
            time: usual * relative_work,
            relative_work,
        }
    }

    /// Returns the service time of a class in a warm lane, in microseconds.
    pub(super) fn service_time(&self, class: usize) -> f64 {
        let guess =
            || self.settings.classes[class].latency_objective as f64 * INITIAL_SERVICE_FRACTION;
        self.class_service_times
            .get(&class)
            .copied()
            .unwrap_or_else(guess)
    }

    /// Returns the usual answer time: the recent mean, including queueing, plus its mean deviation.
    pub(super) fn usual_answer_time(&self) -> f64 {
        let observed = self.answer_times.mean + self.answer_times.deviation;
        if observed > 0.0 {
            observed
        } else {
            2.0 * self.service_time(0)
        }
    }

    /// Updates answer times, service times and the amount of work from a served call.
    pub(super) fn learn_service_time(
        &mut self,
        now: Time,
        ended: &EndedAttempt,
        result: &AttemptResult,
    ) {
        let Some(function) = self.functions.get(&ended.function) else {
            return;
        };
        if result.outcome != Outcome::Served {
            return;
        }
        if ended.warm {
            let latency = result.latency.max(1) as f64;
            let sample = latency / ended.expected.relative_work;
            self.answer_times.add(latency);
            let of_function = function
                .service_time
                .map_or(sample, |old| low_estimate(old, sample));
            let of_class = low_estimate(self.service_time(ended.class), sample);
            self.class_service_times.insert(ended.class, of_class);
            if let Some(function) = self.functions.get_mut(&ended.function) {
                function.service_time = Some(of_function);
            }
        }
        let work_per_size = if self.total_size > 0.0 {
            self.service_time(ended.class) / self.total_size
        } else {
            0.0
        };
        let window = self.rate_window();
        self.recent_work.add(now, work_per_size, window);
    }

    /// Updates the slowness of a worker and its kind, and the core utilization of workers.
    pub(super) fn learn_slowness(
        &mut self,
        now: Time,
        ended: &EndedAttempt,
        result: &AttemptResult,
    ) {
        let window = self.rate_window();
        let Some(worker) = self.workers.get_mut(&ended.worker) else {
            return;
        };
        if let Some(busy) = result.report.and_then(|report| report.utilization) {
            self.core_utilization.add(now, busy, window);
        }
        if !(ended.ran && ended.warm) {
            return;
        }
        let ratio = ended.duration / ended.expected.time.max(1.0);
        worker.service_ratio.add(now, ratio, window);
        self.lowest_slowness = self.lowest_slowness.min(ratio);
        for kind in [worker.entry.kind, ALL_KINDS] {
            let of_kind = self.kind_ratios.entry(kind).or_default();
            of_kind.add(now, ratio, window);
        }
    }

    /// Returns the window of rates, in microseconds.
    pub(super) fn rate_window(&self) -> f64 {
        (self.settings.idle_timeout.max(SECOND) * RATE_WINDOW_IDLE_TIMEOUTS) as f64
    }

    /// Returns the part of the rate window that has passed since the router started, but at least half an idle
    /// timeout, so that a few early events do not appear as a high rate.
    pub(super) fn observed_window(&self, now: Time) -> f64 {
        let window = self.rate_window();
        let age = now.since(self.started_at) as f64;
        let passed = window * (1.0 - (-age / window).exp());
        passed.max(self.settings.idle_timeout.max(SECOND) as f64 / 2.0)
    }
}
