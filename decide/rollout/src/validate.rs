//! Validation of entries against the state of a rollout.

use crate::entry::{RolloutEntry, RolloutRejection};
use crate::state::{Rollout, RolloutPhase};

impl Rollout {
    /// Whether [`Rollout::apply`] would accept the entry.
    pub fn check(&self, entry: &RolloutEntry) -> Result<(), RolloutRejection> {
        if let RolloutEntry::Begin { plan, .. } = entry {
            require(self.has_ended(), RolloutRejection::Busy)?;
            return plan
                .validation_error()
                .map_or(Ok(()), |error| Err(RolloutRejection::Plan(error)));
        }
        require(!self.has_ended(), RolloutRejection::Ended)?;
        self.check_origin(entry)?;
        require(self.allows(entry), RolloutRejection::NotAllowed)
    }

    /// Rejects entries of a former controller, for an earlier revision, or for another rollout.
    fn check_origin(&self, entry: &RolloutEntry) -> Result<(), RolloutRejection> {
        match entry {
            RolloutEntry::Begin { .. } | RolloutEntry::Crashed(_) => Ok(()),
            RolloutEntry::TakeControl { fence, .. } => {
                require(*fence == self.fence + 1, RolloutRejection::Fenced)
            }
            RolloutEntry::Heartbeat { fence, .. } => {
                require(*fence == self.fence, RolloutRejection::Fenced)
            }
            RolloutEntry::Release {
                revision, fence, ..
            }
            | RolloutEntry::MarkReady {
                revision, fence, ..
            }
            | RolloutEntry::BeginAnalysis { revision, fence }
            | RolloutEntry::Pass {
                revision, fence, ..
            }
            | RolloutEntry::Fail {
                revision, fence, ..
            } => {
                require(*fence == self.fence, RolloutRejection::Fenced)?;
                require(*revision == self.revision, RolloutRejection::StaleRevision)
            }
            RolloutEntry::Pause { id, .. }
            | RolloutEntry::Resume { id }
            | RolloutEntry::Abort { id, .. } => require(*id == self.id, RolloutRejection::Ended),
        }
    }

    /// Whether the current state allows the entry.
    fn allows(&self, entry: &RolloutEntry) -> bool {
        match entry {
            RolloutEntry::Begin { .. }
            | RolloutEntry::TakeControl { .. }
            | RolloutEntry::Heartbeat { .. } => true,
            RolloutEntry::Release { name, .. } => self.may_release(name),
            RolloutEntry::MarkReady { name, .. } => self.released.contains(name),
            RolloutEntry::BeginAnalysis { .. } => {
                self.phase == RolloutPhase::Changing && self.stage_is_complete()
            }
            RolloutEntry::Pass { .. } => self.phase == RolloutPhase::Analysing && !self.paused,
            RolloutEntry::Fail { .. } | RolloutEntry::Abort { .. } => {
                self.phase != RolloutPhase::RollingBack
            }
            RolloutEntry::Crashed(crash) => {
                self.plan.target(&crash.name).is_some() && !self.crashes.contains(crash)
            }
            RolloutEntry::Pause { .. } => !self.paused,
            RolloutEntry::Resume { .. } => self.paused,
        }
    }
}

fn require(condition: bool, rejection: RolloutRejection) -> Result<(), RolloutRejection> {
    if condition {
        Ok(())
    } else {
        Err(rejection)
    }
}
