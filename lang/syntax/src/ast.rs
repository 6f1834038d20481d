//! The syntax tree of records, as they are written in a file.

use crate::diagnostic::Span;

/// A node and its place.
#[derive(Clone, Debug, PartialEq)]
pub struct Spanned<T> {
    /// The node.
    pub node: T,
    /// Its place in a source.
    pub span: Span,
}

/// A bound's operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Relation {
    AtLeast,
    Above,
    AtMost,
    Below,
    Not,
}

/// A field's name.
#[derive(Clone, Debug, PartialEq)]
pub enum Label {
    /// `name:` or `"name":`
    Name(String),
    /// `[string]:`, every field not named.
    Any,
}

/// One field of a record.
#[derive(Clone, Debug, PartialEq)]
pub struct Decl {
    /// Its name.
    pub label: Spanned<Label>,
    /// It may be left out.
    pub optional: bool,
    /// Its value.
    pub value: Spanned<Expr>,
}

/// A value as it is written.
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
    /// A type, a field or a definition, by its path.
    Name(Vec<String>),
    Record(Vec<Decl>),
    List(Vec<Spanned<Expr>>, Option<Box<Spanned<Expr>>>),
    Bound(Relation, Box<Spanned<Expr>>),
    Default(Box<Spanned<Expr>>),
    Or(Vec<Spanned<Expr>>),
    And(Vec<Spanned<Expr>>),
    /// What could not be parsed; an error was reported for it.
    Error,
}
