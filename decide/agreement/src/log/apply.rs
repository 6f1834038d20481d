//! Applying entries to the log.

use super::{
    ApplyOutcome, Canary, ChangePhase, EntryRejection, Log, LogEntry, ReplacementPhase, Revision,
    Version, VersionedSettings, VoterReplacement, MAX_PAST_VERSIONS,
};
use crate::compatibility::Fields;
use crate::member::Member;
use crate::scope::{ChangeEnd, ScopeChange, ScopeTransaction};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use tansy_rollout::{Rollout, RolloutChange, RolloutEntry, RolloutPhase};

impl Log {
    /// Applies one entry. The outcome depends on the entries alone, so that it is the same at every replica.
    pub fn apply(&mut self, entry: LogEntry) -> Result<ApplyOutcome, EntryRejection> {
        if let Some(version) = self.validate(&entry)? {
            return Ok(ApplyOutcome::Duplicate(version));
        }
        Ok(match entry {
            LogEntry::Propose {
                id, fields, reason, ..
            } => self.announce(id, fields, reason),
            LogEntry::Advance { .. } => self.advance_version(),
            LogEntry::Abandon { .. } => self.abandon_version(),
            LogEntry::Join { member, name, .. } => self.join(member, name),
            LogEntry::Leave { member } => self.leave(member),
            LogEntry::BeginVoterReplacement {
                new,
                address,
                replaced,
            } => self.begin_replacement(new, address, replaced),
            LogEntry::EnterJointConsensus { .. } => self.enter_joint_consensus(),
            LogEntry::CompleteVoterReplacement { .. } => self.complete_replacement(),
            LogEntry::CancelVoterReplacement { .. } => self.cancel_replacement(),
            LogEntry::Rollout { entry, fields } => self.apply_rollout(*entry, fields)?,
            LogEntry::UpdateScopes { transactions } => self.update_scopes(transactions),
            LogEntry::AdvanceScopes { in_force, settled } => {
                self.catalog.settle(&settled);
                self.end_scope_changes(in_force, ChangeEnd::InForce)
            }
            LogEntry::RevertScopes { scopes } => {
                self.end_scope_changes(scopes, ChangeEnd::Reverted)
            }
        })
    }

    /// Assigns a number to a new version and makes it the change in progress.
    fn announce(&mut self, id: u64, fields: Fields, reason: String) -> ApplyOutcome {
        self.last_version = Version(self.last_version.0 + 1);
        let next = VersionedSettings {
            version: self.last_version,
            fields,
            reason,
            id,
        };
        self.past_versions.push_back(next.clone());
        if self.past_versions.len() > MAX_PAST_VERSIONS {
            self.past_versions.pop_front();
        }
        self.state.next = Some((next, ChangePhase::Announced));
        self.increment_versions_revision();
        ApplyOutcome::Announced(self.last_version)
    }

    /// Moves the change in progress to its next phase.
    fn advance_version(&mut self) -> ApplyOutcome {
        match self.state.next.take() {
            Some((next, ChangePhase::Announced)) => {
                self.state.next = Some((next, ChangePhase::Joint));
            }
            Some((next, ChangePhase::Joint)) => self.state.in_force = next,
            Some((_, ChangePhase::RolledBack)) | None => {}
        }
        self.increment_versions_revision();
        ApplyOutcome::Advanced(self.state.revision)
    }

    /// Abandons the change in progress. No member acts on it while it is only announced. Once it is joint, all members
    /// have to be back at the version in force before another change may begin.
    fn abandon_version(&mut self) -> ApplyOutcome {
        if let Some((next, ChangePhase::Joint)) = self.state.next.take() {
            self.state.next = Some((next, ChangePhase::RolledBack));
        }
        self.increment_versions_revision();
        ApplyOutcome::Advanced(self.state.revision)
    }

    /// Begins a new revision that changes a version or the canary.
    fn increment_versions_revision(&mut self) {
        self.state.revision = self.state.revision.next();
        self.state.versions_revision = self.state.revision;
    }

    fn join(&mut self, member: Member, name: String) -> ApplyOutcome {
        self.roster.insert(member.id, (member.incarnation, name));
        ApplyOutcome::RosterUpdated
    }

    fn leave(&mut self, member: Member) -> ApplyOutcome {
        if self.has_member(member) {
            self.roster.remove(&member.id);
        }
        ApplyOutcome::RosterUpdated
    }

    fn begin_replacement(&mut self, new: u64, address: SocketAddr, replaced: u64) -> ApplyOutcome {
        self.voter_replacement = Some(VoterReplacement {
            new,
            address,
            replaced,
            phase: ReplacementPhase::Learning,
        });
        ApplyOutcome::VotersChanged
    }

