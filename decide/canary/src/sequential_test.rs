//! A sequential test for a difference between two groups.
//!
//! Each slice gives a difference and its variance. The test asks whether the mean difference is positive, over all slices or since one
//! of them, and may be evaluated after every slice. Its statistic is a mixture of likelihood ratios (Robbins 1970, with a prior on
//! positive effects), mixed again over the slices in which an effect may have begun. If the canary group is not worse, the statistic
//! ever exceeds `1/a` with a probability of at most `a` (Ville's inequality), provided that the stated variances are right and the
//! differences are nearly normal. `tansy-simulation` checks this with simulated rollouts.

use statrs::distribution::{ContinuousCDF, Normal};

/// The difference between the groups in one slice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// Loss rate of the canary group less that of the baseline group; positive is worse.
    pub difference: f64,
    /// Variance expected from the number of calls alone.
    pub variance: f64,
}

impl Observation {
    /// The Fisher information, which is the weight of the slice.
    fn information(&self) -> f64 {
        1.0 / self.variance
    }

    /// Merges two slices into one.
    fn merged(&self, other: &Observation) -> Observation {
        let first = self.information();
        let second = other.information();
        Observation {
            difference: (self.difference * first + other.difference * second) / (first + second),
            variance: 1.0 / (first + second),
        }
    }
}

/// The total information, and the sum of the differences weighted by it.
fn weighted_sum(observations: &[Observation]) -> (f64, f64) {
    let information: f64 = observations.iter().map(Observation::information).sum();
    let sum = observations
        .iter()
        .map(|slice| slice.difference / slice.variance)
        .sum::<f64>();
    (information, sum)
}

/// The difference between the same two groups before the change, which is not an effect of the change.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PreChangeDifference {
    /// Mean difference.
    pub mean: f64,
    /// Variance of the mean; infinite if unknown.
    pub variance: f64,
    /// Ratio of the variance among slices to the variance expected from the number of calls; at least 1.
    pub overdispersion: f64,
}

impl PreChangeDifference {
    /// Estimates the difference from slices before the change. The overdispersion includes a margin for its own error, which is larger
    /// for fewer slices.
    pub fn from_observations(observations: &[Observation]) -> PreChangeDifference {
        let (information, sum) = weighted_sum(observations);
        if observations.len() < 2 || information <= 0.0 {
            return PreChangeDifference {
                mean: 0.0,
                variance: f64::INFINITY,
                overdispersion: 1.0,
            };
        }
        let count = observations.len() as f64;
        let mean = sum / information;
        let chi_squared = observations
            .iter()
            .map(|slice| (slice.difference - mean).powi(2) / slice.variance)
            .sum::<f64>();
        let overdispersion =
            (chi_squared / (count - 1.0)).max(1.0) * (1.0 + (2.0 / (count - 1.0)).sqrt());
        PreChangeDifference {
            mean,
            variance: overdispersion / information,
            overdispersion,
        }
    }

    /// The margin for the error of the mean: the error exceeds it with a probability of at most `error`.
    fn margin(&self, error: f64) -> f64 {
        let quantile = Normal::standard().inverse_cdf(1.0 - error.clamp(1e-12, 0.5));
        quantile * self.variance.sqrt()
    }
}

/// The result of the test.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Mean difference, less the difference before the change.
    pub mean: f64,
    /// Half width of the confidence interval around `mean`, valid for all evaluations of the test together.
    pub half_width: f64,
    /// Likelihood ratio of an effect to no effect; significant from `1/error` on.
    pub likelihood_ratio: f64,
    /// Mean difference since the slice in which an effect most likely began, less the difference before the change.
    pub recent_mean: f64,
    /// Number of slices kept.
    pub slices: usize,
}

/// A sequential test of one metric.
#[derive(Clone, Debug, Default)]
pub struct SequentialTest {
    observations: Vec<Observation>,
}

/// Minimum number of pairs of successive slices for an estimate of the overdispersion.
const MIN_PAIRS: i32 = 4;
/// Maximum number of slices kept. When there are more, each pair of successive slices is merged.
const MAX_SLICES: usize = 1024;
/// Bound on the logarithm of a likelihood ratio, below the overflow of `f64`.
const MAX_LOG_RATIO: f64 = 600.0;
/// Maximum number of slices, past and future, that [`SequentialTest::slices_needed`] considers.
const MAX_EXPECTED_SLICES: usize = 20_000;

/// Sums over all slices, and the likelihood ratio mixed over the slices in which an effect may have begun.
struct Mixture {
    sum: f64,
    information: f64,
    likelihood_ratio: f64,
    recent_mean: f64,
}

