//! Makes values concrete: applies defaults and reports missing values.

use super::{describe, join, Field, Kind, Node, Record, SCHEMA};
use indexmap::IndexMap;
use tansy_syntax::{Diagnostic, Span};

/// Applies defaults, removes optional fields that are not given, and reports missing values. `enclosing` is the place in the file
/// of the nearest enclosing value.
pub fn make_concrete(
    node: Node,
    path: &str,
    enclosing: Span,
    errors: &mut Vec<Diagnostic>,
) -> Node {
    let span = in_file(node.span, enclosing);
    let kind = match node.kind {
        Kind::Invalid => Kind::Invalid,
        Kind::Scalar(scalar) => Kind::Scalar(scalar),
        Kind::Any | Kind::Typed(..) => missing(&node, path, span, errors),
        Kind::Or(mut alternatives) => match alternatives.iter().position(|(default, _)| *default) {
            Some(index) => {
                let default = alternatives.swap_remove(index).1;
                make_concrete(default, path, span, errors).kind
            }
            None => {
                let node = Node::new(Kind::Or(alternatives), span);
                missing(&node, path, span, errors)
            }
        },
        Kind::Record(record) => Kind::Record(concrete_record(record, path, span, errors)),
        Kind::List(items, _) => {
            let item =
                |(index, item)| make_concrete(item, &format!("{path}[{index}]"), span, errors);
            Kind::List(items.into_iter().enumerate().map(item).collect(), None)
        }
    };
    Node { kind, span }
}

/// The place in the file at which an error is reported. A value that only the schema contains is reported at the enclosing place.
fn in_file(span: Span, enclosing: Span) -> Span {
    if span.source == SCHEMA {
        enclosing
    } else {
        span
    }
}

fn missing(node: &Node, path: &str, span: Span, errors: &mut Vec<Diagnostic>) -> Kind {
    let error = Diagnostic::new(span, "the value is missing").with_path(path);
    errors.push(error.with_help(format!("expected {}", describe(node))));
    Kind::Invalid
}

fn concrete_record(record: Record, path: &str, span: Span, errors: &mut Vec<Diagnostic>) -> Record {
    let mut fields = IndexMap::new();
    for (name, field) in record.fields {
        // An optional field that only the schema contains has not been given.
        if field.optional && field.node.span.source == SCHEMA {
            continue;
        }
        let field_span = in_file(field.span, span);
        let node = make_concrete(field.node, &join(path, &name), field_span, errors);
        let field = Field {
            node,
            optional: false,
            span: field_span,
        };
        fields.insert(name, field);
    }
    Record {
        fields,
        any: None,
        closed: true,
    }
}
