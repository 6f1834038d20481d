//! Evaluates expressions to nodes and resolves references.

use super::describe::suggest;
use super::unify::unify;
use super::{Bound, Field, Kind, Node, Record, Scalar, Type, SCHEMA};
use tansy_syntax::ast::{Decl, Expr, Label, Relation, Spanned};
use tansy_syntax::{Diagnostic, Span};

/// Maximum length of a chain of references; a longer chain is reported as a cycle.
const MAX_REFERENCE_DEPTH: usize = 64;

/// Names of the types that a file can refer to.
const TYPE_NAMES: [&str; 6] = ["bool", "int", "number", "duration", "size", "string"];

/// The fields of a record, to which names inside it can refer, and the enclosing scope.
struct Scope<'a> {
    fields: &'a [Decl],
    outer: Option<&'a Scope<'a>>,
}

impl<'a> Scope<'a> {
    /// This scope and all enclosing ones, the innermost first.
    fn chain(&'a self) -> impl Iterator<Item = &'a Scope<'a>> {
        std::iter::successors(Some(self), |scope| scope.outer)
    }
}

/// Evaluates the fields of a file, which can refer to definitions of the schema.
pub fn evaluate(file: &[Decl], schema: &[Decl], span: Span, errors: &mut Vec<Diagnostic>) -> Node {
    let outer = Scope {
        fields: schema,
        outer: None,
    };
    let scope = Scope {
        fields: file,
        outer: Some(&outer),
    };
    let record = record(file, &scope, span.source == SCHEMA, 0, errors);
    Node::new(Kind::Record(record), span)
}

/// Evaluates a definition of the schema.
pub fn definition(name: &str, schema: &[Decl], errors: &mut Vec<Diagnostic>) -> Node {
    let scope = Scope {
        fields: schema,
        outer: None,
    };
    let path = [name.to_string()];
    resolve_reference(&path, Span::default(), &scope, 0, errors)
}

fn record(
    fields: &[Decl],
    scope: &Scope<'_>,
    closed: bool,
    references: usize,
    errors: &mut Vec<Diagnostic>,
) -> Record {
    let mut record = Record {
        closed,
        ..Record::default()
    };
    for declaration in fields {
        let node = value(&declaration.value, scope, references, errors);
        match &declaration.label.node {
            Label::Any => record.any = Some(Box::new(node)),
            // Definitions can be referred to, but are not fields of the record.
            Label::Name(name) if name.starts_with('#') => {}
            Label::Name(name) => {
                let node = match record.fields.shift_remove(name) {
                    Some(before) => unify(node, before.node, name, errors),
                    None => node,
                };
                let field = Field {
                    node,
                    optional: declaration.optional,
                    span: declaration.label.span,
                };
                record.fields.insert(name.clone(), field);
            }
        }
    }
    record
}

fn value(
    expression: &Spanned<Expr>,
    scope: &Scope<'_>,
    references: usize,
    errors: &mut Vec<Diagnostic>,
) -> Node {
    let span = expression.span;
    let mut evaluate = |inner: &Spanned<Expr>| value(inner, scope, references, errors);
    let kind = match &expression.node {
        Expr::Bool(flag) => Kind::Scalar(Scalar::Bool(*flag)),
        Expr::Int(int) => Kind::Scalar(Scalar::Int(*int)),
        Expr::Float(float) => Kind::Scalar(Scalar::Float(*float)),
        Expr::Duration(duration) => Kind::Scalar(Scalar::Duration(*duration)),
        Expr::Size(bytes) => Kind::Scalar(Scalar::Size(*bytes)),
        Expr::Text(text) => Kind::Scalar(Scalar::Text(text.clone())),
        Expr::Name(path) => resolve_reference(path, span, scope, references, errors).kind,
        Expr::Record(fields) => {
            let inner = Scope {
                fields,
                outer: Some(scope),
            };
            let closed = span.source == SCHEMA;
            Kind::Record(record(fields, &inner, closed, references, errors))
        }
        Expr::List(items, rest) => {
            let items = items.iter().map(&mut evaluate).collect();
            Kind::List(items, rest.as_ref().map(|rest| Box::new(evaluate(rest))))
        }
        Expr::Bound(relation, limit) => bound(*relation, evaluate(limit)),
        Expr::Default(inner) => Kind::Or(vec![(true, evaluate(inner))]),
        Expr::Or(alternatives) => {
            let alternative = |alternative: &Spanned<Expr>| match &alternative.node {
                Expr::Default(inner) => (true, evaluate(inner)),
                _ => (false, evaluate(alternative)),
            };
            Kind::Or(alternatives.iter().map(alternative).collect())
        }
        Expr::And(parts) => {
            let mut all = Node::new(Kind::Any, span);
            for part in parts {
                let next = value(part, scope, references, errors);
                all = unify(all, next, "", errors);
            }
            all.kind
        }
        Expr::Error => Kind::Invalid,
    };
    Node { kind, span }
}