impl SequentialTest {
    /// Adds a slice. It is ignored unless its difference is finite and its variance finite and positive.
    pub fn add(&mut self, slice: Observation) {
        if slice.difference.is_finite() && slice.variance.is_finite() && slice.variance > 0.0 {
            self.observations.push(slice);
        }
        if self.observations.len() > MAX_SLICES {
            let merged = self.observations.chunks(2).map(|chunk| match chunk {
                [first, second] => first.merged(second),
                single => single[0],
            });
            self.observations = merged.collect();
        }
    }

    /// Number of slices kept.
    pub fn len(&self) -> usize {
        self.observations.len()
    }

    /// Whether there are no slices.
    pub fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }

    /// Ratio of the variance among slices to the expected one. It compares successive slices, so that a lasting shift counts only once.
    /// 1 if there are too few slices.
    fn overdispersion(&self) -> f64 {
        let ratios = self.observations.windows(2).map(|pair| {
            (pair[1].difference - pair[0].difference).powi(2)
                / (pair[0].variance + pair[1].variance)
        });
        let (sum, count) = ratios.fold((0.0, 0), |(sum, count), ratio| (sum + ratio, count + 1));
        if count < MIN_PAIRS {
            1.0
        } else {
            sum / f64::from(count)
        }
    }

    /// Evaluates the test. `effect`: the size of an effect that matters. `error`: the probability that the test ever finds an effect
    /// if there is none.
    pub fn estimate(&self, pre_change: &PreChangeDifference, effect: f64, error: f64) -> Estimate {
        if !pre_change.variance.is_finite() {
            return self.estimate_without_pre_change();
        }
        let overdispersion = self
            .overdispersion()
            .max(pre_change.overdispersion)
            .max(1.0);
        let margin = pre_change.margin(error / 2.0);
        let scale = 2.0 * effect.max(1e-6);
        let mixture = self.mixture(pre_change.mean, margin, overdispersion, scale);
        let (mean, half_width) = mixture.interval(error, margin, scale);
        Estimate {
            mean,
            half_width,
            likelihood_ratio: mixture.likelihood_ratio,
            recent_mean: mixture.recent_mean,
            slices: self.observations.len(),
        }
    }

    /// Without the difference before the change, no effect can be told from it: there is a mean, but no evidence.
    fn estimate_without_pre_change(&self) -> Estimate {
        let (information, sum) = weighted_sum(&self.observations);
        let mean = sum / information.max(1e-12);
        Estimate {
            mean,
            half_width: f64::INFINITY,
            likelihood_ratio: 0.0,
            recent_mean: mean,
            slices: self.observations.len(),
        }
    }

    /// Scans the slices from the last to the first as the beginning of an effect. `scale`: the standard deviation of the prior on
    /// effects.
    fn mixture(
        &self,
        pre_change_mean: f64,
        margin: f64,
        overdispersion: f64,
        scale: f64,
    ) -> Mixture {
        let normal = Normal::standard();
        let count = self.observations.len();
        let mut sum = 0.0;
        let mut sum_beyond_margin = 0.0;
        let mut information = 0.0;
        let mut likelihood_ratio = 1.0 / (count as f64 + 1.0);
        let mut largest_ratio = 0.0;
        let mut recent_mean = 0.0;
        for (back, slice) in self.observations.iter().rev().enumerate() {
            let weight = 1.0 / (slice.variance * overdispersion);
            sum += (slice.difference - pre_change_mean) * weight;
            sum_beyond_margin += (slice.difference - pre_change_mean - margin) * weight;
            information += weight;
            let position = (count - back) as f64;
            let widening = 1.0 + information * scale * scale;
            let log_ratio = (2.0_f64).ln() - 0.5 * widening.ln()
                + sum_beyond_margin * sum_beyond_margin * scale * scale / (2.0 * widening)
                + normal
                    .cdf(sum_beyond_margin * scale / widening.sqrt())
                    .max(1e-300)
                    .ln();
            let ratio = log_ratio.min(MAX_LOG_RATIO).exp() / (position * (position + 1.0));
            likelihood_ratio += ratio;
            if ratio > largest_ratio {
                largest_ratio = ratio;
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

    /// Estimates how many further slices like those so far narrow the confidence interval to this half width; `None` if there are no
    /// slices or too many would be needed.
    pub fn slices_needed(
        &self,
        pre_change: &PreChangeDifference,
        effect: f64,
        error: f64,
        half_width: f64,
    ) -> Option<usize> {
        let slices = self.estimate(pre_change, effect, error).slices;
        if slices == 0 || !half_width.is_finite() || half_width <= 0.0 {
            return None;
        }
        let mut longer = self.clone();
        let mut expected = slices;
        while longer.len() < MAX_SLICES / 2 && expected < MAX_EXPECTED_SLICES {
            if longer.estimate(pre_change, effect, error).half_width <= half_width {
                return Some(expected - slices);
            }
            let repeated = longer.observations.clone();
            expected += repeated.len();
            longer.observations.extend(repeated);
        }
        None
    }
}

impl Mixture {
    /// The mean over all slices, and the half width of the confidence interval around it.
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
