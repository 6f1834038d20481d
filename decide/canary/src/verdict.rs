//! Verdicts on the canary group, and the measurements they are based on.

use crate::analysis::CanaryAnalysis;
use crate::comparison::MetricEvidence;
use crate::metric::Metric;
use crate::sequential_test::Estimate;
use serde::{Deserialize, Serialize};

/// The measured difference between the two groups in one metric.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measurement {
    /// The metric: `service`, `service class NAME`, `service zone NAME`, `slow`, `refused`, `spill`.
    #[serde(rename = "what")]
    pub metric: String,
    /// Share lost by the baseline group over all slices.
    #[serde(rename = "old")]
    pub baseline_loss_rate: f64,
    /// Share lost by the canary group over all slices.
    #[serde(rename = "new")]
    pub canary_loss_rate: f64,
    /// Loss caused by the change: the difference between the groups, less the difference before the change.
    pub loss: f64,
    /// Half width of the confidence interval around `loss`.
    #[serde(rename = "half")]
    pub half_width: f64,
    /// The loss since the slice in which it most likely began.
    #[serde(rename = "lately")]
    pub recent_loss: f64,
    /// Number of slices measured.
    pub slices: usize,
}

/// The verdict on the canary group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The canary group does worse.
    #[serde(rename = "worse")]
    Fail {
        /// The reason, for operators.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The largest loss within the confidence interval is tolerated.
    #[serde(rename = "fine")]
    Pass,
    /// There is not enough data for a verdict.
    #[serde(rename = "open")]
    Inconclusive {
        /// What a verdict needs, for operators.
        needs: String,
        /// Estimated number of further slices like those so far; `None` if it cannot be estimated.
        slices: Option<usize>,
    },
    /// The baseline group is in trouble too, so that nothing can be attributed to the change.
    #[serde(rename = "held")]
    SharedFault {
        /// Consecutive slices for which this has lasted.
        slices: usize,
    },
}

impl CanaryAnalysis {
    /// Returns the verdict on all samples so far.
    pub fn verdict(&self) -> Verdict {
        let failure = self.failure.clone().or_else(|| self.significant_loss());
        if let Some(reason) = failure {
            return Verdict::Fail { reason };
        }
        if self.shared_fault_slices > 0 {
            return Verdict::SharedFault {
                slices: self.shared_fault_slices,
            };
        }
        match self.evidence.get(&Metric::Service) {
            Some(evidence) => self.service_verdict(evidence),
            // Once all front ends are changed, there is no baseline group to compare with.
            None if self.canaries.len() >= self.last_reports.len()
                && !self.last_reports.is_empty() =>
            {
                Verdict::Pass
            }
            None => Verdict::Inconclusive {
                needs: "calls of one class in one zone at both sides".into(),
                slices: None,
            },
        }
    }

    /// The reason for a failure if a metric shows a loss that is significant and large enough to matter.
    fn significant_loss(&self) -> Option<String> {
        let bound = 1.0 / self.error_per_metric();
        self.estimates().find_map(|(metric, estimate, _)| {
            let significant = estimate.likelihood_ratio >= bound
                && estimate.recent_mean >= self.min_relevant_loss(metric);
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

    /// [`Verdict::Pass`] if the largest loss within the confidence interval is tolerated, otherwise [`Verdict::Inconclusive`].
    fn service_verdict(&self, evidence: &MetricEvidence) -> Verdict {
        let parameters = &self.parameters;
        let error = self.error_per_metric();
        let estimate =
            evidence
                .test
                .estimate(&evidence.pre_change, parameters.relevant_loss, error);
        let largest_loss = estimate.mean + estimate.half_width;
        if largest_loss <= parameters.tolerated_loss {
            return Verdict::Pass;
        }
        let needed_half_width = parameters.tolerated_loss - estimate.mean.max(0.0);
        let slices = evidence.test.slices_needed(
            &evidence.pre_change,
            parameters.relevant_loss,
            error,
            needed_half_width,
        );
        let remedy = match slices {
            Some(count) => format!("about {count} slices more like these"),
            None => "more calls a slice, or more front ends in the stage".into(),
        };
        let needs = format!(
            "a loss of up to {:.1} points may be hidden, {:.1} are accepted: {remedy}",
            largest_loss * 100.0,
            parameters.tolerated_loss * 100.0
        );
        Verdict::Inconclusive { needs, slices }
    }

    /// The current measurements of all metrics.
    pub fn measurements(&self) -> Vec<Measurement> {
        let measurement =
            |(metric, estimate, evidence): (&Metric, Estimate, &MetricEvidence)| Measurement {
                metric: metric.name(),
                baseline_loss_rate: evidence.totals.baseline_lost
                    / evidence.totals.baseline_calls.max(1.0),
                canary_loss_rate: evidence.totals.canary_lost
                    / evidence.totals.canary_calls.max(1.0),
                loss: estimate.mean,
                // A loss is a share, so a wider interval says nothing more.
                half_width: estimate.half_width.min(1.0),
                recent_loss: estimate.recent_mean,
                slices: estimate.slices,
            };
        self.estimates().map(measurement).collect()
    }

    /// The error probability of one metric. All metrics share that of the analysis equally.
    fn error_per_metric(&self) -> f64 {
        self.parameters.error_probability / self.evidence.len().max(1) as f64
    }

    /// The smallest loss of a metric that fails the canary group. A single class or zone may lose twice as much as the whole service.
    fn min_relevant_loss(&self, metric: &Metric) -> f64 {
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
                    .estimate(&evidence.pre_change, self.parameters.relevant_loss, error);
            (metric, estimate, evidence)
        })
    }
}