fn bound(relation: Relation, limit: Node) -> Kind {
    match limit.kind {
        Kind::Scalar(limit) => Kind::Typed(None, vec![Bound { relation, limit }]),
        _ => Kind::Invalid,
    }
}

fn resolve_reference(
    path: &[String],
    span: Span,
    scope: &Scope<'_>,
    references: usize,
    errors: &mut Vec<Diagnostic>,
) -> Node {
    let name = path.join(".");
    if references > MAX_REFERENCE_DEPTH {
        errors.push(Diagnostic::new(span, format!("`{name}` refers to itself")));
        return Node::new(Kind::Invalid, span);
    }
    for scope in scope.chain() {
        if let Some(declaration) = find(scope.fields, &path[0]) {
            return evaluate_path(declaration, path, span, scope, references, errors);
        }
    }
    match Type::from_name(&name) {
        Some(scalar_type) => Node::new(Kind::Typed(Some(scalar_type), Vec::new()), span),
        None => {
            errors.push(unknown_name(&name, span, scope));
            Node::new(Kind::Invalid, span)
        }
    }
}

fn find<'a>(fields: &'a [Decl], name: &str) -> Option<&'a Decl> {
    fields
        .iter()
        .find(|declaration| matches!(&declaration.label.node, Label::Name(known) if known == name))
}

fn names(fields: &[Decl]) -> impl Iterator<Item = &str> {
    fields
        .iter()
        .filter_map(|declaration| match &declaration.label.node {
            Label::Name(name) => Some(name.as_str()),
            Label::Any => None,
        })
}

/// Evaluates the field at a path whose first part is `declaration`. A path leads through records that are written as literals;
/// at a value of any other form, such as a reference, that value is the result and the rest of the path is ignored.
fn evaluate_path(
    mut declaration: &Decl,
    path: &[String],
    span: Span,
    scope: &Scope<'_>,
    references: usize,
    errors: &mut Vec<Diagnostic>,
) -> Node {
    let mut records: Vec<&[Decl]> = Vec::new();
    for part in &path[1..] {
        let Expr::Record(fields) = &declaration.value.node else {
            break;
        };
        let Some(next) = find(fields, part) else {
            let name = path.join(".");
            let problem = format!("`{name}`: the record has no field `{part}`");
            let help = suggest(part, names(fields));
            errors.push(Diagnostic::new(span, problem).with_help(help));
            return Node::new(Kind::Invalid, span);
        };
        records.push(fields);
        declaration = next;
    }
    value_within(&records, scope, &declaration.value, references + 1, errors)
}

/// Evaluates an expression in the scope of the nested records that contain it.
fn value_within(
    records: &[&[Decl]],
    outer: &Scope<'_>,
    expression: &Spanned<Expr>,
    references: usize,
    errors: &mut Vec<Diagnostic>,
) -> Node {
    match records.split_first() {
        None => value(expression, outer, references, errors),
        Some((fields, rest)) => {
            let scope = Scope {
                fields,
                outer: Some(outer),
            };
            value_within(rest, &scope, expression, references, errors)
        }
    }
}

fn unknown_name(name: &str, span: Span, scope: &Scope<'_>) -> Diagnostic {
    let known = scope.chain().flat_map(|scope| names(scope.fields));
    let suggestion = suggest(name, TYPE_NAMES.into_iter().chain(known));
    let help = if suggestion.is_empty() {
        format!("write a string as \"{name}\"")
    } else {
        suggestion
    };
    Diagnostic::new(span, format!("unknown name `{name}`")).with_help(help)
}
