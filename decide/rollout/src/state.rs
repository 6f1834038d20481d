//! The replicated state of a rollout.

use crate::entry::{Crash, RolloutRejection, StageObservation};
use crate::plan::{RolloutChange, RolloutPlan};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// Front ends of the current stage are being changed.
    #[serde(rename = "moving")]
    Changing,
    /// All front ends of the stage are changed and compared with the unchanged ones.
    #[serde(rename = "judging")]
    Analysing,
    /// Changed front ends are being changed back.
    #[serde(rename = "back")]
    RollingBack,
    /// Ended with all front ends changed.
    #[serde(rename = "done")]
    Completed,
    /// Ended with all front ends unchanged.
    #[serde(rename = "stopped")]
    RolledBack,
}

/// The replicated state of a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// Id, chosen by the operator.
    pub id: u64,
    /// Increases with every applied entry except heartbeats.
    #[serde(rename = "at")]
    pub revision: u64,
    /// What the rollout changes.
    #[serde(rename = "what")]
    pub change: RolloutChange,
    /// Stages and limits.
    pub plan: RolloutPlan,
    /// Current phase.
    pub phase: RolloutPhase,
    /// Index of the current stage, from 0.
    pub stage: usize,
    /// Whether the rollout is paused: no further front end is changed, and no stage passes.
    pub paused: bool,
    /// Fencing token of the controller; 0 before the first controller.
    pub fence: u64,
    /// Name of the controller.
    #[serde(rename = "steerer")]
    pub controller: String,
    /// Number of controller heartbeats so far.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
    /// Front ends that are allowed to be changed or changed back now, and may be unavailable meanwhile.
    #[serde(rename = "moving")]
    pub released: BTreeSet<String>,
    /// Front ends that are changed, except those released to be changed back.
    #[serde(rename = "moved")]
    pub changed: BTreeSet<String>,
    /// Number of analyses begun so far. Each uses a part of the plan's error probability.
    #[serde(rename = "judged")]
    pub analyses: u32,
    /// Crashes during the current stage.
    #[serde(rename = "fallen")]
    pub crashes: Vec<Crash>,
    /// Reason for the current state.
    #[serde(rename = "why")]
    pub reason: String,
    /// History for operators, oldest first.
    pub steps: Vec<String>,
    /// The last observation of each stage that has one.
    #[serde(rename = "seen")]
    pub observations: Vec<StageObservation>,
}

impl Rollout {
    /// Creates a rollout at its first revision, without a controller.
    pub fn begin(
        id: u64,
        change: RolloutChange,
        plan: RolloutPlan,
        reason: String,
    ) -> Result<Rollout, RolloutRejection> {
        if let Some(error) = plan.validation_error() {
            return Err(RolloutRejection::Plan(error));
        }
        let steps = vec![format!("begun: {reason}")];
        Ok(Rollout {
            id,
            revision: 1,
            change,
            plan,
            phase: RolloutPhase::Changing,
            stage: 0,
            paused: false,
            fence: 0,
            controller: String::new(),
            heartbeat: 0,
            released: BTreeSet::new(),
            changed: BTreeSet::new(),
            analyses: 0,
            crashes: Vec::new(),
            reason,
            steps,
            observations: Vec::new(),
        })
    }

    /// Whether the rollout has ended, completed or rolled back.
    pub fn has_ended(&self) -> bool {
        matches!(
            self.phase,
            RolloutPhase::Completed | RolloutPhase::RolledBack
        )
    }

    /// Whether this front end is to have the change in the current phase.
    pub fn should_be_changed(&self, name: &str) -> bool {
        match self.phase {
            RolloutPhase::Completed => true,
            RolloutPhase::RolledBack => false,
            // A front end that is released to be changed back is no longer in `changed`.
            RolloutPhase::RollingBack => self.changed.contains(name),
            RolloutPhase::Changing | RolloutPhase::Analysing => {
                self.changed.contains(name) || self.released.contains(name)
            }
        }
    }

    /// Whether this front end may be released now: the phase calls for it, its zone has fewer released front ends than
    /// [`RolloutPlan::max_unavailable`], and no other voter is released if it is a voter.
    pub fn may_release(&self, name: &str) -> bool {
        let Some(target) = self.plan.target(name) else {
            return false;
        };
        if !self.needs_release(name) || self.released.contains(name) {
            return false;
        }
        if self.change == RolloutChange::Settings {
            // Applying settings does not make a front end unavailable.
            return true;
        }
        let unavailable = || {
            self.released
                .iter()
                .filter_map(|name| self.plan.target(name))
        };
        let in_zone = unavailable()
            .filter(|other| other.zone == target.zone)
            .count();
        let voters_allow = !target.is_voter || !unavailable().any(|other| other.is_voter);
        in_zone < self.plan.max_unavailable && voters_allow
    }

    /// Whether the current phase has this front end changed or changed back.
    fn needs_release(&self, name: &str) -> bool {
        match self.phase {
            RolloutPhase::Changing => {
                !self.paused
                    && !self.changed.contains(name)
                    && self
                        .plan
                        .targets_through(self.stage)
                        .any(|target| target.name == name)
            }
            RolloutPhase::RollingBack => self.changed.contains(name),
            RolloutPhase::Analysing | RolloutPhase::Completed | RolloutPhase::RolledBack => false,
        }
    }

    /// Whether all front ends of the stages so far are changed.
    pub fn stage_is_complete(&self) -> bool {
        self.released.is_empty()
            && self
                .plan
                .targets_through(self.stage)
                .all(|target| self.changed.contains(&target.name))
    }
}
