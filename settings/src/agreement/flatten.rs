//! Converts a record to fields by their paths, the form in which front ends agree on settings.

use crate::value::{Kind, Node, Scalar};
use tansy_agreement::compatibility::{self, Fields, Value};

/// All fields of a record, by their paths.
pub(super) fn flatten(node: &Node) -> Fields {
    let mut fields = Fields::new();
    flatten_into(node, String::new(), &mut fields);
    fields
}

fn flatten_into(node: &Node, path: String, into: &mut Fields) {
    let Kind::Record(record) = &node.kind else {
        into.extend(value(node).map(|v| (path, v)));
        return;
    };
    for (name, field) in &record.fields {
        let name = compatibility::escape_name(name);
        let under = if path.is_empty() {
            name
        } else {
            format!("{path}.{name}")
        };
        flatten_into(&field.node, under, into);
    }
}

/// Converts a concrete node to a value; `None` if the node is not concrete.
fn value(node: &Node) -> Option<Value> {
    match &node.kind {
        Kind::Scalar(Scalar::Bool(flag)) => Some(Value::Flag(*flag)),
        Kind::Scalar(Scalar::Int(int)) => Some(Value::Int(*int)),
        Kind::Scalar(Scalar::Duration(span)) => Some(Value::Span(*span)),
        Kind::Scalar(Scalar::Size(bytes)) => Some(Value::Bytes(*bytes)),
        Kind::Scalar(Scalar::Float(number)) => Some(Value::Number(*number)),
        Kind::Scalar(Scalar::Text(text)) => Some(Value::Text(text.clone())),
        Kind::List(items, _) => Some(Value::List(items.iter().filter_map(value).collect())),
        // A record within a list, such as a worker, becomes a list of pairs of field name and value.
        Kind::Record(record) => {
            let named = record.fields.iter().filter_map(|(name, field)| {
                let name = Value::Text(name.clone());
                Some(Value::List(vec![name, value(&field.node)?]))
            });
            Some(Value::List(named.collect()))
        }
        _ => None,
    }
}
