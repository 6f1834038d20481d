//! The compatibility of fields between versions, and the calls that a field affects.

use super::value::{unescape_name, Value};
use std::cmp::Ordering;

/// Which of two values is the more restrictive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restrictiveness {
    /// The smaller value, for limits, windows, budgets, and flags that allow something.
    Smallest,
    /// The larger value, for counts that a budget is divided by, and for backoff times.
    Largest,
    /// The value that is named earlier in this list. A value that isn't in the list is the most restrictive of all, so
    /// that values of a newer schema are handled safely.
    Ranked(&'static [&'static str]),
}

impl Restrictiveness {
    /// Compares two values; the more restrictive one is less.
    fn order(self, left: &Value, right: &Value) -> Ordering {
        match self {
            Restrictiveness::Smallest => left.cmp(right),
            Restrictiveness::Largest => right.cmp(left),
            Restrictiveness::Ranked(names) => {
                // `None`, for a value that isn't named, is less than any rank.
                let rank = |value: &Value| match value {
                    Value::Text(text) => names.iter().position(|name| name == text),
                    _ => None,
                };
                rank(left).cmp(&rank(right)).then_with(|| left.cmp(right))
            }
        }
    }

    /// The more restrictive of two values. A missing value restricts nothing.
    pub fn stricter<'a>(
        self,
        left: Option<&'a Value>,
        right: Option<&'a Value>,
    ) -> Option<&'a Value> {
        match (left, right) {
            (Some(left), Some(right)) => Some(if self.order(left, right).is_le() {
                left
            } else {
                right
            }),
            (left, right) => left.or(right),
        }
    }

    /// Whether the left value is at least as restrictive as the right one.
    pub fn at_least_as_strict(self, left: Option<&Value>, right: Option<&Value>) -> bool {
        match (left, right) {
            (_, None) => true,
            (None, Some(_)) => false,
            (Some(left), Some(right)) => self.order(left, right).is_le(),
        }
    }
}

/// How a front end handles a joint field after its lease has expired, when it can't know the version in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExpiredLeasePolicy {
    /// It uses this value, the most restrictive that may ever be set.
    Strictest(Value),
    /// It rejects the calls that the field affects.
    Reject,
}

/// How the values of a field may differ while two versions are in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compatibility {
    /// Old and new value may be used side by side.
    Free,
    /// While both versions may be in use, the more restrictive value applies.
    Joint(Restrictiveness, ExpiredLeasePolicy),
    /// Two values must never be in use at once: calls that the field affects are rejected during a change.
    Strict,
}

/// The calls that a field affects.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AffectedCalls {
    /// All calls.
    All,
    /// The calls of a class.
    Class(String),
    /// The calls of a tenant.
    Tenant(String),
    /// The calls of a function.
    Function(String),
}

/// The attributes of a call that rules depend on.
#[derive(Clone, Copy, Debug)]
pub struct CallAttributes<'a> {
    /// The name of the call's class.
    pub class: &'a str,
    /// The name of the call's tenant.
    pub tenant: &'a str,
    /// The name of the called function.
    pub function: &'a str,
}

impl AffectedCalls {
    /// Whether the field affects this call.
    pub fn includes(&self, call: CallAttributes<'_>) -> bool {
        match self {
            AffectedCalls::All => true,
            AffectedCalls::Class(class) => class == call.class,
            AffectedCalls::Tenant(tenant) => tenant == call.tenant,
            AffectedCalls::Function(function) => function == call.function,
        }
    }

    /// The calls that the field at this path affects: those of a class, tenant or function if the path contains its
    /// name, otherwise all calls.
    pub fn of_path(path: &str) -> AffectedCalls {
        let mut parts = path.splitn(3, '.');
        match (parts.next(), parts.next(), parts.next()) {
            (Some("classes"), Some(class), Some(_)) => AffectedCalls::Class(unescape_name(class)),
            (Some("tenants"), Some(tenant), Some(_)) => {
                AffectedCalls::Tenant(unescape_name(tenant))
            }
            (Some("functions"), Some(function), Some(_)) => {
                AffectedCalls::Function(unescape_name(function))
            }
            _ => AffectedCalls::All,
        }
    }

    /// The name of the class, tenant or function; `None` for all calls.
    pub(super) fn name(&self) -> Option<&str> {
        match self {
            AffectedCalls::All => None,
            AffectedCalls::Class(name)
            | AffectedCalls::Tenant(name)
            | AffectedCalls::Function(name) => Some(name),
        }
    }

    /// The first component of the paths of these fields.
    pub(super) fn group(&self) -> &'static str {
        match self {
            AffectedCalls::All => "",
            AffectedCalls::Class(_) => "classes",
            AffectedCalls::Tenant(_) => "tenants",
            AffectedCalls::Function(_) => "functions",
        }
    }
}

/// The compatibility of each field, by patterns of paths in which `*` matches one name. The first matching pattern
/// applies. A field that no pattern matches is strict and affects all calls unless its path names a class, tenant or
/// function, so that fields of newer programs are handled safely.
#[derive(Clone, Debug, Default)]
pub struct Schema {
    patterns: Vec<(Vec<String>, Compatibility)>,
}

impl Schema {
    /// Creates a schema from patterns in order of precedence.
    pub fn new<'a>(patterns: impl IntoIterator<Item = (&'a str, Compatibility)>) -> Schema {
        let components = |pattern: &str| pattern.split('.').map(String::from).collect();
        Schema {
            patterns: patterns
                .into_iter()
                .map(|(pattern, compatibility)| (components(pattern), compatibility))
                .collect(),
        }
    }

    /// The compatibility of the field at this path.
    pub fn compatibility(&self, path: &str) -> &Compatibility {
        self.patterns
            .iter()
            .find(|(pattern, _)| matches(pattern, path))
            .map_or(&Compatibility::Strict, |(_, compatibility)| compatibility)
    }

    /// The patterns, split into components, with their compatibility.
    pub(super) fn patterns(&self) -> impl Iterator<Item = (&[String], &Compatibility)> {
        self.patterns
            .iter()
            .map(|(pattern, compatibility)| (pattern.as_slice(), compatibility))
    }
}

/// Whether a path matches a pattern.
fn matches(pattern: &[String], path: &str) -> bool {
    let mut names = path.splitn(pattern.len(), '.');
    pattern.iter().all(|component| {
        names
            .next()
            .is_some_and(|name| component == "*" || component == name)
    })
}
