//! The replicated state of a rollout.

use crate::entry::{Crash, RolloutRejection, StageObservation};
use crate::plan::{RolloutChange, RolloutPlan};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// The stage's front ends are being changed.
    #[serde(rename = "moving")]
    Changing,
    /// All front ends of the stage are changed, and the stage is analysed.
    #[serde(rename = "judging")]
    Analysing,
    /// All that changed are being changed back.
    #[serde(rename = "back")]
    RollingBack,
    /// Ended: all are changed.
    #[serde(rename = "done")]
    Completed,
    /// Ended: all are as they were.
    #[serde(rename = "stopped")]
    RolledBack,
}

/// A rollout, as far as it is agreed on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// Chosen by the operator.
    pub id: u64,
    /// The revision: increases with each entry but heartbeats.
    #[serde(rename = "at")]
    pub revision: u64,
    /// What changes.
    #[serde(rename = "what")]
    pub change: RolloutChange,
    /// How it is to proceed.
    pub plan: RolloutPlan,
    /// The present phase.
    pub phase: RolloutPhase,
    /// The stage, from 0.
    pub stage: usize,
    /// No further front end is changed.
    pub paused: bool,
    /// The controller's fence; 0 before there was any controller.
    pub fence: u64,
    /// The controller's name.
    #[serde(rename = "steerer")]
    pub controller: String,
    /// Increases with each heartbeat of the controller.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
    /// Front ends that are released: they may be unavailable.
    #[serde(rename = "moving")]
    pub released: BTreeSet<String>,
    /// Front ends that are changed and not released to be changed back.
    #[serde(rename = "moved")]
    pub changed: BTreeSet<String>,
    /// Analyses that were begun; each may use a part of the plan's probability of error.
    #[serde(rename = "judged")]
    pub analyses: u32,
    /// Crashes in this stage.
    #[serde(rename = "fallen")]
    pub crashes: Vec<Crash>,
    /// The reason for the present state.
    #[serde(rename = "why")]
    pub reason: String,
    /// What happened, in words, the latest last.
    pub steps: Vec<String>,
    /// The last observation of each stage.
    #[serde(rename = "seen")]
    pub observations: Vec<StageObservation>,
}

impl Rollout {
    /// A rollout at its first revision, without a controller.
    pub fn begin(
        id: u64,
        change: RolloutChange,
        plan: RolloutPlan,
        reason: String,
    ) -> Result<Rollout, RolloutRejection> {
        if let Some(fault) = plan.validation_error() {
            return Err(RolloutRejection::Plan(fault));
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

    /// Whether it has ended.
    pub fn has_ended(&self) -> bool {
        matches!(
            self.phase,
            RolloutPhase::Completed | RolloutPhase::RolledBack
        )
    }

    /// Whether this front end is to be on the new side.
    pub fn should_be_changed(&self, name: &str) -> bool {
        match self.phase {
            RolloutPhase::Completed => true,
            RolloutPhase::RolledBack => false,
            // One that is released to be changed back is no longer in `changed`.
            RolloutPhase::RollingBack => self.changed.contains(name),
            RolloutPhase::Changing | RolloutPhase::Analysing => {
                self.changed.contains(name) || self.released.contains(name)
            }
        }
    }

    /// Whether this front end may be released now.
    pub fn may_release(&self, name: &str) -> bool {
        let Some(target) = self.plan.target(name) else {
            return false;
        };
        if !self.is_to_move(name) || self.released.contains(name) {
            return false;
        }
        if self.change == RolloutChange::Settings {
            // New settings make no front end unavailable.
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

    /// Whether the phase asks for this front end to change sides.
    fn is_to_move(&self, name: &str) -> bool {
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

    /// Whether all front ends up to the present stage are changed.
    pub fn stage_is_complete(&self) -> bool {
        self.released.is_empty()
            && self
                .plan
                .targets_through(self.stage)
                .all(|target| self.changed.contains(&target.name))
    }
}
