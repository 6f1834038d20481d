//! Unifies nodes: computes the values that both of two nodes allow.

use super::describe::{describe_written, suggest};
use super::{describe, join, Bound, Field, Kind, Node, Record, Scalar, Type, SCHEMA};
use tansy_syntax::{Diagnostic, Span};

/// The values that both nodes allow. Errors are reported at the place of `written`, and describe what `expected` allows.
pub fn unify(written: Node, expected: Node, path: &str, errors: &mut Vec<Diagnostic>) -> Node {
    // Errors are reported at a place in the file, never in the schema.
    let span = if written.span.source == SCHEMA {
        expected.span
    } else {
        written.span
    };
    let kind = match (written.kind, expected.kind) {
        (Kind::Invalid, _) | (_, Kind::Invalid) => Kind::Invalid,
        (Kind::Any, kind) | (kind, Kind::Any) => kind,
        (Kind::Or(list), kind) => {
            let other = Node::new(kind, expected.span);
            Alternatives::new(list, other, Side::Written).unify(span, path, errors)
        }
        (kind, Kind::Or(list)) => {
            let other = Node::new(kind, written.span);
            Alternatives::new(list, other, Side::Expected).unify(span, path, errors)
        }
        (Kind::Record(written), Kind::Record(expected)) => {
            Kind::Record(unify_records(written, expected, path, errors))
        }
        (Kind::List(written, written_rest), Kind::List(expected, expected_rest)) => {
            let written = List(written, written_rest);
            unify_lists(written, List(expected, expected_rest), span, path, errors)
        }
        (written, expected) => match unify_scalars(written, expected) {
            Ok(kind) => kind,
            Err(sides) => {
                let written = Node::new(sides.written, span);
                let expected = Node::new(sides.expected, span);
                errors.push(mismatch(&written, &expected, span, path));
                Kind::Invalid
            }
        },
    };
    Node { kind, span }
}

fn mismatch(written: &Node, expected: &Node, span: Span, path: &str) -> Diagnostic {
    let problem = format!("{} does not fit", describe_written(written));
    let help = format!("expected {}", describe(expected));
    Diagnostic::new(span, problem)
        .with_path(path)
        .with_help(help)
}

/// Two nodes that have no value in common.
struct Conflict {
    written: Kind,
    expected: Kind,
}

impl Conflict {
    fn of(written: Kind, expected: Kind) -> Box<Conflict> {
        Box::new(Conflict { written, expected })
    }
}

/// Unifies scalars and types, or returns both sides if they have no value in common. Of a scalar and a type that does not contain
/// it, the scalar is returned as the written side, whichever side it was on.
fn unify_scalars(written: Kind, expected: Kind) -> Result<Kind, Box<Conflict>> {
    match (written, expected) {
        (Kind::Scalar(written), Kind::Scalar(expected)) if equal_scalars(&written, &expected) => {
            Ok(Kind::Scalar(written))
        }
        (Kind::Scalar(scalar), Kind::Typed(scalar_type, bounds))
        | (Kind::Typed(scalar_type, bounds), Kind::Scalar(scalar)) => {
            let has_type = scalar_type.is_none_or(|known| known.contains(&scalar));
            if has_type && bounds.iter().all(|bound| bound.contains(&scalar)) {
                Ok(Kind::Scalar(scalar))
            } else {
                Err(Conflict::of(
                    Kind::Scalar(scalar),
                    Kind::Typed(scalar_type, bounds),
                ))
            }
        }
        (Kind::Typed(written, written_bounds), Kind::Typed(expected, expected_bounds)) => {
            unify_types((written, written_bounds), (expected, expected_bounds))
        }
        (written, expected) => Err(Conflict::of(written, expected)),
    }
}

type TypeAndBounds = (Option<Type>, Vec<Bound>);

fn unify_types(
    (written, mut written_bounds): TypeAndBounds,
    (expected, expected_bounds): TypeAndBounds,
) -> Result<Kind, Box<Conflict>> {
    let both = match (written, expected) {
        (Some(written), Some(expected)) => written.intersect(expected).map(Some),
        (written, expected) => Some(written.or(expected)),
    };
    match both {
        Some(both) => {
            written_bounds.extend(expected_bounds);
            Ok(Kind::Typed(both, written_bounds))
        }
        None => Err(Conflict::of(
            Kind::Typed(written, written_bounds),
            Kind::Typed(expected, expected_bounds),
        )),
    }
}

fn equal_scalars(written: &Scalar, expected: &Scalar) -> bool {
    match (written, expected) {
        (Scalar::Int(int), Scalar::Float(float)) | (Scalar::Float(float), Scalar::Int(int)) => {
            *int as f64 == *float
        }
        _ => written == expected,
    }
}

/// The side of a unification that is a disjunction.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Side {
    Written,
    Expected,
}

/// The alternatives of a disjunction, and the node that they are unified with.
struct Alternatives {
    list: Vec<(bool, Node)>,
    other: Node,
    side: Side,
}

impl Alternatives {
    fn new(list: Vec<(bool, Node)>, other: Node, side: Side) -> Alternatives {
        Alternatives { list, other, side }
    }

