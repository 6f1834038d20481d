//! Typed access to the fields of concrete records.

use crate::value::{Kind, Node, Record, Scalar};
use std::net::SocketAddr;
use tansy_syntax::Diagnostic;

/// Reads the fields of a concrete record. The schema has already checked names and types, so a field is `None` only if it is
/// absent or an error has been reported for it.
#[derive(Clone, Copy)]
pub(crate) struct RecordReader<'a> {
    record: &'a Record,
    node: &'a Node,
}

impl<'a> RecordReader<'a> {
    pub(crate) fn new(node: &'a Node) -> Option<RecordReader<'a>> {
        match &node.kind {
            Kind::Record(record) => Some(RecordReader { record, node }),
            _ => None,
        }
    }

    fn node(self, name: &str) -> Option<&'a Node> {
        self.record.fields.get(name).map(|field| &field.node)
    }

    pub(crate) fn record(self, name: &str) -> Option<RecordReader<'a>> {
        self.node(name).and_then(RecordReader::new)
    }

    fn scalar(self, name: &str) -> Option<&'a Scalar> {
        match &self.node(name)?.kind {
            Kind::Scalar(scalar) => Some(scalar),
            _ => None,
        }
    }

    /// An integer, a duration in microseconds or a size in bytes.
    pub(crate) fn int(self, name: &str) -> Option<i64> {
        match self.scalar(name)? {
            Scalar::Int(int) | Scalar::Duration(int) | Scalar::Size(int) => Some(*int),
            _ => None,
        }
    }

    pub(crate) fn number(self, name: &str) -> Option<f64> {
        match self.scalar(name)? {
            Scalar::Int(int) => Some(*int as f64),
            Scalar::Float(float) => Some(*float),
            _ => None,
        }
    }

    pub(crate) fn text(self, name: &str) -> Option<&'a str> {
        match self.scalar(name)? {
            Scalar::Text(text) => Some(text),
            _ => None,
        }
    }

    pub(crate) fn bool(self, name: &str) -> Option<bool> {
        match self.scalar(name)? {
            Scalar::Bool(flag) => Some(*flag),
            _ => None,
        }
    }

    pub(crate) fn list(self, name: &str) -> Option<&'a [Node]> {
        match &self.node(name)?.kind {
            Kind::List(items, _) => Some(items),
            _ => None,
        }
    }

    pub(crate) fn records(self, name: &str) -> Option<Vec<(&'a str, RecordReader<'a>)>> {
        let inner = self.record(name)?;
        inner
            .record
            .fields
            .iter()
            .map(|(name, field)| Some((name.as_str(), RecordReader::new(&field.node)?)))
            .collect()
    }

    /// Creates an error at the place of a field, or of the record if the field is absent.
    pub(crate) fn error(self, name: &str, path: &str, problem: String, help: &str) -> Diagnostic {
        let span = self.node(name).unwrap_or(self.node).span;
        Diagnostic::new(span, problem)
            .with_path(path)
            .with_help(help)
    }
}

/// The strings of a list.
pub(crate) fn strings(nodes: &[Node]) -> Vec<String> {
    let text = |node: &Node| match &node.kind {
        Kind::Scalar(Scalar::Text(text)) => Some(text.clone()),
        _ => None,
    };
    nodes.iter().filter_map(text).collect()
}

/// Reads a field as an address with a port.
pub(crate) fn address(
    record: RecordReader<'_>,
    name: &str,
    path: &str,
    errors: &mut Vec<Diagnostic>,
) -> Option<SocketAddr> {
    let text = record.text(name)?;
    let address = text.parse::<SocketAddr>().ok();
    if address.is_none() {
        let help =
            "expected an address and a port, for example \"127.0.0.1:8001\" or \"[::1]:8001\"";
        errors.push(record.error(name, path, format!("{text:?} is not an address"), help));
    }
    address
}

/// Reads a field as a name and returns its index in `known`, or `default` if the name is empty.
pub(crate) fn index_of(
    record: RecordReader<'_>,
    name: &str,
    path: &str,
    known: &[String],
    default: usize,
    errors: &mut Vec<Diagnostic>,
) -> Option<usize> {
    let text = record.text(name)?;
    if text.is_empty() {
        return Some(default);
    }
    let index = known.iter().position(|known| known == text);
    if index.is_none() {
        let help = format!("expected one of {}", known.join(", "));
        errors.push(record.error(name, path, format!("{text:?} does not exist"), &help));
    }
    index
}
