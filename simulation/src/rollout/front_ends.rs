//! The simulated front ends: traffic, losses and reported counters.

use super::{Regression, RolloutOptions};
use rand::rngs::StdRng;
use rand_distr::{Binomial, Distribution, LogNormal, Normal};
use std::collections::BTreeMap;
use tansy_canary::{FrontEndReport, RequestCounters};
use tansy_rollout::FrontEndObservation;

/// The request classes and their shares of the traffic.
const CLASSES: [(&str, f64); 2] = [("read", 0.8), ("pay", 0.2)];
/// Index of the class that [`Regression::Class`] affects.
const AFFECTED_CLASS: usize = 1;
/// Index of the zone that [`Regression::Zone`] affects.
const AFFECTED_ZONE: usize = 0;
/// Latency of the slowest answers, in milliseconds.
const SLOWEST_MS: u64 = 320;
/// Latencies in milliseconds, each with its share of the answers not covered by earlier entries. The rest takes 10 ms.
const LATENCY_SHARES: [(u64, f64); 5] = [
    (SLOWEST_MS, 0.005),
    (160, 0.015),
    (80, 0.06),
    (40, 0.13),
    (20, 0.4),
];
/// Duration of a restart in seconds.
const RESTART_SECONDS: i64 = 3;

/// A simulated front end.
struct SimulatedFrontEnd {
    name: String,
    zone: usize,
    /// Requests per second.
    rate: f64,
    /// Share of requests that is normally lost.
    loss: f64,
    /// Whether the front end runs the change.
    changed: bool,
    /// Seconds until the restart completes; 0 while the front end is running.
    restarting: i64,
    started: i64,
    incarnation: u64,
    memory: f64,
    counters: BTreeMap<String, RequestCounters>,
}

/// The conditions that affect all traffic in one second.
pub(super) struct TrafficConditions {
    pub(super) regression: Regression,
    /// A failed zone, which loses most of its requests.
    pub(super) lost_zone: Option<usize>,
    /// Factor applied to the normal traffic.
    pub(super) load: f64,
}

/// The number of requests of one class at a front end in one second.
pub(super) struct ClassRequests {
    pub(super) requests: u64,
    pub(super) changed: bool,
}

/// All front ends, with the losses that the front ends of a zone share.
pub(super) struct FrontEnds {
    all: Vec<SimulatedFrontEnd>,
    /// By zone: the current addition to the loss of its front ends.
    zone_loss: Vec<f64>,
}

impl FrontEnds {
    /// Draws the request rate and normal loss of each front end.
    pub(super) fn draw(options: &RolloutOptions, rng: &mut StdRng) -> FrontEnds {
        let rates = LogNormal::new(0.0, 0.6).expect("the parameters are valid");
        let losses = LogNormal::new(0.0, 0.3).expect("the parameters are valid");
        let all = (0..options.front_ends).map(|index| SimulatedFrontEnd {
            name: format!("f{index}"),
            zone: index % options.zones,
            rate: options.rate * rates.sample(rng),
            loss: options.loss * losses.sample(rng),
            changed: false,
            restarting: 0,
            started: -1000,
            incarnation: 1,
            memory: 20.0,
            counters: CLASSES
                .iter()
                .map(|(class, _)| (class.to_string(), RequestCounters::default()))
                .collect(),
        });
        FrontEnds {
            all: all.collect(),
            zone_loss: vec![0.0; options.zones],
        }
    }

    /// Simulates one second of traffic and returns the requests by front end and class.
    pub(super) fn serve_one_second(
        &mut self,
        rng: &mut StdRng,
        now: i64,
        conditions: &TrafficConditions,
    ) -> Vec<ClassRequests> {
        // The shared loss of a zone is autocorrelated over several seconds.
        let zone_noise = Normal::new(0.0, 0.004).expect("the parameters are valid");
        for loss in &mut self.zone_loss {
            *loss = 0.9 * *loss + zone_noise.sample(rng);
        }
        let shifted: Vec<f64> = (0..self.zone_loss.len())
            .map(|zone| self.shifted_load(zone, conditions.regression))
            .collect();
        let mut served = Vec::new();
        for front_end in &mut self.all {
            if front_end.restarting > 0 {
                front_end.continue_restart(now);
                continue;
            }
            let shifted = if front_end.changed {
                0.0
            } else {
                shifted[front_end.zone]
            };
            let zone_loss = self.zone_loss[front_end.zone];
            for class in 0..CLASSES.len() {
                let requests =
                    front_end.serve_class(rng, now, conditions, class, zone_loss, shifted);
                served.push(ClassRequests {
                    requests,
                    changed: front_end.changed,
                });
            }
        }
        served
    }

    /// The load that changed front ends of a zone reject and each unchanged one takes over, as a share of its own load.
    fn shifted_load(&self, zone: usize, regression: Regression) -> f64 {
        let Regression::Shed(share) = regression else {
            return 0.0;
        };
        let rate = |changed: bool| {
            self.all
                .iter()
                .filter(|f| f.zone == zone && f.changed == changed)
                .map(|f| f.rate)
                .sum::<f64>()
        };
        share * rate(true) / rate(false).max(1.0)
    }

