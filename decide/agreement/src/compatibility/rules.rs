//! The rules that a front end acts on: those of one version, of two versions in use at once, or of an outdated version.

use super::{
    escape_name, AffectedCalls, CallAttributes, Compatibility, ExpiredLeasePolicy, Fields, Schema,
    Value,
};
use std::collections::BTreeSet;

/// The rules that a front end acts on: the values of fields, and the calls that it rejects.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EffectiveRules {
    /// The values in use.
    pub fields: Fields,
    /// Calls that are rejected because a field that affects them differs between versions in use, may have another value
    /// in the version in force, or is unknown to this program.
    pub rejected: BTreeSet<AffectedCalls>,
    /// Whether calls whose class, tenant or function has no known field are rejected as well, since a version that the
    /// front end doesn't know may define it.
    pub rejects_unknown_names: bool,
}

impl EffectiveRules {
    /// The rules of a single version.
    pub fn from_fields(fields: &Fields) -> EffectiveRules {
        EffectiveRules {
            fields: fields.clone(),
            ..EffectiveRules::default()
        }
    }

    /// Whether this call is rejected.
    pub fn rejects(&self, call: CallAttributes<'_>) -> bool {
        let names = [
            AffectedCalls::Class(call.class.into()),
            AffectedCalls::Tenant(call.tenant.into()),
            AffectedCalls::Function(call.function.into()),
        ];
        let unknown = |calls: &AffectedCalls| {
            // The call states no name of this kind.
            let unnamed = calls.name().is_some_and(str::is_empty);
            !unnamed && !self.defines(calls)
        };
        self.rejected.iter().any(|calls| calls.includes(call))
            || self.rejects_unknown_names && names.iter().any(unknown)
    }

    /// Whether the rules have a field of this class, tenant or function.
    fn defines(&self, calls: &AffectedCalls) -> bool {
        let (group, Some(name)) = (calls.group(), calls.name()) else {
            return true;
        };
        let prefix = format!("{group}.{}.", escape_name(name));
        self.fields
            .range(prefix.clone()..)
            .next()
            .is_some_and(|(path, _)| path.starts_with(&prefix))
    }

    /// Whether all of these calls are rejected.
    fn rejects_all(&self, calls: &AffectedCalls) -> bool {
        self.rejected.contains(calls)
            || self.rejected.contains(&AffectedCalls::All)
            || self.rejects_unknown_names && !self.defines(calls)
    }
}

/// A field that differs between two versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldChange {
    /// The field's path.
    pub path: String,
    /// The old value; `None` if the old version leaves the field out.
    pub old: Option<Value>,
    /// The new value; `None` if the new version leaves the field out.
    pub new: Option<Value>,
    /// How the field's values may differ between members.
    pub compatibility: Compatibility,
    /// The calls that the field affects.
    pub affected: AffectedCalls,
}

/// The fields that differ between two versions, ordered by path.
pub fn changed_fields(schema: &Schema, old: &Fields, new: &Fields) -> Vec<FieldChange> {
    let paths: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    paths
        .into_iter()
        .filter(|path| old.get(*path) != new.get(*path))
        .map(|path| FieldChange {
            path: path.clone(),
            old: old.get(path).cloned(),
            new: new.get(path).cloned(),
            compatibility: schema.compatibility(path).clone(),
            affected: AffectedCalls::of_path(path),
        })
        .collect()
}

/// The rules while either version may be in force at other members: joint fields have the stricter value, calls that a
/// changed strict field affects are rejected, and free fields already have the new value.
pub fn joint_rules(schema: &Schema, old: &Fields, new: &Fields) -> EffectiveRules {
    let mut rules = EffectiveRules::from_fields(new);
    for change in changed_fields(schema, old, new) {
        match change.compatibility {
            Compatibility::Free => {}
            Compatibility::Joint(restrictiveness, _) => {
                let stricter = restrictiveness.stricter(change.old.as_ref(), change.new.as_ref());
                if let Some(value) = stricter.cloned() {
                    rules.fields.insert(change.path, value);
                }
            }
            Compatibility::Strict => {
                rules.rejected.insert(change.affected);
            }
        }
    }
    rules
}

/// The rules of a front end whose lease has expired while its session is live. Joint fields have their most restrictive
/// value, since a version that the front end doesn't know may be in force. Strict fields keep their values, since
/// a change of a strict field proceeds only when every member with a live session has reached it.
pub fn rules_without_lease(schema: &Schema, known: EffectiveRules) -> EffectiveRules {
    let expired = rules_after_expiry(schema, &known.fields);
    let mut fields = known.fields;
    let is_joint = |path: &str| matches!(schema.compatibility(path), Compatibility::Joint(..));
    fields.extend(
        expired
            .fields
            .into_iter()
            .filter(|(path, _)| is_joint(path)),
    );
    let mut rejected = known.rejected;
    for path in fields.keys() {
        if let Compatibility::Joint(_, ExpiredLeasePolicy::Reject) = schema.compatibility(path) {
            rejected.insert(AffectedCalls::of_path(path));
        }
    }
    EffectiveRules {
        fields,
        rejected,
        // An unknown tenant may have a limit in the version in force.
        rejects_unknown_names: true,
    }
}

