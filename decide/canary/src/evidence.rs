//! Evidence on one difference, watched as it comes in.
//!
//! Each slice of time gives a difference between the sides and how exact it is. The question is whether its mean is over
//! zero, now or since some moment. The answer may be looked at after every slice: what is compared with a bound is a mixture
//! of likelihood ratios (Robbins 1970, with a prior on effects over zero), mixed again over the moments at which an effect may
//! have begun. By Ville's inequality it ever passes `1/a` with probability `a` at most, if nothing is worse, as far as a
//! slice's difference is as exact as stated and nearly normal. That is checked in the model by whole rolls.

use statrs::distribution::{ContinuousCDF, Normal};

/// One slice's difference.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// New less old; over zero is worse.
    pub x: f64,
    /// Variance that counting alone gives it.
    pub v: f64,
}

/// Differences before the change, between the same front ends: what is theirs and not the change's.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prior {
    /// Their mean.
    pub mean: f64,
    /// Its variance.
    pub variance: f64,
    /// By how much slices vary more than counting alone gives: 1 or more.
    pub spread: f64,
}

impl Prior {
    /// From slices. Few say little: the spread is taken larger then.
    pub fn of(points: &[Observation]) -> Prior {
        let information: f64 = points.iter().map(|p| 1.0 / p.v).sum();
        if points.len() < 2 || information <= 0.0 {
            return Prior {
                mean: 0.0,
                variance: f64::INFINITY,
                spread: 1.0,
            };
        }
        let n = points.len() as f64;
        let mean = points.iter().map(|p| p.x / p.v).sum::<f64>() / information;
        let chi = points
            .iter()
            .map(|p| (p.x - mean).powi(2) / p.v)
            .sum::<f64>();
        let spread = (chi / (n - 1.0)).max(1.0) * (1.0 + (2.0 / (n - 1.0)).sqrt());
        Prior {
            mean,
            variance: spread / information,
            spread,
        }
    }

    /// What is taken off for the mean's own error, so that it passes for an effect with this probability at most.
    fn margin(&self, error: f64) -> f64 {
        let z = normal().inverse_cdf(1.0 - error.clamp(1e-12, 0.5));
        z * self.variance.sqrt()
    }
}

fn normal() -> Normal {
    Normal::standard()
}

/// What the evidence says of the difference.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The mean difference, what was there before taken off.
    pub mean: f64,
    /// Half of the interval around it that holds it at all looks together.
    pub half: f64,
    /// Times as likely under an effect as under none; the bound is `1/error`.
    pub ratio: f64,
    /// The mean since the moment at which an effect would have begun most likely.
    pub lately: f64,
    /// Slices.
    pub slices: usize,
}

/// The evidence, as it came in.
#[derive(Clone, Debug, Default)]
pub struct SequentialTest {
    points: Vec<Observation>,
}

/// Slices that are remembered; older ones are taken together by twos.
const MOST: usize = 1024;

impl SequentialTest {
    /// A further slice. One without a difference of a known exactness says nothing.
    pub fn add(&mut self, p: Observation) {
        if p.x.is_finite() && p.v.is_finite() && p.v > 0.0 {
            self.points.push(p);
        }
        if self.points.len() > MOST {
            let joined = self.points.chunks(2).map(|c| match c {
                [a, b] => {
                    let (i, j) = (1.0 / a.v, 1.0 / b.v);
                    Observation {
                        x: (a.x * i + b.x * j) / (i + j),
                        v: 1.0 / (i + j),
                    }
                }
                one => one[0],
            });
            self.points = joined.collect();
        }
    }

    /// Slices so far.
    pub fn len(&self) -> usize {
        self.points.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.points.is_empty()
    }

    /// How much slices vary more than counting gives, by each beside the one before it: a late shift counts once.
    fn spread(&self) -> f64 {
        let steps = self
            .points
            .windows(2)
            .map(|w| (w[1].x - w[0].x).powi(2) / (w[0].v + w[1].v));
        let (sum, n) = steps.fold((0.0, 0), |(s, n), x| (s + x, n + 1));
        if n < 4 {
            1.0
        } else {
            sum / f64::from(n)
        }
    }

    /// What it says. `effect`: the size of an effect that would matter. `error`: the probability with which it may say that
    /// something is worse when nothing is.
    pub fn estimate(&self, before: &Prior, effect: f64, error: f64) -> Estimate {
        let spread = self.spread().max(before.spread).max(1.0);
        if !before.variance.is_finite() {
            // What is the front ends' own can't be told from what is the change's.
            let information: f64 = self.points.iter().map(|p| 1.0 / p.v).sum();
            let mean = self.points.iter().map(|p| p.x / p.v).sum::<f64>() / information.max(1e-12);
            return Estimate {
                mean,
                half: f64::INFINITY,
                ratio: 0.0,
                lately: mean,
                slices: self.points.len(),
            };
        }
        let (mean0, margin) = (before.mean, before.margin(error / 2.0));
        let tau = 2.0 * effect.max(1e-6);
        let normal = normal();
        // From each moment on to now, the latest first.
        let (mut s, mut shifted, mut information) = (0.0, 0.0, 0.0);
        let n = self.points.len();
        let mut ratio = 1.0 / (n as f64 + 1.0);
        let (mut best, mut lately) = (0.0, 0.0);
        for (back, p) in self.points.iter().rev().enumerate() {
            let i = 1.0 / (p.v * spread);
            s += (p.x - mean0) * i;
            shifted += (p.x - mean0 - margin) * i;
            information += i;
            let began = (n - back) as f64;
            let k = 1.0 + information * tau * tau;
            let log = (2.0_f64).ln() - 0.5 * k.ln()
                + shifted * shifted * tau * tau / (2.0 * k)
                + normal.cdf(shifted * tau / k.sqrt()).max(1e-300).ln();
            let one = log.min(600.0).exp() / (began * (began + 1.0));
            ratio += one;
            if one > best {
                (best, lately) = (one, s / information);
            }
        }
        let (mean, half) = if information > 0.0 {
            let k = 1.0 + information * tau * tau;
            let a = (error / 2.0).max(1e-12);
            let wide = (k / (information * information * tau * tau) * (k / (a * a)).ln()).sqrt();
            (s / information, wide + margin)
        } else {
            (0.0, f64::INFINITY)
        };
        Estimate {
            mean,
            half,
            ratio,
            lately,
            slices: n,
        }
    }

    /// About how many further slices like those so far bring the interval to this half; none: it can't be said, or none do.
    pub fn needs(&self, before: &Prior, effect: f64, error: f64, half: f64) -> Option<usize> {
        let now = self.estimate(before, effect, error);
        if now.slices == 0 || !half.is_finite() || half <= 0.0 {
            return None;
        }
        let mut longer = self.clone();
        let mut n = now.slices;
        while longer.len() < MOST / 2 && n < 20_000 {
            if longer.estimate(before, effect, error).half <= half {
                return Some(n - now.slices);
            }
            let more = longer.points.clone();
            n += more.len();
            longer.points.extend(more);
        }
        None
    }
}
