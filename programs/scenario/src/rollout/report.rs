//! The result of the scenario.

use crate::load::LoadResult;
use std::fmt;
use tansy_rollout::{Rollout, RolloutPhase};

/// How a rollout ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutVerdict {
    /// All front ends run the new program.
    Done,
    /// All front ends run the old program again.
    Stopped,
    /// Neither, when the time was up.
    Undecided,
}

impl RolloutVerdict {
    pub(super) fn of(rollout: Option<&Rollout>) -> RolloutVerdict {
        match rollout.map(|rollout| rollout.phase) {
            Some(RolloutPhase::Completed) => RolloutVerdict::Done,
            Some(RolloutPhase::RolledBack) => RolloutVerdict::Stopped,
            _ => RolloutVerdict::Undecided,
        }
    }
}

/// The verdict's name in results.
impl fmt::Display for RolloutVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RolloutVerdict::Done => "done",
            RolloutVerdict::Stopped => "stopped",
            RolloutVerdict::Undecided => "undecided",
        })
    }
}

/// The result of the scenario.
#[derive(Clone, Debug)]
pub struct ScenarioReport {
    /// How the rollout ended.
    pub verdict: RolloutVerdict,
    /// Calls that got no answer.
    pub lost: u64,
    /// Share of the clients' calls that were served.
    pub served_share: f64,
    /// Average share of the front ends that ran the new program.
    pub exposed_share: f64,
    /// Length of the run.
    pub seconds: f64,
    /// Number of supervisors killed.
    pub killed: usize,
    /// Minimum share of a zone's front ends that accepted connections; not measured with the crash defect.
    pub min_capacity: f64,
    /// Texts of the violations.
    pub violations: Vec<String>,
    /// Last known replicated state of the rollout.
    pub rollout: Option<Rollout>,
}

/// Measurements of a run.
pub(super) struct Measurements<'a> {
    pub load: &'a LoadResult,
    pub seconds: f64,
    pub killed: usize,
    pub exposed_share: f64,
    pub min_capacity: f64,
    pub violations: Vec<String>,
}

impl ScenarioReport {
    pub(super) fn new(rollout: Option<Rollout>, measured: Measurements<'_>) -> ScenarioReport {
        ScenarioReport {
            verdict: RolloutVerdict::of(rollout.as_ref()),
            lost: measured.load.lost,
            served_share: measured.load.served_share(),
            exposed_share: measured.exposed_share,
            seconds: measured.seconds,
            killed: measured.killed,
            min_capacity: measured.min_capacity,
            violations: measured.violations,
            rollout,
        }
    }

    /// Reason for the rollout's end; empty for a baseline run.
    pub fn reason(&self) -> &str {
        self.rollout
            .as_ref()
            .map_or("", |rollout| rollout.reason.as_str())
    }

    /// Number of stages that have an observation.
    pub fn stages(&self) -> usize {
        self.rollout
            .as_ref()
            .map_or(0, |rollout| rollout.observations.len())
    }

    /// Texts of the rollout's steps.
    pub fn steps(&self) -> &[String] {
        self.rollout
            .as_ref()
            .map_or(&[], |rollout| rollout.steps.as_slice())
    }
}