    /// Restarts a front end with or without the change.
    pub(super) fn restart(&mut self, name: &str, changed: bool) {
        if let Some(front_end) = self.all.iter_mut().find(|f| f.name == name) {
            front_end.changed = changed;
            front_end.restarting = RESTART_SECONDS;
        }
    }

    /// The observation of each front end for the rollout controller.
    pub(super) fn observations(&self, now: i64) -> Vec<FrontEndObservation> {
        self.all.iter().map(|f| f.observation(now)).collect()
    }
}

impl SimulatedFrontEnd {
    /// Advances a restart by one second; when it completes, the counters are reset.
    fn continue_restart(&mut self, now: i64) {
        self.restarting -= 1;
        if self.restarting == 0 {
            self.started = now;
            self.incarnation += 1;
            for counters in self.counters.values_mut() {
                *counters = RequestCounters::default();
            }
        }
    }

    /// Draws and counts the requests of one class in one second, and returns their number.
    fn serve_class(
        &mut self,
        rng: &mut StdRng,
        now: i64,
        conditions: &TrafficConditions,
        class: usize,
        zone_loss: f64,
        shifted: f64,
    ) -> u64 {
        let (name, class_share) = CLASSES[class];
        let mean = self.rate * class_share * conditions.load * (1.0 + shifted);
        let requests = poisson(rng, mean);
        let loss = self.loss_of(now, conditions, class, zone_loss, shifted);
        let (mut slow, mut rejected_share) = (0.0, 0.0);
        if self.changed {
            match conditions.regression {
                Regression::Slow(share) => slow += share,
                Regression::Shed(share) => rejected_share = share,
                Regression::Leak(seconds_per_mb) => self.memory += class_share / seconds_per_mb,
                _ => {}
            }
        }
        let rejected = binomial(rng, requests, rejected_share);
        let failed = binomial(rng, requests - rejected, loss);
        let served = requests - rejected - failed;
        let counters = self.counters.get_mut(name).expect("every class is counted");
        counters.requested += requests;
        counters.served += served;
        counters.rejected += rejected;
        counters.failed += failed;
        counters.value_requested += requests as f64;
        counters.value_served += served as f64;
        record_latencies(rng, counters, served, slow);
        requests
    }

    /// The current loss of the front end in a class.
    fn loss_of(
        &self,
        now: i64,
        conditions: &TrafficConditions,
        class: usize,
        zone_loss: f64,
        shifted: f64,
    ) -> f64 {
        // Overload slightly increases the loss.
        let mut loss = self.loss + zone_loss.max(-self.loss) + 0.1 * (conditions.load - 1.0) * 0.2;
        if conditions.lost_zone == Some(self.zone) {
            loss = 0.7;
        }
        // After a start the front end has no endpoint state for some seconds.
        let fresh = now - self.started < 5;
        loss += if fresh { 0.3 } else { 0.0 };
        if self.changed {
            loss += match conditions.regression {
                Regression::All(share) => share,
                Regression::Class(share) if class == AFFECTED_CLASS => share,
                Regression::Zone(share) if self.zone == AFFECTED_ZONE => share,
                Regression::Late(share) if now - self.started >= 120 => share,
                _ => 0.0,
            };
        }
        // Load shifted from changed front ends increases the loss of unchanged ones.
        loss += 0.3 * shifted;
        loss.clamp(0.0, 1.0)
    }

    fn observation(&self, now: i64) -> FrontEndObservation {
        FrontEndObservation {
            ready: self.restarting == 0,
            report: FrontEndReport {
                name: self.name.clone(),
                zone: format!("z{}", self.zone),
                is_canary: self.changed,
                incarnation: self.incarnation,
                uptime_seconds: (now - self.started) as f64,
                classes: self.counters.clone(),
                memory_mb: self.memory,
                guard_interventions: 0,
            },
        }
    }
}

/// Distributes served requests over the latencies; `slow` is added to the share of the slowest.
fn record_latencies(rng: &mut StdRng, counters: &mut RequestCounters, served: u64, slow: f64) {
    let mut left = served;
    for (ms, share) in LATENCY_SHARES {
        let added = if ms == SLOWEST_MS { slow } else { 0.0 };
        let count = binomial(rng, left, share + added);
        // All these values are within the range of the histogram.
        let _ = counters.latency.record_n(ms * 1000, count);
        left -= count;
    }
    let _ = counters.latency.record_n(10_000, left);
}

fn binomial(rng: &mut StdRng, trials: u64, probability: f64) -> u64 {
    Binomial::new(trials, probability.clamp(0.0, 1.0)).map_or(0, |b| b.sample(rng))
}

fn poisson(rng: &mut StdRng, mean: f64) -> u64 {
    rand_distr::Poisson::new(mean.max(1e-9))
        .map_or(0, |p: rand_distr::Poisson<f64>| p.sample(rng) as u64)
}
