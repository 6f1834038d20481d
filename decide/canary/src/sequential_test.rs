//! A sequential test on one difference between two sides.
//!
//! Each slice of time gives a difference and its variance. The question is whether the mean difference is over zero, now or since
//! some moment, and the answer may be looked at after every slice. What is compared with a bound is a mixture of likelihood ratios
//! (Robbins 1970, with a prior on effects over zero), mixed again over the moments at which an effect may have begun. By Ville's
//! inequality it ever passes `1/a` with probability `a` at most if the new side is not worse, as far as the stated variances are
//! right and differences are nearly normal. `tansy-simulation` checks that on whole rollouts.

use statrs::distribution::{ContinuousCDF, Normal};

/// The difference of one slice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// New less old; over zero is worse.
    pub difference: f64,
    /// The variance that counting alone gives it.
    pub variance: f64,
}

impl Observation {
    fn information(&self) -> f64 {
        1.0 / self.variance
    }

    /// Two slices as one.
    fn joined(&self, other: &Observation) -> Observation {
        let first = self.information();
        let second = other.information();
        Observation {
            difference: (self.difference * first + other.difference * second) / (first + second),
            variance: 1.0 / (first + second),
        }
    }
}

/// The information of all observations, and their sum weighted by it.
fn weighted(observations: &[Observation]) -> (f64, f64) {
    let information: f64 = observations.iter().map(Observation::information).sum();
    let sum = observations
        .iter()
        .map(|slice| slice.difference / slice.variance)
        .sum::<f64>();
    (information, sum)
}

/// Differences between the same front ends before the change, which are therefore not its effect.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prior {
    /// Their mean.
    pub mean: f64,
    /// The variance of the mean; infinite if it is not known.
    pub variance: f64,
    /// By how much slices vary more than counting alone gives: 1 or more.
    pub spread: f64,
}

impl Prior {
    /// From the slices before the change. The fewer there are, the larger the spread is taken.
    pub fn of(observations: &[Observation]) -> Prior {
        let (information, sum) = weighted(observations);
        if observations.len() < 2 || information <= 0.0 {
            return Prior {
                mean: 0.0,
                variance: f64::INFINITY,
                spread: 1.0,
            };
        }
        let count = observations.len() as f64;
        let mean = sum / information;
        let chi_squared = observations
            .iter()
            .map(|slice| (slice.difference - mean).powi(2) / slice.variance)
            .sum::<f64>();
        let spread = (chi_squared / (count - 1.0)).max(1.0) * (1.0 + (2.0 / (count - 1.0)).sqrt());
        Prior {
            mean,
            variance: spread / information,
            spread,
        }
    }

    /// What is subtracted for the mean's own error, so that it passes for an effect with this probability at most.
    fn margin(&self, error: f64) -> f64 {
        let quantile = Normal::standard().inverse_cdf(1.0 - error.clamp(1e-12, 0.5));
        quantile * self.variance.sqrt()
    }
}

/// What the test says of the difference.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The mean difference less that from before the change.
    pub mean: f64,
    /// Half of the width of the interval around it that holds at all looks together.
    pub half_width: f64,
    /// How many times as likely the slices are under an effect as under none; the bound is `1/error`.
    pub likelihood_ratio: f64,
    /// The mean since the moment at which an effect most likely began.
    pub recent_mean: f64,
    /// Slices that it rests on.
    pub slices: usize,
}

/// The slices of one difference.
#[derive(Clone, Debug, Default)]
pub struct SequentialTest {
    observations: Vec<Observation>,
}

/// Slices that are kept; when there are more, they are joined by twos.
const MAX_SLICES: usize = 1024;
/// Slices, those that are foreseen included, beyond which [`SequentialTest::slices_needed`] gives up.
const MAX_FORESEEN: usize = 20_000;

/// The scan over the moments at which an effect may have begun.
struct Mixture {
    sum: f64,
    information: f64,
    likelihood_ratio: f64,
    recent_mean: f64,
}

impl SequentialTest {
    /// Adds a slice. One without a finite difference and a positive variance says nothing and is left out.
    pub fn add(&mut self, slice: Observation) {
        if slice.difference.is_finite() && slice.variance.is_finite() && slice.variance > 0.0 {
            self.observations.push(slice);
        }
        if self.observations.len() > MAX_SLICES {
            let joined = self.observations.chunks(2).map(|chunk| match chunk {
                [first, second] => first.joined(second),
                single => single[0],
            });
            self.observations = joined.collect();
        }
    }

    /// Slices that are kept.
    pub fn len(&self) -> usize {
        self.observations.len()
    }

