//! Fixed threshold rules, as a baseline for the canary analysis. A rule decides each stage once, after its minimum
//! duration.

use super::{DecisionRule, RolloutOptions};
use std::collections::BTreeMap;
use tansy_canary::FrontEndReport;
use tansy_rollout::{FrontEndObservation, Rollout, RolloutEntry, RolloutPhase};

/// The value of served requests, and of all requests.
#[derive(Clone, Copy, Default)]
struct ServiceTotal {
    value_served: f64,
    value_requested: f64,
}

impl ServiceTotal {
    const ZERO: ServiceTotal = ServiceTotal {
        value_served: 0.0,
        value_requested: 0.0,
    };

    fn of(report: &FrontEndReport) -> ServiceTotal {
        report
            .classes
            .values()
            .fold(ServiceTotal::ZERO, |total, class| ServiceTotal {
                value_served: total.value_served + class.value_served,
                value_requested: total.value_requested + class.value_requested,
            })
    }

    fn plus(self, other: ServiceTotal) -> ServiceTotal {
        ServiceTotal {
            value_served: self.value_served + other.value_served,
            value_requested: self.value_requested + other.value_requested,
        }
    }

    fn minus(self, other: ServiceTotal) -> ServiceTotal {
        ServiceTotal {
            value_served: self.value_served - other.value_served,
            value_requested: self.value_requested - other.value_requested,
        }
    }
}

/// The state of a fixed rule during a rollout.
#[derive(Default)]
pub(super) struct FixedRule {
    /// The stage under analysis and the start of its analysis.
    stage: Option<(usize, i64)>,
    /// The totals of each front end at the start of that stage.
    at_stage_begin: BTreeMap<String, ServiceTotal>,
    /// The loss of the fleet before the first front end was changed.
    loss_before: Option<f64>,
}

impl FixedRule {
    /// The entry that replaces the controller's; `None` if the rule has not decided yet.
    pub(super) fn entry(
        &mut self,
        options: &RolloutOptions,
        rollout: &Rollout,
        observations: &[FrontEndObservation],
        now: i64,
        entry: RolloutEntry,
    ) -> Option<RolloutEntry> {
        if self.loss_before.is_none() && matches!(entry, RolloutEntry::Release { .. }) {
            self.loss_before = Some(fleet_loss(observations));
        }
        if rollout.phase != RolloutPhase::Analysing {
            return Some(entry);
        }
        if self.stage.is_none_or(|(stage, _)| stage != rollout.stage) {
            self.begin_stage(rollout.stage, observations, now);
        }
        let since = self.stage.map_or(now, |(_, began)| began);
        if now - since < options.shortest_stage as i64 {
            return matches!(entry, RolloutEntry::Heartbeat { .. }).then_some(entry);
        }
        let (revision, fence) = (rollout.revision, rollout.fence);
        // The printed summary uses the reason as a key.
        let reason = "the plain rule".to_string();
        Some(if self.is_worse(options.rule, observations) {
            RolloutEntry::Fail {
                revision,
                fence,
                reason,
            }
        } else {
            RolloutEntry::Pass {
                revision,
                fence,
                reason,
            }
        })
    }

    fn begin_stage(&mut self, stage: usize, observations: &[FrontEndObservation], now: i64) {
        self.stage = Some((stage, now));
        self.at_stage_begin = observations
            .iter()
            .map(|o| (o.report.name.clone(), ServiceTotal::of(&o.report)))
            .collect();
    }

    fn is_worse(&self, rule: DecisionRule, observations: &[FrontEndObservation]) -> bool {
        let changed = self.stage_loss(observations, true);
        match rule {
            DecisionRule::Threshold(margin) => changed
                .zip(self.stage_loss(observations, false))
                .is_some_and(|(new, old)| new - old >= margin),
            DecisionRule::OwnPast(margin) => changed
                .zip(self.loss_before)
                .is_some_and(|(new, before)| new - before >= margin),
            DecisionRule::Verdict => false,
        }
    }

    /// The loss of the changed or the unchanged front ends since the start of the stage; `None` without requests.
    fn stage_loss(&self, observations: &[FrontEndObservation], changed: bool) -> Option<f64> {
        let total = observations
            .iter()
            .filter(|o| o.report.is_canary == changed)
            .map(|observation| {
                let report = &observation.report;
                let began = self.at_stage_begin.get(&report.name);
                ServiceTotal::of(report).minus(began.copied().unwrap_or_default())
            })
            .fold(ServiceTotal::ZERO, ServiceTotal::plus);
        (total.value_requested > 0.0).then(|| 1.0 - total.value_served / total.value_requested)
    }
}

fn fleet_loss(observations: &[FrontEndObservation]) -> f64 {
    let total = observations
        .iter()
        .map(|o| ServiceTotal::of(&o.report))
        .fold(ServiceTotal::ZERO, ServiceTotal::plus);
    1.0 - total.value_served / total.value_requested.max(1.0)
}
