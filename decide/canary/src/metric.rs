//! What is compared between the two sides, and how a slice gives a difference.

use crate::request_counters::RequestCounters;
use crate::sequential_test::Observation;
use std::collections::{BTreeMap, BTreeSet};

/// A difference that is tested. The order is that of the reports.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Metric {
    /// Value lost, over all calls.
    Service,
    /// Value lost, over calls of one class.
    Class(String),
    /// Value lost, over calls in one zone.
    Zone(String),
    /// Answers slower than nearly all were before the change.
    Slow,
    /// Rejected calls.
    Rejected,
    /// Value lost at old front ends of zones that have new ones.
    Spill,
}

/// Calls of one side in one cell.
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
    /// Adds counts. `slow_over`: the latency beyond which answers of the class are slow, if that is known.
    pub(crate) fn add(&mut self, counters: &RequestCounters, slow_over: Option<u64>) {
        self.requested += counters.requested as f64;
        self.value_requested += counters.value_requested;
        self.value_served += counters.value_served;
        self.rejected += counters.rejected as f64;
        self.served += counters.served as f64;
        self.slow += slow_over.map_or(0.0, |limit| counters.slower(limit) as f64);
    }
}

/// Calls by zone and class, of the old and the new side.
pub(crate) type Cells = BTreeMap<(String, String), [CellSums; 2]>;

/// How many cases there were on a side, and the share of them that was lost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LossShare {
    pub(crate) cases: f64,
    pub(crate) lost: f64,
}

/// Losses and cases of both sides, added up.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SideTotals {
    pub(crate) old_lost: f64,
    pub(crate) old_cases: f64,
    pub(crate) new_lost: f64,
    pub(crate) new_cases: f64,
}

impl SideTotals {
    fn add_shares(&mut self, old: LossShare, new: LossShare) {
        self.old_lost += old.lost * old.cases;
        self.old_cases += old.cases;
        self.new_lost += new.lost * new.cases;
        self.new_cases += new.cases;
    }

    pub(crate) fn add(&mut self, other: SideTotals) {
        self.old_lost += other.old_lost;
        self.old_cases += other.old_cases;
        self.new_lost += other.new_lost;
        self.new_cases += other.new_cases;
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

    /// Whether calls of this cell count.
    pub(crate) fn covers(&self, zone: &str, class: &str) -> bool {
        match self {
            Metric::Class(only) => only == class,
            Metric::Zone(only) => only == zone,
            _ => true,
        }
    }

    /// What one side lost in a cell.
    pub(crate) fn share(&self, sums: &CellSums) -> LossShare {
        match self {
            Metric::Slow => LossShare {
                cases: sums.served,
                lost: sums.slow / sums.served.max(1.0),
            },
            Metric::Rejected => LossShare {
                cases: sums.requested,
                lost: sums.rejected / sums.requested.max(1.0),
            },
            _ => LossShare {
                cases: sums.requested,
                lost: 1.0 - sums.value_served / sums.value_requested.max(1e-9),
            },
        }
    }

    /// The difference of a slice and the totals of both sides, if both had calls in one cell. [`Metric::Spill`] is compared by
    /// [`observe_spill`].
    pub(crate) fn observe(&self, cells: &Cells) -> Option<(Observation, SideTotals)> {
        let mut difference = 0.0;
        let mut variance = 0.0;
        let mut weight = 0.0;
        let mut totals = SideTotals::default();
        for ((zone, class), [old, new]) in cells {
            let old = self.share(old);
            let new = self.share(new);
            if !self.covers(zone, class) || old.cases < 1.0 || new.cases < 1.0 {
                continue;
            }
            let cell_weight = old.cases * new.cases / (old.cases + new.cases);
            difference += cell_weight * (new.lost - old.lost);
            variance += cell_weight
                * cell_weight
                * pooled_variance(old, new)
                * (1.0 / old.cases + 1.0 / new.cases);
            weight += cell_weight;
            totals.add_shares(old, new);
        }
        let observation = Observation {
            difference: difference / weight,
            variance: variance / (weight * weight),
        };
        (weight > 0.0).then_some((observation, totals))
    }
}

/// What old front ends lose in the zones that have new ones (`staged`), beside old front ends in zones that have none.
pub(crate) fn observe_spill(
    cells: &Cells,
    staged: &BTreeSet<&String>,
) -> Option<(Observation, SideTotals)> {
    let mut sides = [CellSums::default(); 2];
    for ((zone, _), [old, _]) in cells {
        let side = &mut sides[usize::from(staged.contains(zone))];
        side.requested += old.requested;
        side.value_requested += old.value_requested;
        side.value_served += old.value_served;
    }
    let outside = Metric::Service.share(&sides[0]);
    let beside = Metric::Service.share(&sides[1]);
    if outside.cases < 1.0 || beside.cases < 1.0 {
        return None;
    }
    let observation = Observation {
        difference: beside.lost - outside.lost,
        variance: pooled_variance(outside, beside) * (1.0 / outside.cases + 1.0 / beside.cases),
    };
    let mut totals = SideTotals::default();
    totals.add_shares(outside, beside);
    Some((observation, totals))
}

/// The variance of one case, by the share that both sides lost together. It is never zero: few cases may all be well by luck.
fn pooled_variance(old: LossShare, new: LossShare) -> f64 {
    let cases = old.cases + new.cases;
    let both = (old.lost * old.cases + new.lost * new.cases) / cases;
    (both * (1.0 - both)).max(0.0) + 0.5 / (cases + 1.0)
}
