//! Validation of entries without applying them.

use super::{
    ChangePhase, EntryRejection, Log, LogEntry, ReplacementPhase, Revision, Version, MAX_MEMBERS,
};
use crate::compatibility::{AffectedCalls, Fields};
use crate::member::Member;
use crate::scope::{defines_scope, ScopeTransaction};
use tansy_rollout::{RolloutChange, RolloutEntry, RolloutRejection};

impl Log {
    /// Checks an entry. Returns the version if the entry repeats a proposal, and `None` if applying it would have an
    /// effect.
    pub fn validate(&self, entry: &LogEntry) -> Result<Option<Version>, EntryRejection> {
        let duplicate = self.duplicate_of(entry);
        if duplicate.is_none() {
            self.check(entry)?;
        }
        Ok(duplicate)
    }

    /// Checks a transaction. Returns the revision in which it became joint if it is a duplicate, and `None` if applying
    /// it would have an effect.
    pub fn validate_transaction(
        &self,
        transaction: &ScopeTransaction,
    ) -> Result<Option<Revision>, EntryRejection> {
        let canary = self
            .canary_fields
            .as_ref()
            .filter(|_| self.canary_in_progress());
        let next = self.state.next.as_ref().map(|(next, _)| &next.fields);
        let versions: Vec<&Fields> = [Some(&self.state.in_force.fields), next, canary]
            .into_iter()
            .flatten()
            .collect();
        self.catalog.validate(transaction, |scope| {
            versions.iter().any(|fields| defines_scope(fields, scope))
        })
    }

    /// The version that an earlier proposal with the same idempotency key has become.
    fn duplicate_of(&self, entry: &LogEntry) -> Option<Version> {
        let LogEntry::Propose { id, .. } = entry else {
            return None;
        };
        self.past_versions
            .iter()
            .find(|past| past.id == *id && *id != 0)
            .map(|past| past.version)
    }

    fn check(&self, entry: &LogEntry) -> Result<(), EntryRejection> {
        match entry {
            LogEntry::Propose { base, fields, .. } => self.check_proposal(*base, fields),
            LogEntry::Advance { from } => self.check_advance(*from),
            LogEntry::Abandon { version } => self.check_abandon(*version),
            LogEntry::Join {
                member, revision, ..
            } => self.check_join(*member, *revision),
            LogEntry::Leave { .. } => Ok(()),
            LogEntry::BeginVoterReplacement { new, replaced, .. } => {
                self.check_begin_replacement(*new, *replaced)
            }
            LogEntry::EnterJointConsensus { new, replaced } => {
                let learning = self.replacement_in_phase(*new, ReplacementPhase::Learning);
                let matches = learning.is_some_and(|r| r.replaced == *replaced);
                ensure(matches, EntryRejection::NoReplacement)
            }
            LogEntry::CompleteVoterReplacement { new } => {
                self.check_replacement(*new, ReplacementPhase::JointConsensus)
            }
            LogEntry::CancelVoterReplacement { new } => {
                self.check_replacement(*new, ReplacementPhase::Learning)
            }
            LogEntry::Rollout { entry, fields } => self.check_rollout(entry, fields.as_ref()),
            // Each of its transactions has an outcome of its own.
            LogEntry::UpdateScopes { transactions } => {
                ensure(!transactions.is_empty(), EntryRejection::NoChange)
            }
            LogEntry::AdvanceScopes { in_force, settled } => {
                let any_joint = self.catalog.any_in_phase(in_force, true);
                let any_open = any_joint || self.catalog.any_in_phase(settled, false);
                ensure(any_open, EntryRejection::StaleRevision)
            }
            LogEntry::RevertScopes { scopes } => {
                let any_joint = self.catalog.any_in_phase(scopes, true);
                ensure(any_joint, EntryRejection::StaleRevision)
            }
        }
    }

    fn check_proposal(&self, base: Version, fields: &Fields) -> Result<(), EntryRejection> {
        self.check_no_scope_defined(fields)?;
        if self.canary_in_progress() {
            return Err(EntryRejection::CanaryInProgress);
        }
        self.check_no_change_in_progress()?;
        let latest = self.state.in_force.version;
        ensure(base == latest, EntryRejection::StaleBase { latest })?;
        self.check_differs_from_force(fields)
    }

    fn check_no_change_in_progress(&self) -> Result<(), EntryRejection> {
        match &self.state.next {
            Some((next, _)) => Err(EntryRejection::ChangeInProgress {
                version: next.version,
            }),
            None => Ok(()),
        }
    }

