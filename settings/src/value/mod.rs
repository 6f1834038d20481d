//! Values, types and constraints as nodes of one lattice, as in CUE. A file is evaluated, unified with the schema, and made
//! concrete. Errors are collected, so that all of them are reported.

mod concrete;
mod describe;
mod evaluate;
mod unify;

pub use concrete::make_concrete;
pub use describe::describe;
pub use evaluate::{definition, evaluate};
pub use unify::unify;

use indexmap::IndexMap;
use tansy_syntax::ast::Relation;
use tansy_syntax::Span;

/// Index of the schema in the list of sources.
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
    pub(super) fn from_name(name: &str) -> Option<Type> {
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

/// The largest unit that divides an amount, or `zero` if the amount is 0.
fn largest_unit(
    amount: i64,
    units: &[(i64, &'static str)],
    zero: (i64, &'static str),
) -> (i64, &'static str) {
    let divides = |(unit, _): &&(i64, &str)| amount % unit == 0 && amount != 0;
    units.iter().find(divides).copied().unwrap_or(zero)
}

/// A bound on a scalar.
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

/// The fields of a record.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Record {
    /// The fields by name, in the order in which they are written.
    pub fields: IndexMap<String, Field>,
    /// The constraint on all other fields, from `[string]:`.
    pub any: Option<Box<Node>>,
    /// Whether no other fields are allowed.
    pub closed: bool,
}

/// A field of a record.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    /// The field's value or constraint.
    pub node: Node,
    /// Whether the field may be left out.
    pub optional: bool,
    /// Place of the field's name.
    pub span: Span,
}

/// A value, or the constraints on it.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// Any value: there is no constraint.
    Any,
    /// A single scalar.
    Scalar(Scalar),
    /// The scalars of a type, or of all types, that are within the bounds.
    Typed(Option<Type>, Vec<Bound>),
    /// A record.
    Record(Record),
    /// A list: its items, and the constraint on further items if these are allowed.
    List(Vec<Node>, Option<Box<Node>>),
    /// A disjunction of alternatives; `true` marks a default.
    Or(Vec<(bool, Node)>),
    /// An invalid value, for which an error has been reported.
    Invalid,
}

/// A value or constraint with its place in a source.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// The value or constraint.
    pub kind: Kind,
    /// Its place.
    pub span: Span,
}

impl Node {
    fn new(kind: Kind, span: Span) -> Node {
        Node { kind, span }
    }
}

/// The path of a field `name` below `path`.
fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_string()
    } else {
        format!("{path}.{name}")
    }
}
