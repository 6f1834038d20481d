//! What a field of the settings means to calls while two versions of it are about.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// A field's value, as the settings hold it once they are read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Value {
    /// Yes or no.
    Flag(bool),
    /// A whole number.
    Int(i64),
    /// A duration, microseconds.
    Span(i64),
    /// A size, bytes.
    Bytes(i64),
    /// A number.
    Number(f64),
    /// A name or a choice.
    Text(String),
    /// Several, in their order.
    List(Vec<Value>),
}

impl Value {
    /// A total order over all values: numbers by size whatever their form, else by sort, then by content.
    fn compare(&self, other: &Value) -> Ordering {
        let sort = |v: &Value| match v {
            Value::Flag(_) => 0,
            Value::Int(_) | Value::Span(_) | Value::Bytes(_) | Value::Number(_) => 1,
            Value::Text(_) => 2,
            Value::List(_) => 3,
        };
        match (self, other) {
            (Value::Flag(a), Value::Flag(b)) => a.cmp(b),
            (Value::Number(a), Value::Number(b)) => a.total_cmp(b),
            (Value::Number(a), b) if b.whole().is_some() => {
                a.total_cmp(&(b.whole().unwrap_or(0) as f64))
            }
            (a, Value::Number(b)) if a.whole().is_some() => {
                (a.whole().unwrap_or(0) as f64).total_cmp(b)
            }
            (Value::Text(a), Value::Text(b)) => a.cmp(b),
            (Value::List(a), Value::List(b)) => {
                let first = a
                    .iter()
                    .zip(b)
                    .map(|(a, b)| a.compare(b))
                    .find(|o| o.is_ne());
                first.unwrap_or_else(|| a.len().cmp(&b.len()))
            }
            _ => match (self.whole(), other.whole()) {
                (Some(a), Some(b)) => a.cmp(&b),
                _ => sort(self).cmp(&sort(other)),
            },
        }
    }

    fn whole(&self) -> Option<i64> {
        match self {
            Value::Int(n) | Value::Span(n) | Value::Bytes(n) => Some(*n),
            _ => None,
        }
    }
}

impl std::fmt::Display for Value {
    /// As a settings file writes it.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Value::Flag(b) => write!(f, "{b}"),
            Value::Int(n) => write!(f, "{n}"),
            Value::Span(n) => in_units(
                f,
                *n,
                &[
                    ("h", 3_600_000_000),
                    ("m", 60_000_000),
                    ("s", 1_000_000),
                    ("ms", 1000),
                ],
                "us",
            ),
            Value::Bytes(n) => in_units(
                f,
                *n,
                &[("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10)],
                "B",
            ),
            Value::Number(x) => write!(f, "{x}"),
            Value::Text(t) => f.write_str(&quote(t)),
            Value::List(all) => {
                let all: Vec<String> = all.iter().map(Value::to_string).collect();
                write!(f, "[{}]", all.join(", "))
            }
        }
    }
}

/// In the largest unit of which it is a whole number.
fn in_units(
    f: &mut std::fmt::Formatter<'_>,
    n: i64,
    units: &[(&str, i64)],
    least: &str,
) -> std::fmt::Result {
    match units.iter().find(|(_, size)| n != 0 && n % size == 0) {
        Some((unit, size)) => write!(f, "{}{unit}", n / size),
        None => write!(f, "{n}{least}"),
    }
}

/// A text in quotes, as a settings file writes it.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => out.extend(['\\', c]),
            '\n' => out.push_str("\\n"),
            '\t' => out.push_str("\\t"),
            '\r' => out.push_str("\\r"),
            c if c.is_control() => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out + "\""
}

/// A name as a part of a path: without dots.
pub fn part(name: &str) -> String {
    name.replace('%', "%25").replace('.', "%2e")
}

/// The name that is a part of a path.
pub fn name(part: &str) -> String {
    part.replace("%2e", ".").replace("%25", "%")
}

