//! Unification: the values that two nodes both allow.

use super::describe::{describe_written, suggest};
use super::{describe, join, Bound, Field, Kind, Node, Record, Scalar, Type, SCHEMA};
use tansy_syntax::{Diagnostic, Span};

/// What both allow. Errors point at `written`, and say what `wanted` allows.
pub fn unify(written: Node, wanted: Node, path: &str, errors: &mut Vec<Diagnostic>) -> Node {
    // Errors show the place in the file, never the one in the schema.
    let span = if written.span.source == SCHEMA {
        wanted.span
    } else {
        written.span
    };
    let kind = match (written.kind, wanted.kind) {
        (Kind::Invalid, _) | (_, Kind::Invalid) => Kind::Invalid,
        (Kind::Any, kind) | (kind, Kind::Any) => kind,
        (Kind::Or(list), kind) => {
            let other = Node::new(kind, wanted.span);
            Alternatives::of(list, other, Side::Written).unify(span, path, errors)
        }
        (kind, Kind::Or(list)) => {
            let other = Node::new(kind, written.span);
            Alternatives::of(list, other, Side::Wanted).unify(span, path, errors)
        }
        (Kind::Record(written), Kind::Record(wanted)) => {
            Kind::Record(records(written, wanted, path, errors))
        }
        (Kind::List(written, written_rest), Kind::List(wanted, wanted_rest)) => {
            let written = List(written, written_rest);
            lists(written, List(wanted, wanted_rest), span, path, errors)
        }
        (written, wanted) => match scalars(written, wanted) {
            Ok(kind) => kind,
            Err(sides) => {
                let written = Node::new(sides.written, span);
                let wanted = Node::new(sides.wanted, span);
                errors.push(mismatch(&written, &wanted, span, path));
                Kind::Invalid
            }
        },
    };
    Node { kind, span }
}

fn mismatch(written: &Node, wanted: &Node, span: Span, path: &str) -> Diagnostic {
    let problem = format!("{} does not fit", describe_written(written));
    let help = format!("want {}", describe(wanted));
    Diagnostic::new(span, problem).at(path).help(help)
}

/// Two sides that have no value in common.
struct NothingCommon {
    written: Kind,
    wanted: Kind,
}

impl NothingCommon {
    fn of(written: Kind, wanted: Kind) -> Box<NothingCommon> {
        Box::new(NothingCommon { written, wanted })
    }
}

/// Unifies scalars and types; both sides again, if they have nothing in common. A scalar that does not fit a type is the first of
/// them, whichever side it stood on.
fn scalars(written: Kind, wanted: Kind) -> Result<Kind, Box<NothingCommon>> {
    match (written, wanted) {
        (Kind::Scalar(written), Kind::Scalar(wanted)) if equal(&written, &wanted) => {
            Ok(Kind::Scalar(written))
        }
        (Kind::Scalar(scalar), Kind::Typed(scalar_type, bounds))
        | (Kind::Typed(scalar_type, bounds), Kind::Scalar(scalar)) => {
            let of_type = scalar_type.is_none_or(|known| known.contains(&scalar));
            if of_type && bounds.iter().all(|bound| bound.contains(&scalar)) {
                Ok(Kind::Scalar(scalar))
            } else {
                Err(NothingCommon::of(
                    Kind::Scalar(scalar),
                    Kind::Typed(scalar_type, bounds),
                ))
            }
        }
        (Kind::Typed(written, written_bounds), Kind::Typed(wanted, wanted_bounds)) => {
            types((written, written_bounds), (wanted, wanted_bounds))
        }
        (written, wanted) => Err(NothingCommon::of(written, wanted)),
    }
}

type TypeAndBounds = (Option<Type>, Vec<Bound>);

fn types(
    (written, mut written_bounds): TypeAndBounds,
    (wanted, wanted_bounds): TypeAndBounds,
) -> Result<Kind, Box<NothingCommon>> {
    let both = match (written, wanted) {
        (Some(written), Some(wanted)) => written.intersect(wanted).map(Some),
        (written, wanted) => Some(written.or(wanted)),
    };
    match both {
        Some(both) => {
            written_bounds.extend(wanted_bounds);
            Ok(Kind::Typed(both, written_bounds))
        }
        None => Err(NothingCommon::of(
            Kind::Typed(written, written_bounds),
            Kind::Typed(wanted, wanted_bounds),
        )),
    }
}

fn equal(written: &Scalar, wanted: &Scalar) -> bool {
    match (written, wanted) {
        (Scalar::Int(int), Scalar::Float(float)) | (Scalar::Float(float), Scalar::Int(int)) => {
            *int as f64 == *float
        }
        _ => written == wanted,
    }
}

