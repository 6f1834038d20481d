//! What a rollout changes, and how it is to proceed.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Front ends that a plan may contain.
const MAX_TARGETS: usize = 10_000;

/// A front end of a plan.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Target {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a voter of the agreed log.
    #[serde(rename = "seat")]
    pub is_voter: bool,
}

/// What happens to a stage that has neither passed nor failed at the end of its longest time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InconclusivePolicy {
    /// The rollout is paused until an operator decides.
    Hold,
    /// The change is rolled back.
    #[serde(rename = "back")]
    RollBack,
    /// The stage passes.
    Pass,
}

/// How a rollout is to proceed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutPlan {
    /// The stages, each with the front ends that it adds.
    pub stages: Vec<Vec<Target>>,
    /// Front ends of one zone that may be unavailable at the same time.
    #[serde(rename = "at_once")]
    pub max_unavailable: usize,
    /// Seconds that a stage lasts at least.
    #[serde(rename = "least")]
    pub min_stage_seconds: u64,
    /// Seconds that a stage lasts at most.
    #[serde(rename = "longest")]
    pub max_stage_seconds: u64,
    /// Seconds within which a released front end has to be back and ready.
    #[serde(rename = "ready")]
    pub ready_timeout_seconds: u64,
    /// Seconds between two samples that are compared.
    #[serde(rename = "slice")]
    pub sample_seconds: u64,
    /// Share of the value of all calls that may be lost to the change before it is rolled back regardless of the evidence.
    #[serde(rename = "spend")]
    pub max_value_lost: f64,
    /// See `tansy_canary::AnalysisParameters::error`.
    #[serde(rename = "error")]
    pub error_probability: f64,
    /// See `tansy_canary::AnalysisParameters::relevant_loss`.
    #[serde(rename = "matters")]
    pub relevant_loss: f64,
    /// See `tansy_canary::AnalysisParameters::tolerated_loss`.
    #[serde(rename = "accept")]
    pub tolerated_loss: f64,
    /// See `tansy_canary::AnalysisParameters::warm_up`.
    #[serde(rename = "warm_up")]
    pub warm_up_seconds: u64,
    /// Megabytes that a front end may use.
    #[serde(rename = "memory")]
    pub memory_limit_mb: u64,
    /// What happens to a stage without a verdict.
    #[serde(rename = "undecided")]
    pub inconclusive: InconclusivePolicy,
}

impl Default for RolloutPlan {
    fn default() -> RolloutPlan {
        RolloutPlan {
            stages: Vec::new(),
            max_unavailable: 1,
            min_stage_seconds: 60,
            max_stage_seconds: 1800,
            ready_timeout_seconds: 60,
            sample_seconds: 5,
            max_value_lost: 0.01,
            error_probability: 0.01,
            relevant_loss: 0.01,
            tolerated_loss: 0.03,
            warm_up_seconds: 10,
            memory_limit_mb: 1024,
            inconclusive: InconclusivePolicy::Hold,
        }
    }
}

impl RolloutPlan {
    /// The first fault of the plan, in words for the operator; `None` if the plan is valid.
    pub fn validation_error(&self) -> Option<String> {
        self.stages_fault().or_else(|| self.limits_fault())
    }

    fn stages_fault(&self) -> Option<String> {
        let names: Vec<&String> = self.targets().map(|target| &target.name).collect();
        let distinct: BTreeSet<&String> = names.iter().copied().collect();
        if names.is_empty() || self.stages.iter().any(Vec::is_empty) {
            Some("a stage without front ends: want one name or more in each stage".into())
        } else if distinct.len() != names.len() {
            Some("a front end stands in the plan twice: want each name once".into())
        } else if names.len() > MAX_TARGETS {
            Some(format!(
                "{} front ends: want {MAX_TARGETS} at most",
                names.len()
            ))
        } else {
            None
        }
    }

    fn limits_fault(&self) -> Option<String> {
        let is_share = |value: f64| value > 0.0 && value < 1.0;
        let shares = [
            self.max_value_lost,
            self.error_probability,
            self.relevant_loss,
            self.tolerated_loss,
        ];
        if self.max_unavailable == 0 {
            Some(
                "at_once is 0: want 1 or more front ends of a zone that may be away at once".into(),
            )
        } else if self.sample_seconds == 0
            || self.max_stage_seconds < self.min_stage_seconds
            || self.ready_timeout_seconds == 0
        {
            Some(
                "times: want a slice and a ready of 1 s or more, and a longest of no less than the least"
                    .into(),
            )
        } else if !shares.into_iter().all(is_share) {
            Some("shares: want spend, error, matters and accept over 0 and under 1".into())
        } else {
            None
        }
    }

    /// The front ends of all stages.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.stages.iter().flatten()
    }

    /// The front end of this name.
    pub fn target(&self, name: &str) -> Option<&Target> {
        self.targets().find(|target| target.name == name)
    }

    /// The front ends of all stages up to and including this one.
    pub fn targets_through(&self, stage: usize) -> impl Iterator<Item = &Target> {
        self.stages.iter().take(stage + 1).flatten()
    }
}

/// What a rollout changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutChange {
    /// The program.
    Program {
        /// Identifies the program, such as its digest; a process reports the label that it was started with.
        label: String,
        /// Where supervisors find it.
        path: String,
    },
    /// The settings.
    Settings,
}
