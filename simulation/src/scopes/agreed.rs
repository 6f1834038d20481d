//! The agreed records of the scopes, tracked change by change, and the settings that front ends may act on.

use super::change_number;
use std::collections::{BTreeMap, BTreeSet};
use tansy_agreement::compatibility::{contradictions, EffectiveRules, Fields, Schema};
use tansy_agreement::log::{Log, Revision};
use tansy_agreement::scope::{
    qualified_fields, EffectiveSettings, ScopeChange, ScopePhase, ScopeRecord,
};

/// The agreed record of a scope, and the settings that may be acted on under a lease.
#[derive(Default)]
struct AgreedScope {
    record: ScopeRecord,
    permitted: Vec<EffectiveSettings>,
}

/// The inputs of an audit of a front end; an audit with equal inputs has the same result and is skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AuditKey {
    pub(super) round: u64,
    pub(super) incarnation: u64,
    /// Number of changes to the scopes known to the front end.
    pub(super) scopes_changed: u64,
    pub(super) has_lease: bool,
    pub(super) has_session: bool,
}

/// A scope change that came into force or was abandoned.
pub(super) struct EndedChange {
    pub(super) revision: Revision,
    /// The number of the change, if its fields contain one.
    pub(super) number: Option<i64>,
    pub(super) in_force: bool,
}

/// The agreed records of all scopes.
#[derive(Default)]
pub(super) struct AgreedScopes {
    scopes: BTreeMap<String, AgreedScope>,
    unsettled: BTreeSet<String>,
    /// The revision up to which changes have been processed.
    pub(super) revision: Revision,
    /// Number of changes and settlements so far.
    pub(super) round: u64,
    /// The changes that entered the joint phase: scope, number and revision.
    joint: BTreeSet<(String, Option<i64>, Revision)>,
    pub(super) in_force: u64,
    pub(super) reverted: u64,
    /// Ended changes that are not measured yet.
    pub(super) ended: Vec<EndedChange>,
}

impl AgreedScopes {
    /// Whether no change is pending.
    pub(super) fn is_settled(&self) -> bool {
        self.unsettled.is_empty()
    }

    /// The agreed record of a scope; empty if the scope was never changed.
    pub(super) fn record(&self, scope: &str) -> ScopeRecord {
        let agreed = self.scopes.get(scope);
        agreed.map(|s| s.record.clone()).unwrap_or_default()
    }

    /// The fields of a scope that are in force.
    pub(super) fn fields(&self, scope: &str) -> Option<&Fields> {
        self.scopes.get(scope)?.record.fields.as_ref()
    }

    /// Processes the new changes of a log. Returns whether there were any, and the violations among them.
    pub(super) fn follow(&mut self, log: &Log, schema: &Schema) -> (bool, Vec<String>) {
        let before = self.round;
        let state = log.state();
        let mut violations = Vec::new();
        let Some(changes) = state.history.since(self.revision) else {
            violations.push(format!(
                "no longer has the changes since revision {}",
                self.revision.0
            ));
            return (false, violations);
        };
        for change in changes {
            self.apply_change(change, schema, &mut violations);
        }
        self.revision = state.revision;
        self.settle(log, schema, &mut violations);
        (self.round > before, violations)
    }

