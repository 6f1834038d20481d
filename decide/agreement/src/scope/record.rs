//! The record of a scope in the log, and the settings that a front end derives from it.

use super::fields_bytes;
use crate::compatibility::{
    escape_name, joint_rules, rules_without_lease, AffectedCalls, EffectiveRules, Fields, Schema,
};
use crate::revision::Revision;
use serde::{Deserialize, Serialize};

/// The approximate size in bytes of a record without its fields.
const RECORD_OVERHEAD_BYTES: usize = 32;

/// The phase of a scope's change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ScopePhase {
    /// No change is in progress.
    #[default]
    Settled,
    /// Some members may act on the current fields and some on the next ones.
    Joint {
        /// The fields that are to come in force; `None` if the scope is to be removed.
        next: Option<Fields>,
        /// The revision in which the change became joint.
        since: Revision,
    },
    /// The change is in force, but some members may still act on the joint phase.
    Settling {
        /// The revision in which the change came in force.
        since: Revision,
    },
    /// The change was reverted, but some members may still act on the joint phase.
    Reverting {
        /// The revision in which the change was reverted.
        since: Revision,
    },
}

impl ScopePhase {
    /// The revision in which this phase began; `None` if no change is in progress.
    pub fn since(&self) -> Option<Revision> {
        match self {
            ScopePhase::Settled => None,
            ScopePhase::Joint { since, .. }
            | ScopePhase::Settling { since }
            | ScopePhase::Reverting { since } => Some(*since),
        }
    }
}

/// The record of a scope in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeRecord {
    /// The revision in which the scope's fields came in force; zero before its first change is in force.
    pub revision: Revision,
    /// The fields in force; `None` if there is no such function.
    pub fields: Option<Fields>,
    /// The phase of the scope's change.
    pub phase: ScopePhase,
}

/// The settings that a front end acts on for calls of a function.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EffectiveSettings {
    /// The settings in use; `None` if there is no such function.
    pub fields: Option<Fields>,
    /// Whether calls of the function are rejected until a change is complete.
    pub rejected: bool,
}

impl ScopeRecord {
    /// The next fields, if a change is in its joint phase.
    pub fn next(&self) -> Option<&Option<Fields>> {
        match &self.phase {
            ScopePhase::Joint { next, .. } => Some(next),
            _ => None,
        }
    }

    /// Whether a change in its joint phase affects a strict field, so that it waits for every subscriber. Adding and
    /// removing the function count as such changes.
    pub fn changes_strict_field(&self, schema: &Schema, scope: &str) -> bool {
        self.next()
            .is_some_and(|_| self.effective(schema, scope).rejected)
    }

    /// The settings that a member with a live lease acts on.
    pub fn effective(&self, schema: &Schema, scope: &str) -> EffectiveSettings {
        match (&self.fields, self.next()) {
            (fields, None) => EffectiveSettings {
                fields: fields.clone(),
                rejected: false,
            },
            (Some(old), Some(Some(next))) => {
                let old = qualified_fields(scope, old);
                let next = qualified_fields(scope, next);
                let rules = joint_rules(schema, &old, &next);
                EffectiveSettings {
                    fields: Some(fields_of_scope(scope, &rules)),
                    rejected: !rules.rejected.is_empty(),
                }
            }
            (old, Some(next)) => EffectiveSettings {
                fields: old.clone().or_else(|| next.clone()),
                rejected: old.is_some() != next.is_some(),
            },
        }
    }

    /// The settings that a member acts on whose lease has expired while its session is live: joint fields have their
    /// most restrictive value.
    pub fn effective_without_lease(&self, schema: &Schema, scope: &str) -> EffectiveSettings {
        let effective = self.effective(schema, scope);
        let Some(fields) = &effective.fields else {
            return effective;
        };
        let known = EffectiveRules::from_fields(&qualified_fields(scope, fields));
        let rules = rules_without_lease(schema, known);
        let affects_scope =
            |calls: &AffectedCalls| matches!(calls, AffectedCalls::Function(f) if f == scope);
        EffectiveSettings {
            fields: Some(fields_of_scope(scope, &rules)),
            rejected: effective.rejected || rules.rejected.iter().any(affects_scope),
        }
    }

    /// The approximate size of the record in bytes.
    pub fn memory_bytes(&self) -> usize {
        RECORD_OVERHEAD_BYTES + fields_bytes(&self.fields) + self.next().map_or(0, fields_bytes)
    }
}

/// The prefix of the paths of a scope's fields within all settings.
fn path_prefix(scope: &str) -> String {
    format!("functions.{}.", escape_name(scope))
}

/// A scope's fields, by their paths within all settings.
pub fn qualified_fields(scope: &str, fields: &Fields) -> Fields {
    let prefix = path_prefix(scope);
    fields
        .iter()
        .map(|(field, value)| (format!("{prefix}{field}"), value.clone()))
        .collect()
}

/// The fields of a scope within all settings, by their names without the path prefix.
fn fields_of_scope(scope: &str, rules: &EffectiveRules) -> Fields {
    let prefix = path_prefix(scope);
    rules
        .fields
        .range(prefix.clone()..)
        .take_while(|(path, _)| path.starts_with(&prefix))
        .map(|(path, value)| (path[prefix.len()..].to_string(), value.clone()))
        .collect()
}

/// Whether the fields of a version define this function.
pub(crate) fn defines_scope(fields: &Fields, scope: &str) -> bool {
    let prefix = path_prefix(scope);
    fields
        .range(prefix.clone()..)
        .next()
        .is_some_and(|(path, _)| path.starts_with(&prefix))
}
