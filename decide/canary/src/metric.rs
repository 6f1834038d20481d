//! The metrics that are compared between the two groups, and the difference that a slice gives.

use crate::request_counters::RequestCounters;
use crate::sequential_test::Observation;
use std::collections::{BTreeMap, BTreeSet};

/// A metric that is tested for a difference between the groups. Reports list metrics in declaration order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Metric {
    /// Share of the value of all calls that is lost.
    Service,
    /// Share of the value of one class's calls that is lost.
    Class(String),
    /// Share of the value of one zone's calls that is lost.
    Zone(String),
    /// Share of answers slower than the 99th percentile before the change.
    Slow,
    /// Share of calls that are rejected.
    Rejected,
    /// Share of value lost by baseline front ends in zones that have canaries, compared with other zones. It shows harm that
    /// canaries do to their neighbours.
    Spill,
}

/// Sums over the calls of one group in one cell, that is of one class in one zone.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CellSums {
    pub(crate) requested: f64,
    pub(crate) value_requested: f64,
    pub(crate) value_served: f64,
    pub(crate) rejected: f64,
    pub(crate) served: f64,
    pub(crate) slow: f64,
}

impl CellSums {
    /// Adds counters. `slow_over`: the latency in microseconds above which answers of the class are slow, if known.
    pub(crate) fn add(&mut self, counters: &RequestCounters, slow_over: Option<u64>) {
        self.requested += counters.requested as f64;
        self.value_requested += counters.value_requested;
        self.value_served += counters.value_served;
        self.rejected += counters.rejected as f64;
        self.served += counters.served as f64;
        self.slow += slow_over.map_or(0.0, |limit| counters.slower_than(limit) as f64);
    }
}

/// Calls by zone and class, of the baseline and the canary group.
pub(crate) type Cells = BTreeMap<(String, String), [CellSums; 2]>;

/// The number of calls that a metric counts in a group, and the share of them that was lost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LossRate {
    pub(crate) calls: f64,
    pub(crate) rate: f64,
}

/// Lost calls and all calls of both groups over all slices.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GroupTotals {
    pub(crate) baseline_lost: f64,
    pub(crate) baseline_calls: f64,
    pub(crate) canary_lost: f64,
    pub(crate) canary_calls: f64,
}

impl GroupTotals {
    fn add_rates(&mut self, baseline: LossRate, canary: LossRate) {
        self.baseline_lost += baseline.rate * baseline.calls;
        self.baseline_calls += baseline.calls;
        self.canary_lost += canary.rate * canary.calls;
        self.canary_calls += canary.calls;
    }

    pub(crate) fn add(&mut self, other: GroupTotals) {
        self.baseline_lost += other.baseline_lost;
        self.baseline_calls += other.baseline_calls;
        self.canary_lost += other.canary_lost;
        self.canary_calls += other.canary_calls;
    }
}

impl Metric {
    /// The name in reports.
    pub(crate) fn name(&self) -> String {
        match self {
            Metric::Service => "service".into(),
            Metric::Class(class) => format!("service class {class}"),
            Metric::Zone(zone) => format!("service zone {zone}"),
            Metric::Slow => "slow".into(),
            Metric::Rejected => "refused".into(),
            Metric::Spill => "spill".into(),
        }
    }

    /// Whether the metric counts calls of this cell.
    pub(crate) fn covers(&self, zone: &str, class: &str) -> bool {
        match self {
            Metric::Class(only) => only == class,
            Metric::Zone(only) => only == zone,
            _ => true,
        }
    }

    /// The loss rate of one group in a cell.
    pub(crate) fn loss_rate(&self, sums: &CellSums) -> LossRate {
        match self {
            Metric::Slow => LossRate {
                calls: sums.served,
                rate: sums.slow / sums.served.max(1.0),
            },
            Metric::Rejected => LossRate {
                calls: sums.requested,
                rate: sums.rejected / sums.requested.max(1.0),
            },
            _ => LossRate {
                calls: sums.requested,
                rate: 1.0 - sums.value_served / sums.value_requested.max(1e-9),
            },
        }
    }

    /// The difference between the groups in a slice, averaged over the cells in which both have calls, and the totals of these
    /// cells. `None` if there is no such cell. [`Metric::Spill`] is compared by [`observe_spill`] instead.
    pub(crate) fn observe(&self, cells: &Cells) -> Option<(Observation, GroupTotals)> {
        let mut difference = 0.0;
        let mut variance = 0.0;
        let mut weight = 0.0;
        let mut totals = GroupTotals::default();
        for ((zone, class), [baseline, canary]) in cells {
            let baseline = self.loss_rate(baseline);
            let canary = self.loss_rate(canary);
            if !self.covers(zone, class) || baseline.calls < 1.0 || canary.calls < 1.0 {
                continue;
            }
            let cell_weight = baseline.calls * canary.calls / (baseline.calls + canary.calls);
            difference += cell_weight * (canary.rate - baseline.rate);
            variance += cell_weight
                * cell_weight
                * pooled_variance(baseline, canary)
                * (1.0 / baseline.calls + 1.0 / canary.calls);
            weight += cell_weight;
            totals.add_rates(baseline, canary);
        }
        let observation = Observation {
            difference: difference / weight,
            variance: variance / (weight * weight),
        };
        (weight > 0.0).then_some((observation, totals))
    }
}

/// Compares baseline front ends in zones that have canaries with those in other zones.
pub(crate) fn observe_spill(
    cells: &Cells,
    canary_zones: &BTreeSet<&String>,
) -> Option<(Observation, GroupTotals)> {
    let mut sums = [CellSums::default(); 2];
    for ((zone, _), [baseline, _]) in cells {
        let sum = &mut sums[usize::from(canary_zones.contains(zone))];
        sum.requested += baseline.requested;
        sum.value_requested += baseline.value_requested;
        sum.value_served += baseline.value_served;
    }
    let others = Metric::Service.loss_rate(&sums[0]);
    let neighbours = Metric::Service.loss_rate(&sums[1]);
    if others.calls < 1.0 || neighbours.calls < 1.0 {
        return None;
    }
    let observation = Observation {
        difference: neighbours.rate - others.rate,
        variance: pooled_variance(others, neighbours)
            * (1.0 / others.calls + 1.0 / neighbours.calls),
    };
    let mut totals = GroupTotals::default();
    totals.add_rates(others, neighbours);
    Some((observation, totals))
}

/// The variance of the loss of one call, estimated over both groups together. It is never zero, since a few calls may all succeed
/// by chance.
fn pooled_variance(baseline: LossRate, canary: LossRate) -> f64 {
    let calls = baseline.calls + canary.calls;
    let pooled = (baseline.rate * baseline.calls + canary.rate * canary.calls) / calls;
    (pooled * (1.0 - pooled)).max(0.0) + 0.5 / (calls + 1.0)
}
