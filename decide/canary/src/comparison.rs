//! Comparing the two sides slice by slice.

use crate::analysis::{CanaryAnalysis, FrontEndDelta};
use crate::metric::{observe_spill, CellSums, Cells, Metric, SideTotals};
use crate::request_counters::FrontEndReport;
use crate::sequential_test::{Observation, Prior, SequentialTest};
use std::collections::BTreeSet;

/// Metrics that are tested at most.
const MAX_METRICS: usize = 24;
/// Calls below which the share that a front end lost says nothing.
const MIN_CASES: f64 = 50.0;

/// The evidence on one metric.
#[derive(Clone, Debug)]
pub(crate) struct MetricEvidence {
    pub(crate) test: SequentialTest,
    pub(crate) prior: Prior,
    pub(crate) totals: SideTotals,
}

impl CanaryAnalysis {
    /// Adds a slice to the evidence, unless both sides are in trouble.
    pub(crate) fn compare(&mut self, deltas: &[FrontEndDelta]) {
        let cells = self.cells(deltas);
        if self.is_troubled(&cells) {
            self.troubled_slices += 1;
            return;
        }
        self.troubled_slices = 0;
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
                    prior: self.prior(&metric),
                    totals: SideTotals::default(),
                };
                self.evidence.insert(metric.clone(), evidence);
            }
            if let Some(evidence) = self.evidence.get_mut(&metric) {
                evidence.test.add(observation);
                evidence.totals.add(totals);
            }
        }
    }

    /// Whether the old side loses much more than before the change. Once all front ends are changed there is no old side, and the
    /// new one is compared with what was usual.
    fn is_troubled(&self, cells: &Cells) -> bool {
        let loss = |side: usize| {
            let sum = |part: fn(&CellSums) -> f64| {
                cells.values().map(|sides| part(&sides[side])).sum::<f64>()
            };
            let value_served = sum(|sums| sums.value_served);
            let value_requested = sum(|sums| sums.value_requested);
            (value_requested > 0.0).then(|| 1.0 - value_served / value_requested)
        };
        self.usual_loss
            .zip(loss(0).or(loss(1)))
            .is_some_and(|(usual, now)| now - usual >= self.parameters.shared_fault)
    }

    /// The calls of a slice by zone and class.
    fn cells(&self, deltas: &[FrontEndDelta]) -> Cells {
        let mut cells = Cells::new();
        for delta in deltas {
            // The side is that of now, also in slices from before the change.
            let side = usize::from(self.new.contains(&delta.name));
            for (class, counters) in &delta.classes {
                let cell = cells
                    .entry((delta.zone.clone(), class.clone()))
                    .or_default();
                cell[side].add(counters, self.slow_over.get(class).copied());
            }
        }
        cells
    }

    fn observe_metric(&self, metric: &Metric, cells: &Cells) -> Option<(Observation, SideTotals)> {
        if *metric != Metric::Spill {
            return metric.observe(cells);
        }
        let staged: BTreeSet<&String> = self
            .last
            .values()
            .filter(|report| self.new.contains(&report.name))
            .map(|report| &report.zone)
            .collect();
        observe_spill(cells, &staged)
    }

    /// What the sides of now differed by before the change.
    fn prior(&self, metric: &Metric) -> Prior {
        let observations: Vec<Observation> = self
            .baseline
            .iter()
            .filter_map(|deltas| self.observe_metric(metric, &self.cells(deltas)))
            .map(|(observation, _)| observation)
            .collect();
        let prior = Prior::of(&observations);
        if prior.variance.is_finite() {
            return prior;
        }
        Prior {
            variance: self.variance_between_old(metric),
            ..prior
        }
    }

    /// Without a baseline: how far the means of two sides of this size may lie apart, by how far old front ends do.
    fn variance_between_old(&self, metric: &Metric) -> f64 {
        let shares: Vec<f64> = self
            .last
            .values()
            .filter(|report| !self.new.contains(&report.name))
            .filter_map(|report| lost_share(metric, report))
            .collect();
        if shares.len() < 3 {
            return f64::INFINITY;
        }
        let count = shares.len() as f64;
        let mean = shares.iter().sum::<f64>() / count;
        let variance = shares
            .iter()
            .map(|share| (share - mean).powi(2))
            .sum::<f64>()
            / (count - 1.0);
        variance * (1.0 / count + 1.0 / self.new.len().max(1) as f64)
    }
}

/// The share that a front end lost since its process began, if it had enough calls.
fn lost_share(metric: &Metric, report: &FrontEndReport) -> Option<f64> {
    let mut sums = CellSums::default();
    for (class, counters) in &report.classes {
        if metric.covers(&report.zone, class) {
            sums.add(counters, None);
        }
    }
    let share = metric.share(&sums);
    (share.cases >= MIN_CASES).then_some(share.lost)
}

/// The metrics of a slice: the general ones, and those of each class and zone if there are several.
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