impl PartialEq for Value {
    fn eq(&self, other: &Value) -> bool {
        self.compare(other).is_eq()
    }
}
impl Eq for Value {}
impl PartialOrd for Value {
    fn partial_cmp(&self, other: &Value) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Value {
    fn cmp(&self, other: &Value) -> Ordering {
        self.compare(other)
    }
}

/// Which of two values binds more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restrictiveness {
    /// The smaller: limits, windows, budgets; of flags that allow something, `false`.
    Smallest,
    /// The larger: counts that a budget is divided by, times to go easy.
    Largest,
    /// The one named first here. What is not named binds most of all, so that a value of a newer schema is safe.
    Ranked(&'static [&'static str]),
}

impl Restrictiveness {
    /// The order from what binds most.
    fn order(self, a: &Value, b: &Value) -> Ordering {
        match self {
            Restrictiveness::Smallest => a.cmp(b),
            Restrictiveness::Largest => b.cmp(a),
            Restrictiveness::Ranked(names) => {
                let place = |v: &Value| match v {
                    Value::Text(t) => names.iter().position(|n| n == t).map_or(-1, |p| p as isize),
                    _ => -1,
                };
                place(a).cmp(&place(b)).then_with(|| a.cmp(b))
            }
        }
    }

    /// The one of two that binds more. A field left out binds nothing.
    pub fn stricter<'a>(self, a: Option<&'a Value>, b: Option<&'a Value>) -> Option<&'a Value> {
        match (a, b) {
            (Some(a), Some(b)) => Some(if self.order(a, b).is_le() { a } else { b }),
            (a, b) => a.or(b),
        }
    }

    /// Whether the first binds at least as much as the second.
    pub fn at_least_as_strict(self, a: Option<&Value>, b: Option<&Value>) -> bool {
        match (a, b) {
            (_, None) => true,
            (None, Some(_)) => false,
            (Some(a), Some(b)) => self.order(a, b).is_le(),
        }
    }
}

/// What a front end does with a field when its lease ran out, so that it contradicts no version that it can't know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExpiredLeasePolicy {
    /// It takes the value that binds most of all that may ever be set.
    Strictest(Value),
    /// It refuses the calls that the field touches.
    Reject,
}

/// How a field agrees.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compatibility {
    /// Old and new side by side are harmless.
    Free,
    /// While both may be about, the one that binds more holds.
    Joint(Restrictiveness, ExpiredLeasePolicy),
    /// Never both: meanwhile the calls that it touches are refused.
    Strict,
}

/// The calls that a field touches.
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

/// A call, as far as rules tell calls apart.
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
            AffectedCalls::Class(c) => c == call.class,
            AffectedCalls::Tenant(t) => t == call.tenant,
            AffectedCalls::Function(f) => f == call.function,
        }
    }

    fn name(&self) -> Option<&str> {
        match self {
            AffectedCalls::All => None,
            AffectedCalls::Class(n) | AffectedCalls::Tenant(n) | AffectedCalls::Function(n) => {
                Some(n)
            }
        }
    }

    fn group(&self) -> &'static str {
        match self {
            AffectedCalls::All => "",
            AffectedCalls::Class(_) => "classes",
            AffectedCalls::Tenant(_) => "tenants",
            AffectedCalls::Function(_) => "functions",
        }
    }

    /// By a field's place: what stands under a class, tenant or function touches the calls of that one.
    pub fn of_path(path: &str) -> AffectedCalls {
        let mut parts = path.splitn(3, '.');
        match (parts.next(), parts.next(), parts.next()) {
            (Some("classes"), Some(c), Some(_)) => AffectedCalls::Class(name(c)),
            (Some("tenants"), Some(t), Some(_)) => AffectedCalls::Tenant(name(t)),
            (Some("functions"), Some(f), Some(_)) => AffectedCalls::Function(name(f)),
            _ => AffectedCalls::All,
        }
    }
}

/// Fields of the settings by their path, such as `classes.chat.window`. Names in it are written by [`part`].
pub type Fields = BTreeMap<String, Value>;

/// How each field agrees, by patterns of paths in which `*` stands for one name. The first that fits holds; a field
/// that no pattern fits is strict for all calls, so that what a newer program adds is never taken lightly.
#[derive(Clone, Debug, Default)]
pub struct Schema {
    patterns: Vec<(Vec<String>, Compatibility)>,
}

