//! Staged rollouts: a change of the program or of the settings over a whole fleet, with the old and the new side running beside
//! each other until the change is complete or rolled back.
//!
//! - [`Rollout`] is the replicated state. It changes only by [`RolloutEntry`]s of the fleet's log, each made for one revision of the
//!   state. Any node can therefore carry a rollout on, and an entry that was made for an older revision changes nothing.
//! - [`RolloutController`] observes the rollout and the front ends, and proposes the next entry. It may fail at any moment: another
//!   controller takes over with a larger fence, after which entries of the former one are rejected.
//! - [`Supervisor`] decides for the processes of one machine: one process for each name, of the program that the rollout assigns.
//!
//! The crate has no clocks, sockets or processes of its own. Times are microseconds of one monotonic clock of the caller. Whether a
//! stage does worse than the rest of the fleet is decided by `tansy_canary`, not here.
//!
//! ```
//! use tansy_rollout::{Rollout, RolloutChange, RolloutEntry, RolloutPhase, RolloutPlan, Target};
//!
//! let target = Target { name: "f0".into(), zone: "a".into(), is_voter: false };
//! let plan = RolloutPlan { stages: vec![vec![target]], ..RolloutPlan::default() };
//! let mut rollout = Rollout::begin(1, RolloutChange::Settings, plan, "an example".into())?;
//! rollout.apply(RolloutEntry::TakeControl { fence: 1, controller: "c".into() })?;
//! rollout.apply(RolloutEntry::Release { revision: 2, fence: 1, name: "f0".into() })?;
//! assert!(rollout.should_be_changed("f0"));
//! assert_eq!(rollout.phase, RolloutPhase::Changing);
//! # Ok::<(), tansy_rollout::RolloutRejection>(())
//! ```

mod apply;
mod controller;
mod entry;
mod plan;
mod state;
mod supervisor;
mod validate;

pub use controller::{FrontEndObservation, RolloutController};
pub use entry::{Crash, RolloutEntry, RolloutRejection, StageObservation};
pub use plan::{InconclusivePolicy, RolloutChange, RolloutPlan, Target};
pub use state::{Rollout, RolloutPhase};
pub use supervisor::{
    DesiredProcess, ProcessExit, ProcessId, Supervisor, SupervisorCommand, SupervisorLimits,
};

/// Microseconds of the caller's monotonic clock.
pub type Time = i64;
/// One second in [`Time`].
pub const SECOND: Time = 1_000_000;
