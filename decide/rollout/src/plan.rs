//! The plan of a rollout: what it changes, in which stages and within which limits.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Maximum number of front ends in a plan.
const MAX_TARGETS: usize = 10_000;

/// A front end that a plan changes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Target {
    /// Name of the front end.
    pub name: String,
    /// Zone of the front end.
    pub zone: String,
    /// Whether the front end is a voter of the replicated log.
    #[serde(rename = "seat")]
    pub is_voter: bool,
}

/// What happens to a stage that has neither passed nor failed after [`RolloutPlan::max_stage_seconds`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InconclusivePolicy {
    /// Pauses the rollout until an operator decides.
    Hold,
    /// Rolls the change back.
    #[serde(rename = "back")]
    RollBack,
    /// Passes the stage.
    Pass,
}

/// Stages and limits of a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutPlan {
    /// The stages, each with the front ends that it changes.
    pub stages: Vec<Vec<Target>>,
    /// Maximum number of front ends of one zone that may be unavailable at a time.
    #[serde(rename = "at_once")]
    pub max_unavailable: usize,
    /// Minimum duration of a stage's analysis, and of sampling before the first change, in seconds.
    #[serde(rename = "least")]
    pub min_stage_seconds: u64,
    /// Maximum duration of a stage's analysis, in seconds; see [`RolloutPlan::inconclusive`].
    #[serde(rename = "longest")]
    pub max_stage_seconds: u64,
    /// Seconds within which a released front end has to be changed and ready.
    #[serde(rename = "ready")]
    pub ready_timeout_seconds: u64,
    /// Seconds between two samples of the front ends.
    #[serde(rename = "slice")]
    pub sample_seconds: u64,
    /// Share of the value of all calls that may be lost to the change before it is rolled back whatever the verdict.
    #[serde(rename = "spend")]
    pub max_value_lost: f64,
    /// See `tansy_canary::AnalysisParameters::error_probability`; shared by all analyses of the rollout.
    #[serde(rename = "error")]
    pub error_probability: f64,
    /// See `tansy_canary::AnalysisParameters::relevant_loss`.
    #[serde(rename = "matters")]
    pub relevant_loss: f64,
    /// See `tansy_canary::AnalysisParameters::tolerated_loss`.
    #[serde(rename = "accept")]
    pub tolerated_loss: f64,
    /// See `tansy_canary::AnalysisParameters::warm_up_seconds`.
    #[serde(rename = "warm_up")]
    pub warm_up_seconds: u64,
    /// Memory that a front end may use, in megabytes.
    #[serde(rename = "memory")]
    pub memory_limit_mb: u64,
    /// What happens to a stage without a verdict after its maximum duration.
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
    /// Why the plan is invalid, for operators; `None` if it is valid.
    pub fn validation_error(&self) -> Option<String> {
        self.stages_error().or_else(|| self.limits_error())
    }

    fn stages_error(&self) -> Option<String> {
        let names: Vec<&String> = self.targets().map(|target| &target.name).collect();
        let distinct: BTreeSet<&String> = names.iter().copied().collect();
        if names.is_empty() || self.stages.iter().any(Vec::is_empty) {
            Some("a stage has no front ends; each stage needs at least one".into())
        } else if distinct.len() != names.len() {
            Some("a front end is listed more than once".into())
        } else if names.len() > MAX_TARGETS {
            Some(format!(
                "{} front ends exceed the maximum of {MAX_TARGETS}",
                names.len()
            ))
        } else {
            None
        }
    }

    fn limits_error(&self) -> Option<String> {
        let is_share = |value: f64| value > 0.0 && value < 1.0;
        let shares = [
            self.max_value_lost,
            self.error_probability,
            self.relevant_loss,
            self.tolerated_loss,
        ];
        if self.max_unavailable == 0 {
            Some("at_once must be at least 1".into())
        } else if self.sample_seconds == 0
            || self.max_stage_seconds < self.min_stage_seconds
            || self.ready_timeout_seconds == 0
        {
            Some(
                "slice and ready must be at least 1 s, and longest must not be less than least"
                    .into(),
            )
        } else if !shares.into_iter().all(is_share) {
            Some("spend, error, matters and accept must be greater than 0 and less than 1".into())
        } else {
            None
        }
    }

    /// The front ends of all stages.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.stages.iter().flatten()
    }

    /// The front end with this name.
    pub fn target(&self, name: &str) -> Option<&Target> {
        self.targets().find(|target| target.name == name)
    }

    /// The front ends of all stages through this one.
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
        /// Identifies the program, for instance by its digest. A process reports the label that it was started with.
        label: String,
        /// Path of the program on each machine.
        path: String,
    },
    /// The settings.
    Settings,
}
