//! Values, types and constraints as one lattice: what is written is evaluated, unified with the schema, and made concrete.
//! Errors are collected; none ends the work.

mod concrete;
mod describe;
mod evaluate;
mod unify;

pub use concrete::concrete;
pub use describe::describe;
pub use evaluate::{definition, evaluate};
pub use unify::unify;

use indexmap::IndexMap;
use tansy_syntax::ast::Relation;
use tansy_syntax::Span;

/// The schema's index among the sources.
pub const SCHEMA: usize = 0;

/// A value without parts.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub enum Scalar {
    Bool(bool),
    Int(i64),
    Float(f64),
    Duration(i64),
    Size(i64),
    Text(String),
}

/// Types of scalars.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Type {
    Bool,
    Int,
    Number,
    Duration,
    Size,
    Text,
}

impl Type {
    pub(super) fn named(name: &str) -> Option<Type> {
        Some(match name {
            "bool" => Type::Bool,
            "int" => Type::Int,
            "number" => Type::Number,
            "duration" => Type::Duration,
            "size" => Type::Size,
            "string" => Type::Text,
            _ => return None,
        })
    }
    pub(super) fn describe(self) -> &'static str {
        match self {
            Type::Bool => "true or false",
            Type::Int => "a whole number",
            Type::Number => "a number",
            Type::Duration => "a duration such as 750ms",
            Type::Size => "a size such as 4MiB",
            Type::Text => "a string",
        }
    }
    pub(super) fn contains(self, scalar: &Scalar) -> bool {
        match scalar {
            Scalar::Bool(_) => self == Type::Bool,
            Scalar::Int(_) => matches!(self, Type::Int | Type::Number),
            Scalar::Float(_) => self == Type::Number,
            Scalar::Duration(_) => self == Type::Duration,
            Scalar::Size(_) => self == Type::Size,
            Scalar::Text(_) => self == Type::Text,
        }
    }
    /// The type of the values that belong to both.
    pub(super) fn intersect(self, other: Type) -> Option<Type> {
        match (self, other) {
            (a, b) if a == b => Some(a),
            (Type::Int, Type::Number) | (Type::Number, Type::Int) => Some(Type::Int),
            _ => None,
        }
    }
}

impl std::fmt::Display for Scalar {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Scalar::Bool(flag) => write!(f, "{flag}"),
            Scalar::Int(int) => write!(f, "{int}"),
            Scalar::Float(float) => write!(f, "{float}"),
            Scalar::Duration(microseconds) => {
                let (unit, name) = largest_unit(*microseconds, &DURATION_UNITS, (1_000_000, "s"));
                write!(f, "{}{name}", microseconds / unit)
            }
            Scalar::Size(bytes) => {
                let (unit, name) = largest_unit(*bytes, &SIZE_UNITS, (1, "B"));
                write!(f, "{}{name}", bytes / unit)
            }
            Scalar::Text(text) => write!(f, "{text:?}"),
        }
    }
}

const DURATION_UNITS: [(i64, &str); 5] = [
    (3_600_000_000, "h"),
    (60_000_000, "m"),
    (1_000_000, "s"),
    (1000, "ms"),
    (1, "us"),
];

const SIZE_UNITS: [(i64, &str); 4] = [
    (1 << 30, "GiB"),
    (1 << 20, "MiB"),
    (1 << 10, "KiB"),
    (1, "B"),
];

/// The largest unit that divides the amount; `zero`: that of zero.
fn largest_unit(
    amount: i64,
    units: &[(i64, &'static str)],
    zero: (i64, &'static str),
) -> (i64, &'static str) {
    let divides = |(unit, _): &&(i64, &str)| amount % unit == 0 && amount != 0;
    units.iter().find(divides).copied().unwrap_or(zero)
}

/// One bound.
#[derive(Clone, Debug, PartialEq)]
pub struct Bound {
    pub(super) relation: Relation,
    pub(super) limit: Scalar,
}

impl Bound {
    /// Whether a scalar is within the bound.
    pub(super) fn contains(&self, scalar: &Scalar) -> bool {
        let number = |scalar: &Scalar| match scalar {
            Scalar::Int(n) | Scalar::Duration(n) | Scalar::Size(n) => Some(*n as f64),
            Scalar::Float(x) => Some(*x),
            Scalar::Bool(_) | Scalar::Text(_) => None,
        };
        match (self.relation, number(scalar), number(&self.limit)) {
            (Relation::Not, _, _) => *scalar != self.limit,
            (Relation::AtLeast, Some(a), Some(b)) => a >= b,
            (Relation::Above, Some(a), Some(b)) => a > b,
            (Relation::AtMost, Some(a), Some(b)) => a <= b,
            (Relation::Below, Some(a), Some(b)) => a < b,
            _ => false,
        }
    }
}

impl std::fmt::Display for Bound {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let word = match self.relation {
            Relation::AtLeast => "at least",
            Relation::Above => "above",
            Relation::AtMost => "at most",
            Relation::Below => "below",
            Relation::Not => "not",
        };
        write!(f, "{word} {}", self.limit)
    }
}

/// A record's fields.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Record {
    /// By name, in the order written.
    pub fields: IndexMap<String, Field>,
    /// The constraint of every other field.
    pub any: Option<Box<Node>>,
    /// No other field is allowed.
    pub closed: bool,
}

/// One field.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    /// Its value.
    pub node: Node,
    /// It may be left out.
    pub optional: bool,
    /// Where its name is written.
    pub span: Span,
}

/// A value, or the constraints that are known of it.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// No constraint is known.
    Any,
    /// A value.
    Scalar(Scalar),
    /// A type with bounds; without a type, bounds alone.
    Typed(Option<Type>, Vec<Bound>),
    /// Fields.
    Record(Record),
    /// Values, and the constraint of further ones.
    List(Vec<Node>, Option<Box<Node>>),
    /// Alternatives; `true` marks a default.
    Or(Vec<(bool, Node)>),
    /// Invalid; the error is reported already.
    Invalid,
}

/// A value and where it is written.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// The value.
    pub kind: Kind,
    /// Where it is written.
    pub span: Span,
}

impl Node {
    fn new(kind: Kind, span: Span) -> Node {
        Node { kind, span }
    }
}

/// The path of a field or an item's field.
fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_string()
    } else {
        format!("{path}.{name}")
    }
}