/// The rules of a front end that can't know which version is in force. Free fields keep their values, and joint fields
/// have their most restrictive value unless their policy is to reject. The calls that any other field affects are
/// rejected, which are all calls if its path names no class, tenant or function. Calls of unknown classes, tenants and
/// functions are rejected too.
pub fn rules_after_expiry(schema: &Schema, known: &Fields) -> EffectiveRules {
    let mut rules = EffectiveRules {
        rejects_unknown_names: true,
        ..EffectiveRules::from_fields(known)
    };
    restrict_missing_fields(schema, known, &mut rules);
    let EffectiveRules {
        fields, rejected, ..
    } = &mut rules;
    for (path, value) in fields {
        match schema.compatibility(path) {
            Compatibility::Free => {}
            Compatibility::Joint(restrictiveness, ExpiredLeasePolicy::Strictest(strictest)) => {
                let stricter = restrictiveness.stricter(Some(value), Some(strictest));
                *value = stricter.unwrap_or(strictest).clone();
            }
            Compatibility::Joint(_, ExpiredLeasePolicy::Reject) | Compatibility::Strict => {
                rejected.insert(AffectedCalls::of_path(path));
            }
        }
    }
    rules
}

/// Adds the restrictions of fields that the known version may lack but the version in force may set. Missing joint fields
/// get their most restrictive value; the calls that other fields affect, except free ones, are rejected. Covers patterns
/// without `*`, and `GROUP.*.FIELD` for the class, tenant and function names in the known version.
fn restrict_missing_fields(schema: &Schema, known: &Fields, rules: &mut EffectiveRules) {
    let names = defined_names(known);
    for (pattern, compatibility) in schema.patterns() {
        let paths = paths_of_pattern(pattern, &names);
        // Skips paths to which an earlier pattern gives another compatibility.
        for path in paths
            .into_iter()
            .filter(|path| schema.compatibility(path) == compatibility)
        {
            match compatibility {
                Compatibility::Free => {}
                Compatibility::Joint(_, ExpiredLeasePolicy::Strictest(strictest)) => {
                    rules
                        .fields
                        .entry(path)
                        .or_insert_with(|| strictest.clone());
                }
                Compatibility::Joint(_, ExpiredLeasePolicy::Reject) | Compatibility::Strict => {
                    rules.rejected.insert(AffectedCalls::of_path(&path));
                }
            }
        }
    }
}

/// The names that have fields, each with its group (`classes`, `tenants`, `functions`).
fn defined_names(fields: &Fields) -> BTreeSet<(&str, &str)> {
    fields
        .keys()
        .filter_map(|path| {
            let mut parts = path.splitn(3, '.');
            let group = parts.next()?;
            let name = parts.next()?;
            parts.next().map(|_| (group, name))
        })
        .collect()
}

/// The paths that a pattern without `*` or of the form `GROUP.*.FIELD` matches, with `*` replaced by each of the group's
/// names. Other patterns yield none.
fn paths_of_pattern(pattern: &[String], names: &BTreeSet<(&str, &str)>) -> Vec<String> {
    match pattern {
        [group, any, field] if any == "*" => names
            .iter()
            .filter(|(known_group, _)| known_group == group)
            .map(|(group, name)| format!("{group}.{name}.{field}"))
            .collect(),
        exact if exact.iter().all(|component| component != "*") => vec![exact.join(".")],
        _ => Vec::new(),
    }
}

/// The fields on which a front end's rules contradict the version in force, with the calls that each affects: strict
/// fields with another value, and joint fields with a less restrictive value. Being more restrictive is never a
/// contradiction.
pub fn contradictions(
    schema: &Schema,
    in_force: &Fields,
    acting: &EffectiveRules,
) -> Vec<(String, AffectedCalls)> {
    let paths: BTreeSet<&String> = in_force.keys().chain(acting.fields.keys()).collect();
    let contradicts = |path: &str| {
        let used = acting.fields.get(path);
        let agreed = in_force.get(path);
        match schema.compatibility(path) {
            Compatibility::Free => false,
            Compatibility::Joint(restrictiveness, _) => {
                !restrictiveness.at_least_as_strict(used, agreed)
            }
            Compatibility::Strict => used != agreed,
        }
    };
    paths
        .into_iter()
        .map(|path| (path, AffectedCalls::of_path(path)))
        .filter(|(path, calls)| !acting.rejects_all(calls) && contradicts(path))
        .map(|(path, calls)| (path.clone(), calls))
        .collect()
}
