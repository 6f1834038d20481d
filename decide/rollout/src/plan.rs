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
    pub seat: bool,
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
    pub at_once: usize,
    /// Seconds that a stage lasts at least.
    pub least: u64,
    /// Seconds that a stage lasts at most.
    pub longest: u64,
    /// Seconds within which a released front end has to be back and ready.
    pub ready: u64,
    /// Seconds between two samples that are compared.
    pub slice: u64,
    /// Share of the value of all calls that may be lost to the change before it is rolled back regardless of the evidence.
    pub spend: f64,
    /// See `tansy_canary::AnalysisParameters::error`.
    pub error: f64,
    /// See `tansy_canary::AnalysisParameters::least`.
    pub matters: f64,
    /// See `tansy_canary::AnalysisParameters::accept`.
    pub accept: f64,
    /// See `tansy_canary::AnalysisParameters::warm_up`.
    pub warm_up: u64,
    /// Megabytes that a front end may use.
    pub memory: u64,
    /// What happens to a stage without a verdict.
    pub undecided: InconclusivePolicy,
}

impl Default for RolloutPlan {
    fn default() -> RolloutPlan {
        RolloutPlan {
            stages: Vec::new(),
            at_once: 1,
            least: 60,
            longest: 1800,
            ready: 60,
            slice: 5,
            spend: 0.01,
            error: 0.01,
            matters: 0.01,
            accept: 0.03,
            warm_up: 10,
            memory: 1024,
            undecided: InconclusivePolicy::Hold,
        }
    }
}

impl RolloutPlan {
    /// The first fault of the plan, in words for the operator; `None` if the plan is valid.
    pub fn wrong(&self) -> Option<String> {
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
        let shares = [self.spend, self.error, self.matters, self.accept];
        if self.at_once == 0 {
            Some(
                "at_once is 0: want 1 or more front ends of a zone that may be away at once".into(),
            )
        } else if self.slice == 0 || self.longest < self.least || self.ready == 0 {
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
    pub fn up_to(&self, stage: usize) -> impl Iterator<Item = &Target> {
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