    fn enter_joint_consensus(&mut self) -> ApplyOutcome {
        if let Some(replacement) = &mut self.voter_replacement {
            replacement.phase = ReplacementPhase::JointConsensus;
            self.voters.insert(replacement.new, replacement.address);
        }
        ApplyOutcome::VotersChanged
    }

    fn complete_replacement(&mut self) -> ApplyOutcome {
        if let Some(replacement) = self.voter_replacement.take() {
            self.voters.remove(&replacement.replaced);
        }
        ApplyOutcome::VotersChanged
    }

    fn cancel_replacement(&mut self) -> ApplyOutcome {
        self.voter_replacement = None;
        ApplyOutcome::VotersChanged
    }

    fn apply_rollout(
        &mut self,
        entry: RolloutEntry,
        fields: Option<Fields>,
    ) -> Result<ApplyOutcome, EntryRejection> {
        match (entry, &mut self.rollout) {
            (
                RolloutEntry::Begin {
                    id,
                    change,
                    plan,
                    reason,
                },
                rollout,
            ) => {
                self.canary_fields = fields.filter(|_| change == RolloutChange::Settings);
                let begun = Rollout::begin(id, change, plan, reason);
                *rollout = Some(begun.map_err(EntryRejection::Rollout)?);
            }
            (entry, Some(rollout)) => rollout.apply(entry).map_err(EntryRejection::Rollout)?,
            (_, None) => {}
        }
        self.on_rollout_changed();
        Ok(ApplyOutcome::RolloutChanged)
    }

    /// Updates what depends on the rollout: the members that try settings and, once the rollout is completed, the
    /// program to run or the announced version.
    fn on_rollout_changed(&mut self) {
        let Some(rollout) = &self.rollout else { return };
        let (ended, completed) = (
            rollout.has_ended(),
            rollout.phase == RolloutPhase::Completed,
        );
        let (id, reason) = (rollout.id, rollout.reason.clone());
        if let (RolloutChange::Program { label, path }, true) = (&rollout.change, completed) {
            self.program = Some((label.clone(), path.clone()));
        }
        let canary = self.canary_of(rollout);
        let tried_fields = self.canary_fields.take_if(|_| ended);
        if let (Some(fields), true) = (tried_fields, completed) {
            self.state.canary = None;
            self.announce(id, fields, reason);
        } else if self.state.canary != canary {
            self.state.canary = canary;
            self.increment_versions_revision();
        }
    }

    /// The settings that a rollout in progress tries, and the members that it has moved to them; `None` if there is no
    /// such member.
    fn canary_of(&self, rollout: &Rollout) -> Option<Box<Canary>> {
        let fields = self.canary_fields.as_ref()?;
        if rollout.change != RolloutChange::Settings || rollout.has_ended() {
            return None;
        }
        let targets = rollout.plan.stages.iter().flatten();
        let members: BTreeSet<String> = targets
            .map(|target| &target.name)
            .filter(|name| rollout.should_be_changed(name))
            .cloned()
            .collect();
        (!members.is_empty()).then(|| {
            Box::new(Canary {
                fields: fields.clone(),
                members,
            })
        })
    }

    fn update_scopes(&mut self, transactions: Vec<ScopeTransaction>) -> ApplyOutcome {
        let revision = self.state.revision.next();
        let mut changes = Vec::new();
        let mut rejected = Vec::new();
        for (index, transaction) in transactions.into_iter().enumerate() {
            match self.validate_transaction(&transaction) {
                Ok(None) => self
                    .catalog
                    .begin_changes(revision, transaction, &mut changes),
                Ok(Some(_)) => {}
                Err(rejection) => rejected.push((index, rejection)),
            }
        }
        ApplyOutcome::ScopesChanged {
            revision: self.record_scope_changes(changes),
            rejected,
        }
    }

    fn end_scope_changes(
        &mut self,
        scopes: Vec<(String, Revision)>,
        end: ChangeEnd,
    ) -> ApplyOutcome {
        let revision = self.state.revision.next();
        let changes = self.catalog.end_changes(revision, scopes, end);
        ApplyOutcome::Advanced(self.record_scope_changes(changes))
    }

    /// Records changes of scopes under a new revision, if there are any.
    fn record_scope_changes(&mut self, changes: Vec<Arc<ScopeChange>>) -> Revision {
        if !changes.is_empty() {
            self.state.revision = self.state.revision.next();
            self.state.scopes_since = self.catalog.scopes_since();
            self.state.history.push(changes);
        }
        self.state.revision
    }
}
