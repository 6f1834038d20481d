//! The log entries that change a rollout, and the reasons for which one is rejected.

use crate::plan::{RolloutChange, RolloutPlan};
use serde::{Deserialize, Serialize};
use tansy_canary::{Measurement, Verdict};

/// A process that ended without being asked to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The front end's name.
    pub name: String,
    /// The process, as its supervisor numbers them.
    pub process: u64,
    /// How it ended; equal texts are ends of the same kind.
    #[serde(rename = "sort")]
    pub kind: String,
    /// Crashes in a row, this one included.
    #[serde(rename = "again")]
    pub consecutive: u32,
}

/// What the controller observes of a stage.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StageObservation {
    /// The stage, from 0.
    pub stage: usize,
    /// Seconds since the stage was complete.
    #[serde(rename = "stood")]
    pub elapsed_seconds: u64,
    /// The differences between the two sides.
    #[serde(rename = "measured")]
    pub measurements: Vec<Measurement>,
    /// The verdict on them.
    pub verdict: Option<Verdict>,
}

/// One agreed change of a rollout's state. `revision` is the one that the entry was made for, `fence` that of its controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RolloutEntry {
    /// A rollout begins.
    Begin {
        /// Chosen by the operator: a repeated request with the same id is the same rollout.
        id: u64,
        /// What changes.
        #[serde(rename = "what")]
        change: RolloutChange,
        /// How it is to proceed.
        plan: RolloutPlan,
        /// The operator's reason.
        #[serde(rename = "why")]
        reason: String,
    },
    /// A controller takes over.
    #[serde(rename = "Steer")]
    TakeControl {
        /// The successor of the present fence.
        fence: u64,
        /// The controller's name.
        #[serde(rename = "who")]
        controller: String,
    },
    /// The controller is alive.
    #[serde(rename = "Beat")]
    Heartbeat {
        /// The controller's fence.
        fence: u64,
        /// What it observes, if that has changed since its last heartbeat.
        #[serde(rename = "seen")]
        observation: Option<Box<StageObservation>>,
    },
    /// This front end is released: it may be changed now, and be unavailable while that lasts.
    #[serde(rename = "Let")]
    Release {
        /// The revision.
        #[serde(rename = "at")]
        revision: u64,
        /// The controller's fence.
        fence: u64,
        /// The front end.
        name: String,
    },
    /// The front end is ready on the side where it should be.
    #[serde(rename = "Moved")]
    MarkReady {
        /// The revision.
        #[serde(rename = "at")]
        revision: u64,
        /// The controller's fence.
        fence: u64,
        /// The front end.
        name: String,
    },
    /// All front ends of the stage are changed: its analysis begins.
    #[serde(rename = "Judge")]
    BeginAnalysis {
        /// The revision.
        #[serde(rename = "at")]
        revision: u64,
        /// The controller's fence.
        fence: u64,
    },
    /// The stage has passed.
    Pass {
        /// The revision.
        #[serde(rename = "at")]
        revision: u64,
        /// The controller's fence.
        fence: u64,
        /// The reason, in words.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The new side does worse: the change is rolled back.
    #[serde(rename = "Worse")]
    Fail {
        /// The revision.
        #[serde(rename = "at")]
        revision: u64,
        /// The controller's fence.
        fence: u64,
        /// The reason, in words.
        #[serde(rename = "why")]
        reason: String,
    },
    /// A process crashed, as reported by its supervisor.
    #[serde(rename = "Fell")]
    Crashed(Crash),
    /// No further front end is changed until [`RolloutEntry::Resume`]. A rollback is not paused.
    Pause {
        /// The rollout.
        id: u64,
        /// The reason, in words.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Ends a pause.
    Resume {
        /// The rollout.
        id: u64,
    },
    /// The change is rolled back.
    Abort {
        /// The rollout.
        id: u64,
        /// The reason, in words.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// Why an entry changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RolloutRejection {
    /// Another rollout is in progress.
    #[error("another rollout is in progress: wait for its end, or abort it first")]
    Busy,
    /// A rollout of this id was begun before.
    #[error("this rollout was begun before")]
    AlreadyBegun,
    /// The plan is invalid.
    #[error("the plan: {0}")]
    Plan(String),
    /// There is no such rollout, or it has ended.
    #[error("no such rollout is in progress")]
    Ended,
    /// The entry was made for an older revision.
    #[error("the rollout is past that revision")]
    StaleRevision,
    /// Another controller has taken over.
    #[error("another controller has taken over the rollout")]
    Fenced,
    /// The present phase doesn't allow it: too many front ends are unavailable, or this one is where it should be.
    #[error("not allowed in this phase of the rollout")]
    NotAllowed,
}
