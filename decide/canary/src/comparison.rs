//! Slice-by-slice comparison of the two groups.

use crate::analysis::{CanaryAnalysis, FrontEndDelta};
use crate::metric::{observe_spill, CellSums, Cells, GroupTotals, Metric};
use crate::request_counters::FrontEndReport;
use crate::sequential_test::{Observation, PreChangeDifference, SequentialTest};
use std::collections::BTreeSet;

/// Maximum number of metrics tested, since each one reduces the error probability left for the others.
const MAX_METRICS: usize = 24;
/// Minimum baseline front ends for an estimate of the variance among them.
const MIN_FRONT_ENDS: usize = 3;
/// Minimum calls of a front end for its loss rate to be used.
const MIN_CALLS: f64 = 50.0;

/// The data collected on one metric.
#[derive(Clone, Debug)]
pub(crate) struct MetricEvidence {
    pub(crate) test: SequentialTest,
    pub(crate) pre_change: PreChangeDifference,
    pub(crate) totals: GroupTotals,
}

impl CanaryAnalysis {
    /// Adds a slice to the evidence, unless the baseline group is in trouble.
    pub(crate) fn compare(&mut self, deltas: &[FrontEndDelta]) {
        let cells = self.cells(deltas);
        if self.has_shared_fault(&cells) {
            self.shared_fault_slices += 1;
            return;
        }
        self.shared_fault_slices = 0;
        for metric in metrics(&cells) {
            let Some((observation, totals)) = self.observe_metric(&metric, &cells) else {
                continue;
            };
            if !self.evidence.contains_key(&metric) {
                if self.evidence.len() >= MAX_METRICS {
                    continue;
                }
                let evidence = MetricEvidence {
                    test: SequentialTest::default(),
                    pre_change: self.pre_change(&metric),
                    totals: GroupTotals::default(),
                };
                self.evidence.insert(metric.clone(), evidence);
            }
            if let Some(evidence) = self.evidence.get_mut(&metric) {
                evidence.test.add(observation);
                evidence.totals.add(totals);
            }
        }
    }

    /// Whether the baseline group loses much more than before the change. Once all front ends are changed there is no baseline group,
    /// and the canary group is checked instead.
    fn has_shared_fault(&self, cells: &Cells) -> bool {
        let loss = |group: usize| {
            let sum = |field: fn(&CellSums) -> f64| {
                cells
                    .values()
                    .map(|groups| field(&groups[group]))
                    .sum::<f64>()
            };
            let value_served = sum(|sums| sums.value_served);
            let value_requested = sum(|sums| sums.value_requested);
            (value_requested > 0.0).then(|| 1.0 - value_served / value_requested)
        };
        self.pre_change_loss
            .zip(loss(0).or(loss(1)))
            .is_some_and(|(before, now)| now - before >= self.parameters.shared_fault_loss)
    }

    /// Sums a slice by zone, class and group.
    fn cells(&self, deltas: &[FrontEndDelta]) -> Cells {
        let mut cells = Cells::new();
        for delta in deltas {
            // Slices from before the change are divided into the groups of the current stage as well.
            let group = usize::from(self.canaries.contains(&delta.name));
            for (class, counters) in &delta.classes {
                let cell = cells
                    .entry((delta.zone.clone(), class.clone()))
                    .or_default();
                cell[group].add(counters, self.slow_thresholds.get(class).copied());
            }
        }
        cells
    }

    fn observe_metric(&self, metric: &Metric, cells: &Cells) -> Option<(Observation, GroupTotals)> {
        if *metric != Metric::Spill {
            return metric.observe(cells);
        }
        let canary_zones: BTreeSet<&String> = self
            .last_reports
            .values()
            .filter(|report| self.canaries.contains(&report.name))
            .map(|report| &report.zone)
            .collect();
        observe_spill(cells, &canary_zones)
    }

    /// The difference between the current groups before the change.
    fn pre_change(&self, metric: &Metric) -> PreChangeDifference {
        let observations: Vec<Observation> = self
            .pre_change_slices
            .iter()
            .filter_map(|deltas| self.observe_metric(metric, &self.cells(deltas)))
            .map(|(observation, _)| observation)
            .collect();
        let pre_change = PreChangeDifference::from_observations(&observations);
        if pre_change.variance.is_finite() {
            return pre_change;
        }
        PreChangeDifference {
            variance: self.variance_among_baseline(metric),
            ..pre_change
        }
    }

    /// The variance of the difference between two groups of this size, estimated from the differences among baseline front ends. Used
    /// if there are too few slices from before the change.
    fn variance_among_baseline(&self, metric: &Metric) -> f64 {
        let loss_rates: Vec<f64> = self
            .last_reports
            .values()
            .filter(|report| !self.canaries.contains(&report.name))
            .filter_map(|report| loss_rate(metric, report))
            .collect();
        if loss_rates.len() < MIN_FRONT_ENDS {
            return f64::INFINITY;
        }
        let count = loss_rates.len() as f64;
        let mean = loss_rates.iter().sum::<f64>() / count;
        let variance = loss_rates
            .iter()
            .map(|rate| (rate - mean).powi(2))
            .sum::<f64>()
            / (count - 1.0);
        variance * (1.0 / count + 1.0 / self.canaries.len().max(1) as f64)
    }
}

/// The loss rate of a front end since its process started, if it had enough calls.
fn loss_rate(metric: &Metric, report: &FrontEndReport) -> Option<f64> {
    let mut sums = CellSums::default();
    for (class, counters) in &report.classes {
        if metric.covers(&report.zone, class) {
            sums.add(counters, None);
        }
    }
    let loss = metric.loss_rate(&sums);
    (loss.calls >= MIN_CALLS).then_some(loss.rate)
}

/// The metrics of a slice: those of the whole service, and those of each class and zone if there are several.
fn metrics(cells: &Cells) -> Vec<Metric> {
    let mut metrics = vec![
        Metric::Service,
        Metric::Slow,
        Metric::Rejected,
        Metric::Spill,
    ];
    let classes: BTreeSet<&String> = cells.keys().map(|(_, class)| class).collect();
    let zones: BTreeSet<&String> = cells.keys().map(|(zone, _)| zone).collect();
    if classes.len() > 1 {
        metrics.extend(classes.into_iter().cloned().map(Metric::Class));
    }
    if zones.len() > 1 {
        metrics.extend(zones.into_iter().cloned().map(Metric::Zone));
    }
    metrics
}
