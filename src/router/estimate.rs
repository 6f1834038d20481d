//! Estimates of service times, answer times and rates from what was observed.

use super::attempt::EndedAttempt;
use super::request::Request;
use super::Router;
use crate::{AttemptResult, Micros, Outcome, Time, SECOND};

/// Weight of one sample in slow averages.
pub(super) const SMOOTHING: f64 = 0.1;

/// Under so many answers a worker is presumed to be like its kind, and a kind like all workers.
const PRIOR_SAMPLES: f64 = 4.0;

/// Idle lives over which the rate of a function is taken: with many siblings each sees few of its calls.
const RATE_WINDOW_IDLE_LIVES: Micros = 2;

/// The key of all kinds of workers together among the ratios by kind.
pub(super) const ALL_KINDS: usize = usize::MAX;

/// The first guess of a service time, before any answer, as a share of the class's latency objective.
const INITIAL_SERVICE_SHARE: f64 = 0.2;

/// A smoothed mean and mean deviation of times.
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

/// A sum whose terms decay exponentially over a window.
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

/// A mean whose samples decay exponentially over a window.
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

    /// The mean; 1 while there is none.
    pub(super) fn mean_or_one(&self) -> f64 {
        let mean = self.sum.sum / self.count.sum;
        if mean >= 0.0 {
            mean
        } else {
            1.0
        }
    }

    /// The mean together with [`PRIOR_SAMPLES`] samples of a presumed value.
    fn mean_with_prior(&self, presumed: f64) -> f64 {
        (self.sum.sum + PRIOR_SAMPLES * presumed) / (self.count.sum + PRIOR_SAMPLES)
    }
}

/// The mean of service times over those expected: above 1 for what answers more slowly than usual.
#[derive(Default, Clone, Copy)]
pub(super) struct ServiceTimeRatio(DecayingMean);

impl ServiceTimeRatio {
    pub(super) fn add(&mut self, now: Time, ratio: f64, window: f64) {
        self.0.add(now, ratio, window);
    }

    /// How slow it is, where few answers are taken with a presumed slowness.
    pub(super) fn slowness(&self, presumed: f64) -> f64 {
        self.0.mean_with_prior(presumed)
    }

    /// A lower bound of its slowness for any presumed value that is not below its own mean.
    pub(super) fn observed(&self) -> f64 {
        self.0.mean_or_one()
    }
}

/// What a call is expected to take.
pub(super) struct ExpectedService {
    /// Microseconds in a warm lane.
    pub(super) time: f64,
    /// Its work over the mean work of its function's calls.
    pub(super) relative_work: f64,
}

/// A low estimate of service times: it falls fast and rises slowly, so that time spent in queues weighs little.
fn low_estimate(old: f64, sample: f64) -> f64 {
    let gain = if sample < old {
        2.0 * SMOOTHING
    } else {
        SMOOTHING / 2.0
    };
    old + (sample - old) * gain
}

impl Router {
    /// How slowly a kind of workers answers, as far as observed.
    pub(super) fn kind_slowness(&self, kind: usize) -> f64 {
        self.kind_ratios
            .get(&kind)
            .map_or(1.0, |ratio| ratio.slowness(1.0))
    }

    /// Keeps the lower bound of all slowness that ends the search for preferred workers early.
    pub(super) fn update_lowest_slowness(&mut self) {
        let of_workers = self.workers.values().map(|worker| &worker.service_ratio);
        let ratios = of_workers.chain(self.kind_ratios.values());
        self.lowest_slowness = ratios.map(ServiceTimeRatio::observed).fold(1.0, f64::min);
    }

    /// What this call should take.
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

    /// What calls of a class take in a warm lane, microseconds.
    pub(super) fn service_time(&self, class: usize) -> f64 {
        let guess =
            || self.settings.classes[class].latency_objective as f64 * INITIAL_SERVICE_SHARE;
        self.class_service_times
            .get(&class)
            .copied()
            .unwrap_or_else(guess)
    }

    /// What an answer usually takes of late, queues and chance included.
    pub(super) fn usual_answer_time(&self) -> f64 {
        let observed = self.answer_times.mean + self.answer_times.deviation;
        if observed > 0.0 {
            observed
        } else {
            2.0 * self.service_time(0)
        }
    }

    /// Learns from a served call how long answers and services take, and how much work is done.
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
        let work_per_share = if self.total_share > 0.0 {
            self.service_time(ended.class) / self.total_share
        } else {
            0.0
        };
        let window = self.rate_window();
        self.recent_work.add(now, work_per_share, window);
    }

    /// Learns how much slower than expected a worker and its kind answer, and how busy workers are.
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
            self.busy_cores.add(now, busy, window);
        }
        if !(ended.ran && ended.warm) {
            return;
        }
        let ratio = ended.took / ended.expected.time.max(1.0);
        worker.service_ratio.add(now, ratio, window);
        self.lowest_slowness = self.lowest_slowness.min(ratio);
        for kind in [worker.entry.kind, ALL_KINDS] {
            let of_kind = self.kind_ratios.entry(kind).or_default();
            of_kind.add(now, ratio, window);
        }
    }

    /// The window over which rates are taken, microseconds.
    pub(super) fn rate_window(&self) -> f64 {
        (self.settings.idle_timeout.max(SECOND) * RATE_WINDOW_IDLE_LIVES) as f64
    }

    /// The part of the rate window that has passed since the router started. It is at least half an idle life,
    /// so that a few early events are not taken for a high rate.
    pub(super) fn observed_window(&self, now: Time) -> f64 {
        let window = self.rate_window();
        let age = now.since(self.started_at) as f64;
        let passed = window * (1.0 - (-age / window).exp());
        passed.max(self.settings.idle_timeout.max(SECOND) as f64 / 2.0)
    }
}