    /// The alternatives that have values in common with the other side.
    fn unify(self, span: Span, path: &str, errors: &mut Vec<Diagnostic>) -> Kind {
        let mut fitting: Vec<(bool, Node)> = Vec::new();
        let mut nearest: Option<Vec<Diagnostic>> = None;
        for (default, node) in &self.list {
            let mut mismatches = Vec::new();
            let both = self.unify_one(node.clone(), path, &mut mismatches);
            if mismatches.is_empty() {
                fitting.push((*default, both));
            } else if self.has_same_shape(node) {
                let farther = |nearest: &[Diagnostic]| depth(nearest) < depth(&mismatches);
                if nearest.as_deref().is_none_or(farther) {
                    nearest = Some(mismatches);
                }
            }
        }
        match fitting.len() {
            0 => {
                // The errors inside an alternative of the same shape are more specific than a mismatch of the whole.
                let mismatches = nearest.unwrap_or_else(|| vec![self.mismatch(span, path)]);
                errors.extend(mismatches);
                Kind::Invalid
            }
            // The only remaining alternative is the result, and need not be marked as a default.
            1 => fitting.remove(0).1.kind,
            _ if fitting
                .iter()
                .all(|(_, node)| node.kind == fitting[0].1.kind) =>
            {
                fitting.remove(0).1.kind
            }
            _ => Kind::Or(fitting),
        }
    }

    fn unify_one(&self, node: Node, path: &str, errors: &mut Vec<Diagnostic>) -> Node {
        match self.side {
            Side::Written => unify(node, self.other.clone(), path, errors),
            Side::Expected => unify(self.other.clone(), node, path, errors),
        }
    }

    /// Whether an alternative is a record or a list, as the other side is.
    fn has_same_shape(&self, node: &Node) -> bool {
        std::mem::discriminant(&node.kind) == std::mem::discriminant(&self.other.kind)
            && matches!(node.kind, Kind::Record(_) | Kind::List(..))
    }

    fn mismatch(&self, span: Span, path: &str) -> Diagnostic {
        let alternatives = Node::new(Kind::Or(self.list.clone()), span);
        match self.side {
            Side::Written => mismatch(&alternatives, &self.other, span, path),
            Side::Expected => mismatch(&self.other, &alternatives, span, path),
        }
    }
}

/// Length of the longest path of these errors, as a measure of how deep in the value they are.
fn depth(errors: &[Diagnostic]) -> Option<usize> {
    errors.iter().map(|error| error.path.len()).max()
}

fn unify_records(
    mut written: Record,
    expected: Record,
    path: &str,
    errors: &mut Vec<Diagnostic>,
) -> Record {
    let mut record = Record {
        closed: written.closed || expected.closed,
        ..Record::default()
    };
    for (name, field) in std::mem::take(&mut written.fields) {
        if let Some(field) = unify_field(&name, field, &expected, path, errors) {
            record.fields.insert(name, field);
        }
    }
    for (name, field) in expected.fields {
        if !record.fields.contains_key(&name) {
            record.fields.insert(name, field);
        }
    }
    record.any = match (written.any, expected.any) {
        (Some(written), Some(expected)) => Some(Box::new(unify(*written, *expected, path, errors))),
        (written, expected) => written.or(expected),
    };
    record
}

/// Unifies a written field with the constraint on it. Returns `None`, and reports an error, if the field is not allowed.
fn unify_field(
    name: &str,
    field: Field,
    expected: &Record,
    path: &str,
    errors: &mut Vec<Diagnostic>,
) -> Option<Field> {
    let path = join(path, name);
    match (expected.fields.get(name), &expected.any) {
        (Some(known), _) => Some(Field {
            node: unify(field.node, known.node.clone(), &path, errors),
            optional: field.optional && known.optional,
            span: field.span,
        }),
        (None, Some(any)) => Some(Field {
            node: unify(field.node, (**any).clone(), &path, errors),
            ..field
        }),
        (None, None) if expected.closed => {
            errors.push(unknown_field(name, field.span, expected, &path));
            None
        }
        (None, None) => Some(field),
    }
}

fn unknown_field(name: &str, span: Span, expected: &Record, path: &str) -> Diagnostic {
    let known: Vec<&str> = expected.fields.keys().map(String::as_str).collect();
    let suggestion = suggest(name, known.iter().copied());
    let help = if suggestion.is_empty() {
        format!("expected one of {}", known.join(", "))
    } else {
        suggestion
    };
    let problem = format!("unknown field `{name}`");
    Diagnostic::new(span, problem)
        .with_path(path)
        .with_help(help)
}

/// The items of a list, and the constraint on further items.
struct List(Vec<Node>, Option<Box<Node>>);

fn unify_lists(
    List(written, written_rest): List,
    List(expected, expected_rest): List,
    span: Span,
    path: &str,
    errors: &mut Vec<Diagnostic>,
) -> Kind {
    let written_count = written.len();
    let expected_count = expected.len();
    if expected_count > written_count && written_rest.is_none()
        || written_count > expected_count && expected_rest.is_none()
    {
        let problem = format!("a list of {written_count} values does not fit");
        let error = Diagnostic::new(span, problem).with_path(path);
        errors.push(error.with_help(format!("expected {expected_count} values")));
        return Kind::Invalid;
    }
    let further = |rest: &Option<Box<Node>>| match rest {
        Some(rest) => (**rest).clone(),
        None => Node::new(Kind::Any, span),
    };
    let mut items = Vec::new();
    let mut written = written.into_iter();
    let mut expected = expected.into_iter();
    for index in 0..written_count.max(expected_count) {
        let item_path = format!("{path}[{index}]");
        let written = written.next().unwrap_or_else(|| further(&written_rest));
        let expected = expected.next().unwrap_or_else(|| further(&expected_rest));
        items.push(unify(written, expected, &item_path, errors));
    }
    let rest = match (written_rest, expected_rest) {
        (Some(written), Some(expected)) => Some(Box::new(unify(*written, *expected, path, errors))),
        _ => None,
    };
    Kind::List(items, rest)
}
