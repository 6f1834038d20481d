//! How fields may differ while two versions are in use, and the calls that they affect.

use super::value::{unescape_name, Value};
use std::cmp::Ordering;

/// Which of two values is the more restrictive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restrictiveness {
    /// The smaller: limits, windows, budgets; of flags that allow something, `false`.
    Smallest,
    /// The larger: counts that a budget is divided by, times to back off.
    Largest,
    /// The one named first here. What is not named is the most restrictive of all, so that a value of a newer schema is
    /// safe.
    Ranked(&'static [&'static str]),
}

impl Restrictiveness {
    /// Compares two values, the more restrictive one first.
    fn order(self, left: &Value, right: &Value) -> Ordering {
        match self {
            Restrictiveness::Smallest => left.cmp(right),
            Restrictiveness::Largest => right.cmp(left),
            Restrictiveness::Ranked(names) => {
                // None, of what is not named, sorts before any rank.
                let rank = |value: &Value| match value {
                    Value::Text(text) => names.iter().position(|name| name == text),
                    _ => None,
                };
                rank(left).cmp(&rank(right)).then_with(|| left.cmp(right))
            }
        }
    }

    /// The more restrictive of two values. A field left out restricts nothing.
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

    /// Whether the first is at least as restrictive as the second.
    pub fn at_least_as_strict(self, left: Option<&Value>, right: Option<&Value>) -> bool {
        match (left, right) {
            (_, None) => true,
            (None, Some(_)) => false,
            (Some(left), Some(right)) => self.order(left, right).is_le(),
        }
    }
}

/// What a front end does with a field once its lease has expired, so that it contradicts no version that it can't know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExpiredLeasePolicy {
    /// It uses the most restrictive value that may ever be set.
    Strictest(Value),
    /// It rejects the calls that the field affects.
    Reject,
}

/// How the values of a field may differ while two versions are in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compatibility {
    /// Old and new side by side are harmless.
    Free,
    /// While both may be in use, the more restrictive one holds.
    Joint(Restrictiveness, ExpiredLeasePolicy),
    /// Never both: in the meantime the calls that the field affects are rejected.
    Strict,
}

/// The calls that a field affects.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AffectedCalls {
    /// Every call.
    All,
    /// Calls of a class.
    Class(String),
    /// Calls of a tenant.
    Tenant(String),
    /// Calls of a function.
    Function(String),
}

/// A call, as far as rules distinguish calls.
#[derive(Clone, Copy, Debug)]
pub struct CallAttributes<'a> {
    /// Its class.
    pub class: &'a str,
    /// Its tenant.
    pub tenant: &'a str,
    /// Its function.
    pub function: &'a str,
}

impl AffectedCalls {
    /// Whether this call is among them.
    pub fn includes(&self, call: CallAttributes<'_>) -> bool {
        match self {
            AffectedCalls::All => true,
            AffectedCalls::Class(class) => class == call.class,
            AffectedCalls::Tenant(tenant) => tenant == call.tenant,
            AffectedCalls::Function(function) => function == call.function,
        }
    }

    /// By a field's path: a field under a class, tenant or function affects the calls of that one.
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

    /// The class, tenant or function whose calls these are.
    pub(super) fn name(&self) -> Option<&str> {
        match self {
            AffectedCalls::All => None,
            AffectedCalls::Class(name)
            | AffectedCalls::Tenant(name)
            | AffectedCalls::Function(name) => Some(name),
        }
    }

    /// The first component of the paths of their fields.
    pub(super) fn group(&self) -> &'static str {
        match self {
            AffectedCalls::All => "",
            AffectedCalls::Class(_) => "classes",
            AffectedCalls::Tenant(_) => "tenants",
            AffectedCalls::Function(_) => "functions",
        }
    }
}

/// The compatibility of each field, by patterns of paths in which `*` stands for one name. The first match holds; a
/// field that no pattern matches is strict for all calls, so that what a newer program adds is never taken lightly.
#[derive(Clone, Debug, Default)]
pub struct Schema {
    patterns: Vec<(Vec<String>, Compatibility)>,
}

impl Schema {
    /// A schema of these patterns.
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

    /// The patterns by their components, each with its compatibility.
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
