//! A scope as the log has it, and what a front end acts on of it.

use super::fields_bytes;
use crate::compatibility::{
    escape_name, joint_rules, rules_without_lease, AffectedCalls, EffectiveRules, Fields, Schema,
};
use crate::revision::Revision;
use serde::{Deserialize, Serialize};

/// The phase of a scope's change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ScopePhase {
    /// No change is in progress.
    #[default]
    Settled,
    /// Some members may act on the present fields and some on the next ones.
    Joint {
        /// The fields that are to come in force; none: the scope is removed.
        next: Option<Fields>,
        /// The revision in which the change became joint.
        since: Revision,
    },
    /// In force, while some members may still act on the joint phase.
    Settling {
        /// The revision in which the change came in force.
        since: Revision,
    },
    /// Given up, while some members may still act on the joint phase.
    Reverting {
        /// The revision in which the change was given up.
        since: Revision,
    },
}

impl ScopePhase {
    /// The revision in which this phase began; none: it is settled.
    pub fn since(&self) -> Option<Revision> {
        match self {
            ScopePhase::Settled => None,
            ScopePhase::Joint { since, .. }
            | ScopePhase::Settling { since }
            | ScopePhase::Reverting { since } => Some(*since),
        }
    }
}

/// A scope as the log has it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeRecord {
    /// The revision in which its fields came in force; zero: it never had any.
    pub revision: Revision,
    /// The fields in force, or in force until the change in progress ends; none: there is no such function.
    pub fields: Option<Fields>,
    /// The phase of its change.
    pub phase: ScopePhase,
}

/// What a front end acts on for calls of a function.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EffectiveSettings {
    /// The settings in use; none: there is no such function.
    pub fields: Option<Fields>,
    /// Whether its calls are rejected for the time being.
    pub rejected: bool,
}

impl ScopeRecord {
    /// The next fields, while the change is joint.
    pub fn next(&self) -> Option<&Option<Fields>> {
        match &self.phase {
            ScopePhase::Joint { next, .. } => Some(next),
            _ => None,
        }
    }

    /// Whether the change in progress affects a strict field, so that it waits for every subscriber. Whether the
    /// function exists counts as one.
    pub fn changes_strict_field(&self, schema: &Schema, scope: &str) -> bool {
        self.next()
            .is_some_and(|_| self.effective(schema, scope).rejected)
    }

    /// What a member acts on while its lease lives.
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

    /// What a member acts on once its lease has expired, while its session lives: joint fields at their most
    /// restrictive value.
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

    /// The approximate size in bytes.
    pub fn memory_bytes(&self) -> usize {
        32 + fields_bytes(&self.fields) + self.next().map_or(0, fields_bytes)
    }
}

/// The prefix of the paths of a scope's fields among all settings.
fn path_prefix(scope: &str) -> String {
    format!("functions.{}.", escape_name(scope))
}

/// A scope's fields by their paths among all settings.
pub fn qualified_fields(scope: &str, fields: &Fields) -> Fields {
    let prefix = path_prefix(scope);
    fields
        .iter()
        .map(|(field, value)| (format!("{prefix}{field}"), value.clone()))
        .collect()
}

/// The fields of a scope among all, by their names under it.
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
