//! The syntax tree of records.

use crate::diagnostic::Span;

/// A node and its place in a source.
#[derive(Clone, Debug, PartialEq)]
pub struct Spanned<T> {
    /// The node.
    pub node: T,
    /// Its place in a source.
    pub span: Span,
}

/// The operator of a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Relation {
    AtLeast,
    Above,
    AtMost,
    Below,
    Not,
}

/// The label of a field.
#[derive(Clone, Debug, PartialEq)]
pub enum Label {
    /// `name:` or `"name":`
    Name(String),
    /// `[string]:`, which stands for all fields that are not named.
    Any,
}

/// A field of a record.
#[derive(Clone, Debug, PartialEq)]
pub struct Decl {
    /// The field's label.
    pub label: Spanned<Label>,
    /// Whether the field may be left out.
    pub optional: bool,
    /// The field's value.
    pub value: Spanned<Expr>,
}

/// An expression for a value.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub enum Expr {
    Bool(bool),
    Int(i64),
    Float(f64),
    /// Microseconds.
    Duration(i64),
    /// Bytes.
    Size(i64),
    Text(String),
    /// A reference to a type, a field or a definition, by its path.
    Name(Vec<String>),
    Record(Vec<Decl>),
    /// The items, and the constraint on further items.
    List(Vec<Spanned<Expr>>, Option<Box<Spanned<Expr>>>),
    Bound(Relation, Box<Spanned<Expr>>),
    Default(Box<Spanned<Expr>>),
    Or(Vec<Spanned<Expr>>),
    And(Vec<Spanned<Expr>>),
    /// Text that could not be parsed, for which an error has been reported.
    Error,
}
