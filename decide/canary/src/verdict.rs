//! What is said of the new side, and the measurements that it rests on.

use crate::analysis::CanaryAnalysis;
use crate::comparison::MetricEvidence;
use crate::metric::Metric;
use crate::sequential_test::Estimate;
use serde::{Deserialize, Serialize};

/// One difference between the two sides.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measurement {
    /// The metric: `service`, `service class NAME`, `service zone NAME`, `slow`, `refused`, `spill`.
    #[serde(rename = "what")]
    pub metric: String,
    /// The share that the old side lost over all slices.
    #[serde(rename = "old")]
    pub baseline_loss_rate: f64,
    /// The share that the new side lost over all slices.
    #[serde(rename = "new")]
    pub canary_loss_rate: f64,
    /// The loss: the canary's share less the baseline's, less what there was before the change.
    pub loss: f64,
    /// Half of the width of the loss' interval.
    #[serde(rename = "half")]
    pub half_width: f64,
    /// The loss since the moment at which it most likely began.
    #[serde(rename = "lately")]
    pub recent_loss: f64,
    /// Slices that it rests on.
    pub slices: usize,
}

/// What is said of the new side.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It does worse.
    #[serde(rename = "worse")]
    Fail {
        /// The reason, in words.
        #[serde(rename = "why")]
        reason: String,
    },
    /// A loss that matters would have been seen.
    #[serde(rename = "fine")]
    Pass,
    /// Not known yet.
    #[serde(rename = "open")]
    Inconclusive {
        /// What it would take, in words.
        needs: String,
        /// About how many slices like those so far it takes; `None` if that can't be said.
        slices: Option<usize>,
    },
    /// Both sides have the same fault, which is attributed to neither.
    #[serde(rename = "held")]
    SharedFault {
        /// For how many slices in a row.
        slices: usize,
    },
}

impl CanaryAnalysis {
    /// The verdict on all samples so far.
    pub fn verdict(&self) -> Verdict {
        let failure = self.failure.clone().or_else(|| self.significant_loss());
        if let Some(reason) = failure {
            return Verdict::Fail { reason };
        }
        if self.troubled_slices > 0 {
            return Verdict::SharedFault {
                slices: self.troubled_slices,
            };
        }
        match self.evidence.get(&Metric::Service) {
            Some(evidence) => self.service_verdict(evidence),
            // Once all front ends are changed there is nothing to compare with.
            None if self.new.len() >= self.last.len() && !self.last.is_empty() => Verdict::Pass,
            None => Verdict::Inconclusive {
                needs: "calls of one class in one zone at both sides".into(),
                slices: None,
            },
        }
    }

    /// In words, the first metric whose evidence passes its bound with a loss as large as matters.
    fn significant_loss(&self) -> Option<String> {
        let bound = 1.0 / self.error_per_metric();
        self.estimates().find_map(|(metric, estimate, _)| {
            let significant = estimate.likelihood_ratio >= bound
                && estimate.recent_mean >= self.least_loss(metric);
            significant.then(|| {
                format!(
                    "{}: {:.1} points worse (over the stage {:.1}, give or take {:.1})",
                    metric.name(),
                    estimate.recent_mean * 100.0,
                    estimate.mean * 100.0,
                    estimate.half_width * 100.0
                )
            })
        })
    }

    /// [`Verdict::Pass`] if the loss that may be hidden is accepted, else [`Verdict::Inconclusive`].
    fn service_verdict(&self, evidence: &MetricEvidence) -> Verdict {
        let parameters = &self.parameters;
        let error = self.error_per_metric();
        let estimate = evidence
            .test
            .estimate(&evidence.prior, parameters.relevant_loss, error);
        let hidden = estimate.mean + estimate.half_width;
        if hidden <= parameters.tolerated_loss {
            return Verdict::Pass;
        }
        let room = parameters.tolerated_loss - estimate.mean.max(0.0);
        let slices =
            evidence
                .test
                .slices_needed(&evidence.prior, parameters.relevant_loss, error, room);
        let remedy = match slices {
            Some(count) => format!("about {count} slices more like these"),
            None => "more calls a slice, or more front ends in the stage".into(),
        };
        let needs = format!(
            "a loss of up to {:.1} points may be hidden, {:.1} are accepted: {remedy}",
            hidden * 100.0,
            parameters.tolerated_loss * 100.0
        );
        Verdict::Inconclusive { needs, slices }
    }

    /// All metrics as they stand.
    pub fn measurements(&self) -> Vec<Measurement> {
        let measurement =
            |(metric, estimate, evidence): (&Metric, Estimate, &MetricEvidence)| Measurement {
                metric: metric.name(),
                baseline_loss_rate: evidence.totals.old_lost / evidence.totals.old_cases.max(1.0),
                canary_loss_rate: evidence.totals.new_lost / evidence.totals.new_cases.max(1.0),
                loss: estimate.mean,
                // A share can't be lost more than once.
                half_width: estimate.half_width.min(1.0),
                recent_loss: estimate.recent_mean,
                slices: estimate.slices,
            };
        self.estimates().map(measurement).collect()
    }

    /// The probability of error that one metric may use: all share what there is.
    fn error_per_metric(&self) -> f64 {
        self.parameters.error / self.evidence.len().max(1) as f64
    }

    /// The least loss that matters. A part of the service has to lose more than the whole.
    fn least_loss(&self, metric: &Metric) -> f64 {
        match metric {
            Metric::Class(_) | Metric::Zone(_) => 2.0 * self.parameters.relevant_loss,
            _ => self.parameters.relevant_loss,
        }
    }

    fn estimates(&self) -> impl Iterator<Item = (&Metric, Estimate, &MetricEvidence)> {
        let error = self.error_per_metric();
        self.evidence.iter().map(move |(metric, evidence)| {
            let estimate =
                evidence
                    .test
                    .estimate(&evidence.prior, self.parameters.relevant_loss, error);
            (metric, estimate, evidence)
        })
    }
}
