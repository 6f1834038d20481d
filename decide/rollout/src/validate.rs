//! Whether an entry may be applied to a rollout.

use crate::entry::{RolloutEntry, RolloutRejection};
use crate::state::{Rollout, RolloutPhase};

impl Rollout {
    /// Whether the entry would be applied, and if not, why.
    pub fn judge(&self, entry: &RolloutEntry) -> Result<(), RolloutRejection> {
        if let RolloutEntry::Begin { plan, .. } = entry {
            require(self.over(), RolloutRejection::Busy)?;
            return plan
                .wrong()
                .map_or(Ok(()), |fault| Err(RolloutRejection::Plan(fault)));
        }
        require(!self.over(), RolloutRejection::Over)?;
        self.check_origin(entry)?;
        require(self.allows(entry), RolloutRejection::NotNow)
    }

    /// Whether the entry comes from the present controller at the present revision, or names this rollout.
    fn check_origin(&self, entry: &RolloutEntry) -> Result<(), RolloutRejection> {
        match entry {
            RolloutEntry::Begin { .. } | RolloutEntry::Crashed(_) => Ok(()),
            RolloutEntry::TakeControl { fence, .. } => {
                require(*fence == self.fence + 1, RolloutRejection::Fenced)
            }
            RolloutEntry::Beat { fence, .. } => {
                require(*fence == self.fence, RolloutRejection::Fenced)
            }
            RolloutEntry::Let { at, fence, .. }
            | RolloutEntry::Moved { at, fence, .. }
            | RolloutEntry::BeginAnalysis { at, fence }
            | RolloutEntry::Pass { at, fence, .. }
            | RolloutEntry::Worse { at, fence, .. } => {
                require(*fence == self.fence, RolloutRejection::Fenced)?;
                require(*at == self.at, RolloutRejection::Past)
            }
            RolloutEntry::Pause { id, .. }
            | RolloutEntry::Resume { id }
            | RolloutEntry::Abort { id, .. } => require(*id == self.id, RolloutRejection::Over),
        }
    }

    /// Whether the present phase allows the entry.
    fn allows(&self, entry: &RolloutEntry) -> bool {
        match entry {
            RolloutEntry::Begin { .. }
            | RolloutEntry::TakeControl { .. }
            | RolloutEntry::Beat { .. } => true,
            RolloutEntry::Let { name, .. } => self.may_release(name),
            RolloutEntry::Moved { name, .. } => self.moving.contains(name),
            RolloutEntry::BeginAnalysis { .. } => {
                self.phase == RolloutPhase::Moving && self.stage_is_complete()
            }
            RolloutEntry::Pass { .. } => self.phase == RolloutPhase::Judging && !self.paused,
            RolloutEntry::Worse { .. } | RolloutEntry::Abort { .. } => {
                self.phase != RolloutPhase::Back
            }
            RolloutEntry::Crashed(crash) => {
                self.plan.target(&crash.name).is_some() && !self.crashes.contains(crash)
            }
            RolloutEntry::Pause { .. } => !self.paused,
            RolloutEntry::Resume { .. } => self.paused,
        }
    }
}

fn require(holds: bool, otherwise: RolloutRejection) -> Result<(), RolloutRejection> {
    if holds {
        Ok(())
    } else {
        Err(otherwise)
    }
}
