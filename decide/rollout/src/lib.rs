//! A change of the program or of settings over a whole fleet, in stages, old and new side by side.
//!
//! - [`Rollout`]: what is agreed on. Every step is an [`RolloutEntry`] of the fleet's log, made from the step before it, so that any
//!   front end or program can carry on from it, and one that has slept changes nothing.
//! - [`RolloutController`]: whoever steers: looks at the roll and at the front ends, and enters the next step. It may die at any moment;
//!   another takes over with a larger fence, and what the first one still enters is refused.
//! - [`Supervisor`]: a supervisor's part: one process under each of its names, on the side where the roll has it.
//!
//! Nothing here knows clocks, sockets or processes. Times are microseconds of one monotonic clock of the caller.

mod keep;
mod roll;
mod steer;

pub use keep::{
    DesiredProcess, ProcessExit, ProcessId, Supervisor, SupervisorCommand, SupervisorLimits,
};
pub use roll::{
    Crash, InconclusivePolicy, Rollout, RolloutChange, RolloutEntry, RolloutPhase, RolloutPlan,
    RolloutRejection, StageObservation, Target,
};
pub use steer::{FrontEndObservation, RolloutController};

/// Microseconds of the caller's monotonic clock.
pub type Time = i64;
/// A second of it.
pub const SECOND: Time = 1_000_000;
