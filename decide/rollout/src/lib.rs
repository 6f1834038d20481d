//! Staged rollouts: change the program or the settings of a fleet stage by stage. Changed and unchanged front ends run side by side
//! until all are changed or the change is rolled back.
//!
//! - [`Rollout`] is the replicated state. Only a [`RolloutEntry`] of the fleet's log changes it. The controller's entries name the
//!   revision that they were made for and are rejected at any other, so that any node can continue a rollout.
//! - [`RolloutController`] observes the rollout and the front ends, and proposes the next entry. It may fail at any moment: another
//!   controller then takes over with the next fencing token (`fence`), and entries of the former one are rejected.
//! - [`Supervisor`] decides which processes one machine runs: at most one for each of its front ends, of the program that the rollout
//!   assigns to that front end.
//!
//! The crate performs no I/O, starts no processes and reads no clock: the caller passes the time in. Whether changed front ends do
//! worse than unchanged ones is decided by `tansy_canary`.
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

/// Microseconds on the caller's monotonic clock.
pub type Time = i64;
/// One second in [`Time`].
pub const SECOND: Time = 1_000_000;
