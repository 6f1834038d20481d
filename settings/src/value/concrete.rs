//! Concrete values: defaults are taken, and what is missing is reported.

use super::{describe, join, Field, Kind, Node, Record, SCHEMA};
use indexmap::IndexMap;
use tansy_syntax::{Diagnostic, Span};

/// Takes defaults, leaves out optional fields that are not given, and reports values that are missing. `near` is the nearest
/// place in the file.
pub fn concrete(node: Node, path: &str, near: Span, errors: &mut Vec<Diagnostic>) -> Node {
    let span = in_file(node.span, near);
    let kind = match node.kind {
        Kind::Invalid => Kind::Invalid,
        Kind::Scalar(scalar) => Kind::Scalar(scalar),
        Kind::Any | Kind::Typed(..) => missing(&node, path, span, errors),
        Kind::Or(mut alternatives) => match alternatives.iter().position(|(default, _)| *default) {
            Some(index) => {
                let default = alternatives.swap_remove(index).1;
                concrete(default, path, span, errors).kind
            }
            None => {
                let node = Node::new(Kind::Or(alternatives), span);
                missing(&node, path, span, errors)
            }
        },
        Kind::Record(record) => Kind::Record(concrete_record(record, path, span, errors)),
        Kind::List(items, _) => {
            let item = |(index, item)| concrete(item, &format!("{path}[{index}]"), span, errors);
            Kind::List(items.into_iter().enumerate().map(item).collect(), None)
        }
    };
    Node { kind, span }
}

/// Errors point at the file: what only the schema has is taken to stand at the nearest place.
fn in_file(span: Span, near: Span) -> Span {
    if span.source == SCHEMA {
        near
    } else {
        span
    }
}

fn missing(node: &Node, path: &str, span: Span, errors: &mut Vec<Diagnostic>) -> Kind {
    let error = Diagnostic::new(span, "no value is given").at(path);
    errors.push(error.help(format!("want {}", describe(node))));
    Kind::Invalid
}

fn concrete_record(record: Record, path: &str, span: Span, errors: &mut Vec<Diagnostic>) -> Record {
    let mut fields = IndexMap::new();
    for (name, field) in record.fields {
        // An optional field that only the schema has is not given.
        if field.optional && field.node.span.source == SCHEMA {
            continue;
        }
        let field_span = in_file(field.span, span);
        let node = concrete(field.node, &join(path, &name), field_span, errors);
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