    /// Whether there is no slice.
    pub fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }

    /// How much slices vary more than counting gives, each beside its predecessor, so that a shift counts once.
    fn spread(&self) -> f64 {
        let ratios = self.observations.windows(2).map(|pair| {
            (pair[1].difference - pair[0].difference).powi(2)
                / (pair[0].variance + pair[1].variance)
        });
        let (sum, count) = ratios.fold((0.0, 0), |(sum, count), ratio| (sum + ratio, count + 1));
        if count < 4 {
            1.0
        } else {
            sum / f64::from(count)
        }
    }

    /// What the slices say. `effect`: the size of an effect that would matter. `error`: the probability with which the test may
    /// ever say that the new side is worse when it is not.
    pub fn estimate(&self, prior: &Prior, effect: f64, error: f64) -> Estimate {
        if !prior.variance.is_finite() {
            return self.estimate_without_prior();
        }
        let spread = self.spread().max(prior.spread).max(1.0);
        let margin = prior.margin(error / 2.0);
        let scale = 2.0 * effect.max(1e-6);
        let mixture = self.mixture(prior.mean, margin, spread, scale);
        let (mean, half_width) = mixture.interval(error, margin, scale);
        Estimate {
            mean,
            half_width,
            likelihood_ratio: mixture.likelihood_ratio,
            recent_mean: mixture.recent_mean,
            slices: self.observations.len(),
        }
    }

    /// What the front ends differ by on their own can't be told from an effect: there is a mean and no evidence.
    fn estimate_without_prior(&self) -> Estimate {
        let (information, sum) = weighted(&self.observations);
        let mean = sum / information.max(1e-12);
        Estimate {
            mean,
            half_width: f64::INFINITY,
            likelihood_ratio: 0.0,
            recent_mean: mean,
            slices: self.observations.len(),
        }
    }

    /// The likelihood ratio, mixed over effects (of this scale) and over the slices since which there may be one, the latest first.
    fn mixture(&self, prior_mean: f64, margin: f64, spread: f64, scale: f64) -> Mixture {
        let normal = Normal::standard();
        let count = self.observations.len();
        let mut sum = 0.0;
        let mut shifted = 0.0;
        let mut information = 0.0;
        let mut likelihood_ratio = 1.0 / (count as f64 + 1.0);
        let mut largest = 0.0;
        let mut recent_mean = 0.0;
        for (back, slice) in self.observations.iter().rev().enumerate() {
            let weight = 1.0 / (slice.variance * spread);
            sum += (slice.difference - prior_mean) * weight;
            shifted += (slice.difference - prior_mean - margin) * weight;
            information += weight;
            let began = (count - back) as f64;
            let widening = 1.0 + information * scale * scale;
            let logarithm = (2.0_f64).ln() - 0.5 * widening.ln()
                + shifted * shifted * scale * scale / (2.0 * widening)
                + normal
                    .cdf(shifted * scale / widening.sqrt())
                    .max(1e-300)
                    .ln();
            let ratio = logarithm.min(600.0).exp() / (began * (began + 1.0));
            likelihood_ratio += ratio;
            if ratio > largest {
                largest = ratio;
                recent_mean = sum / information;
            }
        }
        Mixture {
            sum,
            information,
            likelihood_ratio,
            recent_mean,
        }
    }

    /// About how many further slices like those so far bring the interval to this half width; `None` if that can't be said or none do.
    pub fn slices_needed(
        &self,
        prior: &Prior,
        effect: f64,
        error: f64,
        half_width: f64,
    ) -> Option<usize> {
        let slices = self.estimate(prior, effect, error).slices;
        if slices == 0 || !half_width.is_finite() || half_width <= 0.0 {
            return None;
        }
        let mut longer = self.clone();
        let mut foreseen = slices;
        while longer.len() < MAX_SLICES / 2 && foreseen < MAX_FORESEEN {
            if longer.estimate(prior, effect, error).half_width <= half_width {
                return Some(foreseen - slices);
            }
            let repeated = longer.observations.clone();
            foreseen += repeated.len();
            longer.observations.extend(repeated);
        }
        None
    }
}

impl Mixture {
    /// The mean over all slices, and half of the width of the interval around it.
    fn interval(&self, error: f64, margin: f64, scale: f64) -> (f64, f64) {
        let information = self.information;
        if information > 0.0 {
            let widening = 1.0 + information * scale * scale;
            let one_sided = (error / 2.0).max(1e-12);
            let half_width = (widening / (information * information * scale * scale)
                * (widening / (one_sided * one_sided)).ln())
            .sqrt();
            (self.sum / information, half_width + margin)
        } else {
            (0.0, f64::INFINITY)
        }
    }
}
