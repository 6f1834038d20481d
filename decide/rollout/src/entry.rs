//! The log entries that change a rollout, and the reasons for rejecting one.

use crate::plan::{RolloutChange, RolloutPlan};
use serde::{Deserialize, Serialize};
use tansy_canary::{Measurement, Verdict};

/// A process that exited without having been asked to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The front end's name.
    pub name: String,
    /// The process id; 0 if the process could not be started.
    pub process: u64,
    /// How the process ended, such as `signal 6`. Crashes with equal texts count as the same kind.
    #[serde(rename = "sort")]
    pub kind: String,
    /// Consecutive crashes of the front end, including this one.
    #[serde(rename = "again")]
    pub consecutive: u32,
}

/// What the controller has observed of a stage.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StageObservation {
    /// Index of the stage, from 0.
    pub stage: usize,
    /// Seconds since the stage's analysis began.
    #[serde(rename = "stood")]
    pub elapsed_seconds: u64,
    /// Differences between changed and unchanged front ends.
    #[serde(rename = "measured")]
    pub measurements: Vec<Measurement>,
    /// The verdict on the measurements.
    pub verdict: Option<Verdict>,
}

/// A replicated change of a rollout's state. `revision` is the rollout's revision that the entry was made for; `fence` is the fencing
/// token of the controller that made it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RolloutEntry {
    /// Begins a rollout.
    Begin {
        /// Chosen by the operator. A repeated request with the same id refers to the same rollout.
        id: u64,
        /// What the rollout changes.
        #[serde(rename = "what")]
        change: RolloutChange,
        /// Stages and limits.
        plan: RolloutPlan,
        /// The operator's reason.
        #[serde(rename = "why")]
        reason: String,
    },
    /// A controller takes control.
    #[serde(rename = "Steer")]
    TakeControl {
        /// The current fencing token plus one.
        fence: u64,
        /// The controller's name.
        #[serde(rename = "who")]
        controller: String,
    },
    /// Shows that the controller is alive.
    #[serde(rename = "Beat")]
    Heartbeat {
        /// The controller's fencing token.
        fence: u64,
        /// What the controller has observed since its last heartbeat, if anything.
        #[serde(rename = "seen")]
        observation: Option<Box<StageObservation>>,
    },
    /// Allows this front end to be changed (or changed back) now, and to be unavailable meanwhile.
    #[serde(rename = "Let")]
    Release {
        /// The rollout's revision.
        #[serde(rename = "at")]
        revision: u64,
        /// The controller's fencing token.
        fence: u64,
        /// Name of the front end.
        name: String,
    },
    /// Records that a released front end is ready with its assigned program or settings.
    #[serde(rename = "Moved")]
    MarkReady {
        /// The rollout's revision.
        #[serde(rename = "at")]
        revision: u64,
        /// The controller's fencing token.
        fence: u64,
        /// Name of the front end.
        name: String,
    },
    /// Begins the stage's analysis, once all its front ends are changed.
    #[serde(rename = "Judge")]
    BeginAnalysis {
        /// The rollout's revision.
        #[serde(rename = "at")]
        revision: u64,
        /// The controller's fencing token.
        fence: u64,
    },
    /// Passes the stage: the next one begins, or the rollout is complete.
    Pass {
        /// The rollout's revision.
        #[serde(rename = "at")]
        revision: u64,
        /// The controller's fencing token.
        fence: u64,
        /// The reason, for operators.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Fails the stage: the change is rolled back.
    #[serde(rename = "Worse")]
    Fail {
        /// The rollout's revision.
        #[serde(rename = "at")]
        revision: u64,
        /// The controller's fencing token.
        fence: u64,
        /// The reason, for operators.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Records a crash that a supervisor reported.
    #[serde(rename = "Fell")]
    Crashed(Crash),
    /// Changes no further front end until [`RolloutEntry::Resume`]. A rollback continues despite a pause.
    Pause {
        /// Id of the rollout.
        id: u64,
        /// The reason, for operators.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Ends a pause.
    Resume {
        /// Id of the rollout.
        id: u64,
    },
    /// Rolls the change back at an operator's request.
    Abort {
        /// Id of the rollout.
        id: u64,
        /// The reason, for operators.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// Why an entry was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RolloutRejection {
    /// Another rollout is in progress.
    #[error("another rollout is in progress; wait until it ends, or abort it")]
    Busy,
    /// A rollout with this id was already begun.
    #[error("a rollout with this id was already begun")]
    AlreadyBegun,
    /// The plan is invalid.
    #[error("invalid plan: {0}")]
    Plan(String),
    /// No such rollout exists, or it has ended.
    #[error("no such rollout is in progress")]
    Ended,
    /// The entry was made for an older revision.
    #[error("the rollout has changed since this entry was made")]
    StaleRevision,
    /// Another controller has taken over.
    #[error("another controller has taken over the rollout")]
    Fenced,
    /// The rollout's current state does not allow the entry, for instance because too many front ends are unavailable.
    #[error("the current state of the rollout does not allow this")]
    NotAllowed,
}