    fn check_differs_from_force(&self, fields: &Fields) -> Result<(), EntryRejection> {
        ensure(
            *fields != self.state.in_force.fields,
            EntryRejection::NoChange,
        )
    }

    /// Rejects a version whose fields define a function that is in the catalog of scopes.
    fn check_no_scope_defined(&self, fields: &Fields) -> Result<(), EntryRejection> {
        // Saves the search in a fleet without scopes.
        if self.catalog.scopes_since().is_none() {
            return Ok(());
        }
        let functions = fields
            .range("functions.".to_string()..)
            .take_while(|(path, _)| path.starts_with("functions."))
            .filter_map(|(path, _)| match AffectedCalls::of_path(path) {
                AffectedCalls::Function(name) => Some(name),
                _ => None,
            });
        let mut scopes = functions.filter(|name| self.catalog.get(name).is_some());
        match scopes.next() {
            Some(scope) => Err(EntryRejection::DefinedElsewhere { scope }),
            None => Ok(()),
        }
    }

    fn check_advance(&self, from: Revision) -> Result<(), EntryRejection> {
        let current = from == self.state.versions_revision && self.has_version_change();
        ensure(current, EntryRejection::StaleRevision)
    }

    fn check_abandon(&self, version: Version) -> Result<(), EntryRejection> {
        let in_progress = self.state.next.as_ref().is_some_and(|(next, phase)| {
            next.version == version && *phase != ChangePhase::RolledBack
        });
        ensure(in_progress, EntryRejection::NotInProgress)
    }

    fn check_join(&self, member: Member, revision: Revision) -> Result<(), EntryRejection> {
        let current = self.state.versions_revision..=self.state.revision;
        ensure(current.contains(&revision), EntryRejection::Behind)?;
        match self.roster.get(&member.id) {
            Some((known, _)) => ensure(*known <= member.incarnation, EntryRejection::Superseded),
            None => ensure(
                self.roster.len() < MAX_MEMBERS,
                EntryRejection::TooManyMembers,
            ),
        }
    }

    fn check_begin_replacement(&self, new: u64, replaced: u64) -> Result<(), EntryRejection> {
        if self.voter_replacement.is_some() {
            return Err(EntryRejection::ReplacementInProgress);
        }
        if self.voters.contains_key(&new) {
            return Err(EntryRejection::AlreadyVoter);
        }
        ensure(
            self.voters.contains_key(&replaced),
            EntryRejection::NotVoter,
        )
    }

    fn check_replacement(&self, new: u64, phase: ReplacementPhase) -> Result<(), EntryRejection> {
        let in_phase = self.replacement_in_phase(new, phase).is_some();
        ensure(in_phase, EntryRejection::NoReplacement)
    }

    fn check_rollout(
        &self,
        entry: &RolloutEntry,
        fields: Option<&Fields>,
    ) -> Result<(), EntryRejection> {
        let RolloutEntry::Begin {
            id, change, plan, ..
        } = entry
        else {
            return match &self.rollout {
                Some(rollout) => rollout.check(entry).map_err(EntryRejection::Rollout),
                None => Err(EntryRejection::Rollout(RolloutRejection::Ended)),
            };
        };
        match &self.rollout {
            Some(rollout) if rollout.id == *id => {
                return Err(EntryRejection::Rollout(RolloutRejection::AlreadyBegun))
            }
            Some(rollout) if !rollout.has_ended() => {
                return Err(EntryRejection::Rollout(RolloutRejection::Busy))
            }
            _ => {}
        }
        if let Some(fault) = plan.validation_error() {
            return Err(EntryRejection::Rollout(RolloutRejection::Plan(fault)));
        }
        if *change != RolloutChange::Settings {
            return Ok(());
        }
        self.check_canary(fields)
    }

    /// Whether a rollout may try these fields.
    fn check_canary(&self, fields: Option<&Fields>) -> Result<(), EntryRejection> {
        if let Some(fields) = fields {
            self.check_no_scope_defined(fields)?;
        }
        self.check_no_change_in_progress()?;
        match fields {
            Some(fields) => self.check_differs_from_force(fields),
            None => Err(EntryRejection::NoChange),
        }
    }
}

fn ensure(condition: bool, rejection: EntryRejection) -> Result<(), EntryRejection> {
    if condition {
        Ok(())
    } else {
        Err(rejection)
    }
}