    fn apply_change(
        &mut self,
        change: &ScopeChange,
        schema: &Schema,
        violations: &mut Vec<String>,
    ) {
        let scope = &change.scope;
        let agreed = self.scopes.entry(scope.clone()).or_default();
        let before = std::mem::replace(&mut agreed.record, change.record.clone());
        agreed.permitted = vec![
            before.effective(schema, scope),
            change.record.effective(schema, scope),
        ];
        self.round += 1;
        self.unsettled.insert(scope.clone());
        match &change.record.phase {
            ScopePhase::Joint { next, since } => {
                self.enter_joint(change, &before, next, *since, violations);
            }
            ScopePhase::Settling { .. } => {
                if before.next() != Some(&change.record.fields) {
                    violations.push(format!(
                        "{scope} came into force in revision {} with other fields than the pending change",
                        change.revision.0
                    ));
                }
                self.in_force += 1;
                let number = change_number(&change.record.fields);
                self.end_change(change.revision, number, true);
            }
            ScopePhase::Reverting { .. } => {
                if before.next().is_none() || before.fields != change.record.fields {
                    violations.push(format!(
                        "{scope} was reverted in revision {} without a pending change or to other fields",
                        change.revision.0
                    ));
                }
                self.reverted += 1;
                let number = before.next().and_then(change_number);
                self.end_change(change.revision, number, false);
            }
            ScopePhase::Settled => {
                violations.push(format!("{scope} has a change with the phase settled"))
            }
        }
    }

    fn enter_joint(
        &mut self,
        change: &ScopeChange,
        before: &ScopeRecord,
        next: &Option<Fields>,
        since: Revision,
        violations: &mut Vec<String>,
    ) {
        let scope = &change.scope;
        let number = change_number(next);
        if before.next().is_some() || before.fields != change.record.fields {
            violations.push(format!(
                "{scope} entered the joint phase in revision {} out of order",
                since.0
            ));
        }
        let is_same = |(other, other_number, _): &(String, Option<i64>, Revision)| {
            other == scope && other_number.is_some() && *other_number == number
        };
        if self.joint.iter().any(is_same) {
            violations.push(format!(
                "{scope}: change {number:?} entered the joint phase twice"
            ));
        }
        self.joint.insert((scope.clone(), number, since));
    }

    fn end_change(&mut self, revision: Revision, number: Option<i64>, in_force: bool) {
        self.ended.push(EndedChange {
            revision,
            number,
            in_force,
        });
    }

    /// For scopes that the catalog has settled, permits only the settled settings.
    fn settle(&mut self, log: &Log, schema: &Schema, violations: &mut Vec<String>) {
        let is_settled = |name: &&String| {
            let record = log.catalog().get(name);
            record.is_none_or(|record| record.phase == ScopePhase::Settled)
        };
        let settled: Vec<String> = self.unsettled.iter().filter(is_settled).cloned().collect();
        for name in settled {
            self.unsettled.remove(&name);
            self.round += 1;
            let Some(agreed) = self.scopes.get_mut(&name) else {
                continue;
            };
            let record = log.catalog().get(&name).cloned().unwrap_or_default();
            if record.fields != agreed.record.fields {
                violations.push(format!(
                    "{name} settled with other fields than are in force"
                ));
            }
            agreed.permitted = vec![record.effective(schema, &name)];
            agreed.record = record;
        }
    }

    /// The violation in the settings of a scope that a front end acts on, if there is one.
    pub(super) fn violation(
        &self,
        schema: &Schema,
        scope: &str,
        acting: &EffectiveSettings,
        has_lease: bool,
    ) -> Option<String> {
        let unchanged = AgreedScope {
            record: ScopeRecord::default(),
            permitted: vec![EffectiveSettings::default()],
        };
        let agreed = self.scopes.get(scope).unwrap_or(&unchanged);
        let report = |detail: &str| {
            Some(format!(
                "{scope}: acts on {acting:?}, {detail}, agreed is {:?}",
                agreed.record
            ))
        };
        if has_lease && !agreed.permitted.contains(acting) {
            return report("with a lease");
        }
        if acting.rejected {
            return None;
        }
        match (&agreed.record.fields, &acting.fields) {
            (Some(in_force), Some(acting)) => {
                let contradictions = contradictions(
                    schema,
                    &qualified_fields(scope, in_force),
                    &EffectiveRules::from_fields(&qualified_fields(scope, acting)),
                );
                contradictions.first().and_then(|(path, _)| report(path))
            }
            (None, None) => None,
            _ => report("but only one of the two has fields"),
        }
    }
}
