//! The catalog of all scopes, and the results of recent transactions.

use super::transaction::check_limit;
use super::{ChangeHistory, ScopeChange, ScopePhase, ScopeRecord, ScopeTransaction};
use crate::compatibility::Fields;
use crate::rejection::EntryRejection;
use crate::revision::Revision;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// The largest number of scopes in the catalog.
pub const MAX_SCOPES: usize = 1 << 19;
/// The number of recent transactions whose result is remembered.
pub const MAX_REMEMBERED_TRANSACTIONS: usize = 1024;

/// An accepted transaction and the progress of its updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactionResult {
    /// The transaction's idempotency key.
    pub id: u64,
    /// The revision in which its scopes became joint.
    pub revision: Revision,
    /// The number of scopes that are still joint.
    pub joint: u32,
    /// The number of scopes whose change came in force.
    pub in_force: u32,
    /// The number of scopes whose change was reverted.
    pub reverted: u32,
}

/// How the joint phase of a scope ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangeEnd {
    /// The next fields come in force.
    InForce,
    /// The fields before the change remain in force.
    Reverted,
}

/// All scopes. The stored form depends on the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ScopeCatalog {
    records: BTreeMap<String, ScopeRecord>,
    /// The scopes that are not settled, each with the idempotency key of its transaction.
    open: BTreeMap<String, u64>,
    results: VecDeque<TransactionResult>,
    /// The revision of the first change of any scope.
    since: Option<Revision>,
}

impl ScopeCatalog {
    /// The revision of the first change of any scope, if there was one. From then on, only members that support scopes
    /// may serve.
    pub fn scopes_since(&self) -> Option<Revision> {
        self.since
    }

    /// All scopes by name.
    pub fn all(&self) -> &BTreeMap<String, ScopeRecord> {
        &self.records
    }

    /// The record of a scope.
    pub fn get(&self, scope: &str) -> Option<&ScopeRecord> {
        self.records.get(scope)
    }

    /// The scopes that are not settled.
    pub fn unsettled(&self) -> impl Iterator<Item = (&str, &ScopeRecord)> {
        self.open
            .keys()
            .filter_map(|name| self.records.get_key_value(name))
            .map(|(name, record)| (name.as_str(), record))
    }

    /// The result of the recent transaction with this idempotency key.
    pub fn transaction_result(&self, id: u64) -> Option<&TransactionResult> {
        self.results
            .iter()
            .find(|result| result.id == id && id != 0)
    }

    /// Checks a transaction. Returns the revision in which it became joint if it is a duplicate, and `None` if applying
    /// it would have an effect. `in_versions` tells whether a version defines a function.
    pub(crate) fn validate(
        &self,
        transaction: &ScopeTransaction,
        in_versions: impl Fn(&str) -> bool,
    ) -> Result<Option<Revision>, EntryRejection> {
        if let Some(result) = self.transaction_result(transaction.id) {
            return Ok(Some(result.revision));
        }
        transaction.validate()?;
        let mut added = 0;
        let mut differs = false;
        for update in &transaction.updates {
            let scope = &update.scope;
            if in_versions(scope) {
                return Err(EntryRejection::DefinedElsewhere {
                    scope: scope.clone(),
                });
            }
            self.check_base(scope, update.base)?;
            differs |= self.fields(scope) != &update.fields;
            added += usize::from(!self.records.contains_key(scope));
        }
        if !differs {
            return Err(EntryRejection::NoChange);
        }
        check_limit(
            self.records.len() + added,
            MAX_SCOPES,
            "functions in the catalog",
        )?;
        Ok(None)
    }

    /// Checks that a scope may be changed by an update that is based on this revision.
    fn check_base(&self, scope: &str, base: Revision) -> Result<(), EntryRejection> {
        let known = self.get(scope);
        if known.is_some_and(|record| record.phase != ScopePhase::Settled) {
            return Err(EntryRejection::ScopeChangeInProgress {
                scope: scope.to_string(),
            });
        }
        let revision = known.map_or(Revision(0), |record| record.revision);
        if revision != base {
            return Err(EntryRejection::StaleScopeBase {
                scope: scope.to_string(),
                revision,
            });
        }
        Ok(())
    }

    /// The fields of a scope that are in force; `None` if the scope does not exist.
    fn fields(&self, scope: &str) -> &Option<Fields> {
        self.get(scope).map_or(&None, |record| &record.fields)
    }