impl Schema {
    /// A schema of these patterns.
    pub fn new<'a>(patterns: impl IntoIterator<Item = (&'a str, Compatibility)>) -> Schema {
        let split = |p: &str| p.split('.').map(String::from).collect();
        Schema {
            patterns: patterns.into_iter().map(|(p, k)| (split(p), k)).collect(),
        }
    }

    /// How the field at this path agrees.
    pub fn compatibility(&self, path: &str) -> &Compatibility {
        let fits = |pattern: &[String]| {
            let mut names = path.splitn(pattern.len(), '.');
            pattern
                .iter()
                .all(|p| names.next().is_some_and(|n| p == "*" || p == n))
        };
        self.patterns
            .iter()
            .find(|(p, _)| fits(p))
            .map_or(&Compatibility::Strict, |(_, k)| k)
    }
}

/// Rules that a front end acts on: values, and the calls that it refuses meanwhile.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EffectiveRules {
    /// The values in use.
    pub fields: Fields,
    /// Calls that no version agrees on.
    pub rejected: BTreeSet<AffectedCalls>,
    /// Whether calls that name a class, tenant or function of which no field is known are refused as well: a version
    /// that can't be known may have it.
    pub unlisted: bool,
}

impl EffectiveRules {
    /// Those of one version alone.
    pub fn from_fields(fields: &Fields) -> EffectiveRules {
        EffectiveRules {
            fields: fields.clone(),
            ..EffectiveRules::default()
        }
    }

    /// Whether this call is refused.
    pub fn rejects(&self, call: CallAttributes<'_>) -> bool {
        let named = [
            AffectedCalls::Class(call.class.into()),
            AffectedCalls::Tenant(call.tenant.into()),
            AffectedCalls::Function(call.function.into()),
        ];
        let unknown = |t: &AffectedCalls| !t.name().is_some_and(str::is_empty) && !self.lists(t);
        self.rejected.iter().any(|t| t.includes(call)) || self.unlisted && named.iter().any(unknown)
    }

    /// Whether some field stands under what this names.
    fn lists(&self, touch: &AffectedCalls) -> bool {
        let (group, Some(name)) = (touch.group(), touch.name()) else {
            return true;
        };
        let under = format!("{group}.{}.", part(name));
        self.fields
            .range(under.clone()..)
            .next()
            .is_some_and(|(p, _)| p.starts_with(&under))
    }

    /// Whether every call that this names is refused.
    fn out(&self, touch: &AffectedCalls) -> bool {
        self.rejected.contains(touch)
            || self.rejected.contains(&AffectedCalls::All)
            || self.unlisted && !self.lists(touch)
    }
}

/// One field that differs between two versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldChange {
    /// Where it stands.
    pub path: String,
    /// Its value before; none: left out.
    pub old: Option<Value>,
    /// And after.
    pub new: Option<Value>,
    /// How it agrees.
    pub compatibility: Compatibility,
    /// The calls that it touches.
    pub affected: AffectedCalls,
}

/// What differs between two versions, in the paths' order.
pub fn changes(schema: &Schema, old: &Fields, new: &Fields) -> Vec<FieldChange> {
    let paths: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let differs = paths.into_iter().filter(|p| old.get(*p) != new.get(*p));
    let change = |p: &String| FieldChange {
        path: p.clone(),
        old: old.get(p).cloned(),
        new: new.get(p).cloned(),
        compatibility: schema.compatibility(p).clone(),
        affected: AffectedCalls::of_path(p),
    };
    differs.map(change).collect()
}

/// The rules under which either version may be in force elsewhere: of joint fields the stricter value; calls that a
/// changed strict field touches are refused; free fields are the newer version's already.
pub fn joint_rules(schema: &Schema, old: &Fields, new: &Fields) -> EffectiveRules {
    let mut rules = EffectiveRules::from_fields(new);
    for c in changes(schema, old, new) {
        match c.compatibility {
            Compatibility::Free => {}
            Compatibility::Joint(by, _) => {
                let held = by.stricter(c.old.as_ref(), c.new.as_ref()).cloned();
                rules.fields.extend(held.map(|v| (c.path, v)));
            }
            Compatibility::Strict => {
                rules.rejected.insert(c.affected);
            }
        }
    }
    rules
}