/// The side of a unification on which alternatives stand.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Side {
    Written,
    Wanted,
}

/// Alternatives, and the other side.
struct Alternatives {
    list: Vec<(bool, Node)>,
    other: Node,
    side: Side,
}

impl Alternatives {
    fn of(list: Vec<(bool, Node)>, other: Node, side: Side) -> Alternatives {
        Alternatives { list, other, side }
    }

    /// The alternatives that fit the other side.
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
                // Of alternatives of the same shape, the mismatches inside say more.
                let mismatches = nearest.unwrap_or_else(|| vec![self.mismatch(span, path)]);
                errors.extend(mismatches);
                Kind::Invalid
            }
            // A single one is the value, unless it is only a type that the default would have filled.
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
            Side::Wanted => unify(self.other.clone(), node, path, errors),
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
            Side::Wanted => mismatch(&self.other, &alternatives, span, path),
        }
    }
}

/// How deep the deepest of these errors is.
fn depth(errors: &[Diagnostic]) -> Option<usize> {
    errors.iter().map(|error| error.path.len()).max()
}

fn records(
    mut written: Record,
    wanted: Record,
    path: &str,
    errors: &mut Vec<Diagnostic>,
) -> Record {
    let mut record = Record {
        closed: written.closed || wanted.closed,
        ..Record::default()
    };
    for (name, field) in std::mem::take(&mut written.fields) {
        if let Some(field) = known_field(&name, field, &wanted, path, errors) {
            record.fields.insert(name, field);
        }
    }
    for (name, field) in wanted.fields {
        if !record.fields.contains_key(&name) {
            record.fields.insert(name, field);
        }
    }
    record.any = match (written.any, wanted.any) {
        (Some(written), Some(wanted)) => Some(Box::new(unify(*written, *wanted, path, errors))),
        (written, wanted) => written.or(wanted),
    };
    record
}

/// A field that is written, unified with what is wanted of it; `None`: it is not allowed.
fn known_field(
    name: &str,
    field: Field,
    wanted: &Record,
    path: &str,
    errors: &mut Vec<Diagnostic>,
) -> Option<Field> {
    let path = join(path, name);
    match (wanted.fields.get(name), &wanted.any) {
        (Some(known), _) => Some(Field {
            node: unify(field.node, known.node.clone(), &path, errors),
            optional: field.optional && known.optional,
            span: field.span,
        }),
        (None, Some(any)) => Some(Field {
            node: unify(field.node, (**any).clone(), &path, errors),
            ..field
        }),
        (None, None) if wanted.closed => {
            errors.push(unknown_field(name, field.span, wanted, &path));
            None
        }
        (None, None) => Some(field),
    }
}

fn unknown_field(name: &str, span: Span, wanted: &Record, path: &str) -> Diagnostic {
    let known: Vec<&str> = wanted.fields.keys().map(String::as_str).collect();
    let suggestion = suggest(name, known.iter().copied());
    let help = if suggestion.is_empty() {
        format!("the fields are {}", known.join(", "))
    } else {
        suggestion
    };
    let problem = format!("no field `{name}` belongs here");
    Diagnostic::new(span, problem).at(path).help(help)
}

/// The items of a list, and the constraint of further ones.
struct List(Vec<Node>, Option<Box<Node>>);

fn lists(
    List(written, written_rest): List,
    List(wanted, wanted_rest): List,
    span: Span,
    path: &str,
    errors: &mut Vec<Diagnostic>,
) -> Kind {
    let written_count = written.len();
    let wanted_count = wanted.len();
    if wanted_count > written_count && written_rest.is_none()
        || written_count > wanted_count && wanted_rest.is_none()
    {
        let problem = format!("a list of {written_count} does not fit");
        let error = Diagnostic::new(span, problem).at(path);
        errors.push(error.help(format!("want {wanted_count} values")));
        return Kind::Invalid;
    }
    let further = |rest: &Option<Box<Node>>| match rest {
        Some(rest) => (**rest).clone(),
        None => Node::new(Kind::Any, span),
    };
    let mut items = Vec::new();
    let mut written = written.into_iter();
    let mut wanted = wanted.into_iter();
    for index in 0..written_count.max(wanted_count) {
        let item_path = format!("{path}[{index}]");
        let written = written.next().unwrap_or_else(|| further(&written_rest));
        let wanted = wanted.next().unwrap_or_else(|| further(&wanted_rest));
        items.push(unify(written, wanted, &item_path, errors));
    }
    let rest = match (written_rest, wanted_rest) {
        (Some(written), Some(wanted)) => Some(Box::new(unify(*written, *wanted, path, errors))),
        _ => None,
    };
    Kind::List(items, rest)
}
