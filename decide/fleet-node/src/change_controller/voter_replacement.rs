//! Replacement of a voter: the new voter learns the log, then both vote in joint consensus, then the old one is removed.

use super::ChangeController;
use crate::command::{Command, FleetEvent};
use tansy_agreement::lease::Time;
use tansy_agreement::log::{Log, LogEntry, ReplacementPhase};

/// The replacement is cancelled if the learner has not caught up with the log after this time.
const LEARNING_TIMEOUT: Time = 30_000_000;

impl ChangeController {
    /// Queues the next phase of a replacement. A leader that is being replaced first transfers its leadership.
    pub(super) fn advance_voter_replacement(&mut self, now: Time, commands: &mut Vec<Command>) {
        let replacement = self.replica.log().and_then(Log::voter_replacement);
        let is_idle = self.queue.is_empty() && self.storage_failure.is_none();
        let Some(replacement) = replacement.filter(|_| is_idle) else {
            self.learning_since = self.learning_since.filter(|_| replacement.is_some());
            return;
        };
        let (new, replaced) = (replacement.new, replacement.replaced);
        match replacement.phase {
            ReplacementPhase::Learning if self.replica.is_caught_up(new) => {
                self.push(LogEntry::EnterJointConsensus { new, replaced });
            }
            ReplacementPhase::Learning => self.wait_for_learner(now, new, commands),
            ReplacementPhase::JointConsensus if replaced == self.replica.id() => {
                let mut effects = Vec::new();
                self.replica.transfer_leadership(new, &mut effects);
                self.carry_out(now, effects, commands);
            }
            ReplacementPhase::JointConsensus => {
                self.push(LogEntry::CompleteVoterReplacement { new });
            }
        }
    }

    /// Cancels the replacement if the learner does not catch up in time.
    fn wait_for_learner(&mut self, now: Time, new: u64, commands: &mut Vec<Command>) {
        let since = self
            .learning_since
            .filter(|(learner, _)| *learner == new)
            .unwrap_or((new, now));
        self.learning_since = Some(since);
        if now - since.1 >= LEARNING_TIMEOUT {
            commands.push(Command::Notify(FleetEvent::VoterReplacementAbandoned {
                new,
            }));
            self.push(LogEntry::CancelVoterReplacement { new });
        }
    }
}