/// The rules of a front end whose lease is out while its stay is not: every joint field at the value that binds most, since
/// a version that it doesn't know may be in force; strict fields as they are, since no change of one goes by without it.
pub fn rules_without_lease(schema: &Schema, known: EffectiveRules) -> EffectiveRules {
    let without = rules_after_expiry(schema, &known.fields);
    let joint_rules = |path: &str| matches!(schema.compatibility(path), Compatibility::Joint(..));
    let mut fields = known.fields;
    fields.extend(
        without
            .fields
            .into_iter()
            .filter(|(path, _)| joint_rules(path)),
    );
    let refuses = |(path, _): (&String, &Value)| {
        matches!(
            schema.compatibility(path),
            Compatibility::Joint(_, ExpiredLeasePolicy::Reject)
        )
        .then(|| AffectedCalls::of_path(path))
    };
    let refused = fields
        .iter()
        .filter_map(refuses)
        .chain(known.rejected)
        .collect();
    // A tenant of whom nothing is known may have a limit by now.
    EffectiveRules {
        fields,
        rejected: refused,
        unlisted: true,
    }
}

/// The rules of a front end that can't know what is in force by now: free fields as they were, joint ones at the value
/// that binds most, calls that any other field touches refused, and so are calls of what is not known at all.
pub fn rules_after_expiry(schema: &Schema, known: &Fields) -> EffectiveRules {
    let mut rules = EffectiveRules {
        unlisted: true,
        ..EffectiveRules::from_fields(known)
    };
    // What was left out may be set by now, in general or under any name that is known.
    let names: BTreeSet<(&str, &str)> = known
        .keys()
        .filter_map(|p| {
            let mut parts = p.splitn(3, '.');
            Some((parts.next()?, parts.next()?)).filter(|_| parts.next().is_some())
        })
        .collect();
    for (pattern, kind) in &schema.patterns {
        let paths: Vec<String> = match pattern.as_slice() {
            [group, any, field] if any == "*" => {
                let under = names.iter().filter(|(g, _)| g == group);
                under
                    .map(|(g, name)| format!("{g}.{name}.{field}"))
                    .collect()
            }
            all if all.iter().all(|n| n != "*") => vec![all.join(".")],
            _ => Vec::new(),
        };
        for path in paths
            .into_iter()
            .filter(|p| schema.compatibility(p) == kind)
        {
            match kind {
                Compatibility::Free => {}
                Compatibility::Joint(_, ExpiredLeasePolicy::Strictest(least)) => {
                    rules.fields.entry(path).or_insert_with(|| least.clone());
                }
                Compatibility::Joint(_, ExpiredLeasePolicy::Reject) | Compatibility::Strict => {
                    rules.rejected.insert(AffectedCalls::of_path(&path));
                }
            }
        }
    }
    for (path, value) in &mut rules.fields {
        match schema.compatibility(path) {
            Compatibility::Free => {}
            Compatibility::Joint(by, ExpiredLeasePolicy::Strictest(least)) => {
                *value = by
                    .stricter(Some(value), Some(least))
                    .unwrap_or(least)
                    .clone();
            }
            Compatibility::Joint(_, ExpiredLeasePolicy::Reject) | Compatibility::Strict => {
                rules.rejected.insert(AffectedCalls::of_path(path));
            }
        }
    }
    rules
}

/// A field on which two front ends contradict each other, with the calls that it touches at both: a strict one with two
/// values, or a joint one of which neither is in force where the other binds less than the version in force allows.
///
/// `force` is what is in force by the agreed log; a front end may always bind more than that, never less.
pub fn contradictions(
    schema: &Schema,
    force: &Fields,
    acting: &EffectiveRules,
) -> Vec<(String, AffectedCalls)> {
    let paths: BTreeSet<&String> = force.keys().chain(acting.fields.keys()).collect();
    let wrong = |p: &&String| {
        let (ours, theirs) = (acting.fields.get(*p), force.get(*p));
        let touch = AffectedCalls::of_path(p);
        !acting.out(&touch)
            && match schema.compatibility(p) {
                Compatibility::Free => false,
                Compatibility::Joint(by, _) => !by.at_least_as_strict(ours, theirs),
                Compatibility::Strict => ours != theirs,
            }
    };
    paths
        .into_iter()
        .filter(wrong)
        .map(|p| (p.clone(), AffectedCalls::of_path(p)))
        .collect()
}