    /// Makes the scopes of a valid transaction joint in this revision. Updates that change nothing are skipped.
    pub(crate) fn begin_changes(
        &mut self,
        revision: Revision,
        transaction: ScopeTransaction,
        changes: &mut Vec<Arc<ScopeChange>>,
    ) {
        self.since.get_or_insert(revision);
        let mut joint = 0;
        for update in transaction.updates {
            if self.fields(&update.scope) == &update.fields {
                continue;
            }
            joint += 1;
            let record = self.records.entry(update.scope.clone()).or_default();
            record.phase = ScopePhase::Joint {
                next: update.fields,
                since: revision,
            };
            changes.push(Arc::new(ScopeChange {
                revision,
                scope: update.scope.clone(),
                record: record.clone(),
            }));
            self.open.insert(update.scope, transaction.id);
        }
        self.remember(TransactionResult {
            id: transaction.id,
            revision,
            joint,
            in_force: 0,
            reverted: 0,
        });
    }

    fn remember(&mut self, result: TransactionResult) {
        if result.id == 0 {
            return;
        }
        self.results.push_back(result);
        if self.results.len() > MAX_REMEMBERED_TRANSACTIONS {
            self.results.pop_front();
        }
    }

    /// Ends the joint phase of scopes in this revision. Each scope comes with the revision in which it became joint;
    /// those that are not joint since that revision are skipped.
    pub(crate) fn end_changes(
        &mut self,
        revision: Revision,
        scopes: Vec<(String, Revision)>,
        end: ChangeEnd,
    ) -> Vec<Arc<ScopeChange>> {
        let mut changes = Vec::new();
        for (scope, joint_since) in scopes {
            let Some(record) = self.records.get_mut(&scope) else {
                continue;
            };
            if !record.end_change(revision, joint_since, end) {
                continue;
            }
            let record = record.clone();
            self.count_end(&scope, end);
            changes.push(Arc::new(ScopeChange {
                revision,
                scope,
                record,
            }));
        }
        changes
    }

    /// Counts the end of a scope's change in the result of its transaction.
    fn count_end(&mut self, scope: &str, end: ChangeEnd) {
        let id = self.open.get(scope).copied().filter(|id| *id != 0);
        let Some(result) = self.results.iter_mut().find(|r| Some(r.id) == id) else {
            return;
        };
        result.joint = result.joint.saturating_sub(1);
        match end {
            ChangeEnd::InForce => result.in_force += 1,
            ChangeEnd::Reverted => result.reverted += 1,
        }
    }

    /// Settles scopes after no member acts on their joint phase any more, so that they may change again. Each scope
    /// comes with the revision in which its joint phase ended; those in another phase, or in that phase since another
    /// revision, are skipped.
    pub(crate) fn settle(&mut self, scopes: &[(String, Revision)]) {
        for (scope, ended_in) in scopes {
            let Some(record) = self.records.get_mut(scope) else {
                continue;
            };
            let ended = matches!(
                record.phase,
                ScopePhase::Settling { since } | ScopePhase::Reverting { since } if since == *ended_in
            );
            if !ended {
                continue;
            }
            record.phase = ScopePhase::Settled;
            // A scope without fields does not exist and needs no record.
            if record.fields.is_none() {
                self.records.remove(scope);
            }
            self.open.remove(scope);
        }
    }

    /// Whether any of these scopes has been in its phase since the given revision. `joint` selects the joint phase or
    /// the phases after it.
    pub(crate) fn any_in_phase(&self, scopes: &[(String, Revision)], joint: bool) -> bool {
        let since = |record: &ScopeRecord| {
            record
                .phase
                .since()
                .filter(|_| record.next().is_some() == joint)
        };
        scopes
            .iter()
            .any(|(name, revision)| self.get(name).and_then(since) == Some(*revision))
    }
}

impl ScopeRecord {
    /// Ends the joint phase in this revision. Returns false, without a change, unless the scope has been joint since
    /// `joint_since`.
    fn end_change(&mut self, revision: Revision, joint_since: Revision, end: ChangeEnd) -> bool {
        if !matches!(self.phase, ScopePhase::Joint { since, .. } if since == joint_since) {
            return false;
        }
        if let ScopePhase::Joint { next, .. } = std::mem::take(&mut self.phase) {
            match end {
                ChangeEnd::Reverted => self.phase = ScopePhase::Reverting { since: revision },
                ChangeEnd::InForce => {
                    self.fields = next;
                    self.revision = revision;
                    self.phase = ScopePhase::Settling { since: revision };
                }
            }
        }
        true
    }
}

/// The part of a log that concerns scopes. It is stored separately, since programs that predate scopes read the rest.
/// The stored form depends on the order of the fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CatalogSnapshot {
    pub(crate) catalog: ScopeCatalog,
    pub(crate) versions_revision: Revision,
    pub(crate) history: ChangeHistory,
}
