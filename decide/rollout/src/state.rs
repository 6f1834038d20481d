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
    Moving,
    /// All front ends of the stage have moved, and the stage is analysed.
    Judging,
    /// All that changed are being changed back.
    Back,
    /// Ended: all are changed.
    Done,
    /// Ended: all are as they were.
    Stopped,
}

/// A rollout, as far as it is agreed on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// Chosen by the operator.
    pub id: u64,
    /// The revision: increases with each entry but heartbeats.
    pub at: u64,
    /// What changes.
    pub what: RolloutChange,
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
    pub steerer: String,
    /// Increases with each heartbeat of the controller.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
    /// Front ends that are released: they may be unavailable.
    pub moving: BTreeSet<String>,
    /// Front ends that are changed and not released to be changed back.
    pub moved: BTreeSet<String>,
    /// Analyses that were begun; each may use a part of the plan's probability of error.
    #[serde(rename = "judged")]
    pub analyses: u32,
    /// Crashes in this stage.
    #[serde(rename = "fallen")]
    pub crashes: Vec<Crash>,
    /// The reason for the present state.
    pub why: String,
    /// What happened, in words, the latest last.
    pub steps: Vec<String>,
    /// The last observation of each stage.
    pub seen: Vec<StageObservation>,
}

impl Rollout {
    /// A rollout at its first revision, without a controller.
    pub fn begin(
        id: u64,
        what: RolloutChange,
        plan: RolloutPlan,
        why: String,
    ) -> Result<Rollout, RolloutRejection> {
        if let Some(fault) = plan.wrong() {
            return Err(RolloutRejection::Plan(fault));
        }
        let steps = vec![format!("begun: {why}")];
        Ok(Rollout {
            id,
            at: 1,
            what,
            plan,
            phase: RolloutPhase::Moving,
            stage: 0,
            paused: false,
            fence: 0,
            steerer: String::new(),
            heartbeat: 0,
            moving: BTreeSet::new(),
            moved: BTreeSet::new(),
            analyses: 0,
            crashes: Vec::new(),
            why,
            steps,
            seen: Vec::new(),
        })
    }

    /// Whether it has ended.
    pub fn over(&self) -> bool {
        matches!(self.phase, RolloutPhase::Done | RolloutPhase::Stopped)
    }

    /// Whether this front end is to be on the new side.
    pub fn new_side(&self, name: &str) -> bool {
        match self.phase {
            RolloutPhase::Done => true,
            RolloutPhase::Stopped => false,
            // One that is released to be changed back is no longer in `moved`.
            RolloutPhase::Back => self.moved.contains(name),
            RolloutPhase::Moving | RolloutPhase::Judging => {
                self.moved.contains(name) || self.moving.contains(name)
            }
        }
    }

    /// Whether this front end may be released now.
    pub fn may_release(&self, name: &str) -> bool {
        let Some(target) = self.plan.target(name) else {
            return false;
        };
        if !self.is_to_move(name) || self.moving.contains(name) {
            return false;
        }
        if self.what == RolloutChange::Settings {
            // New settings make no front end unavailable.
            return true;
        }
        let unavailable = || self.moving.iter().filter_map(|name| self.plan.target(name));
        let in_zone = unavailable()
            .filter(|other| other.zone == target.zone)
            .count();
        let voters_allow = !target.seat || !unavailable().any(|other| other.seat);
        in_zone < self.plan.at_once && voters_allow
    }

    /// Whether the phase asks for this front end to change sides.
    fn is_to_move(&self, name: &str) -> bool {
        match self.phase {
            RolloutPhase::Moving => {
                !self.paused
                    && !self.moved.contains(name)
                    && self
                        .plan
                        .up_to(self.stage)
                        .any(|target| target.name == name)
            }
            RolloutPhase::Back => self.moved.contains(name),
            RolloutPhase::Judging | RolloutPhase::Done | RolloutPhase::Stopped => false,
        }
    }

    /// Whether all front ends up to the present stage have moved.
    pub fn stage_is_complete(&self) -> bool {
        self.moving.is_empty()
            && self
                .plan
                .up_to(self.stage)
                .all(|target| self.moved.contains(&target.name))
    }
}
