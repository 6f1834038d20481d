//! Parses the fields of a text, selects those that are part of a version, and finds those that this program's schema does not
//! know.

use super::flatten::flatten;
use super::is_own_field;
use crate::value::{definition, evaluate, Kind, SCHEMA};
use crate::{Errors, SCHEMA_TEXT};
use std::collections::BTreeMap;
use tansy_agreement::compatibility::{self, Fields};
use tansy_syntax::{parse, Span};

/// Parses the fields of a text by their paths, with the schema's defaults filled in. All errors are reported at once.
pub fn parse_fields(name: &str, text: &str) -> Result<Fields, Errors> {
    crate::parse_as(name, text, "#Settings", |node, _| Some(flatten(node)))
}

/// Parses the fields of a version from a valid text: those that are written in it, without the ones that each front end sets
/// for itself.
///
/// Defaults are filled in by each reader of the version. Otherwise a newer program would propose defaults of fields that older
/// programs do not know, although nobody has set them.
pub fn parse_version(name: &str, text: &str) -> Result<Fields, Errors> {
    let mut fields = parse_fields(name, text)?;
    let is_written = is_written(text);
    fields.retain(|path, _| !is_own_field(path) && is_written(path));
    Ok(fields)
}

/// Parses a text that lists functions. Returns the fields that are written for each function, with names relative to it.
pub fn parse_functions(name: &str, text: &str) -> Result<BTreeMap<String, Fields>, Errors> {
    let fields = crate::parse_as(name, text, "#FunctionList", |node, _| Some(flatten(node)))?;
    let is_written = is_written(text);
    let mut functions: BTreeMap<String, Fields> = BTreeMap::new();
    for (path, value) in fields.into_iter().filter(|(path, _)| is_written(path)) {
        if let [_, function, field] = path.splitn(3, '.').collect::<Vec<_>>()[..] {
            functions
                .entry(compatibility::unescape_name(function))
                .or_default()
                .insert(field.to_string(), value);
        }
    }
    Ok(functions)
}

/// Returns a function that tells whether the field at a path is written in a valid text.
fn is_written(text: &str) -> impl Fn(&String) -> bool {
    let (schema, mut errors) = parse(SCHEMA_TEXT, SCHEMA);
    let (file, _) = parse(text, 1);
    let span = Span {
        source: 1,
        start: 0,
        end: text.len(),
    };
    let written = evaluate(&file, &schema, span, &mut errors);
    move |path: &String| {
        let mut node = Some(&written);
        for part in path.split('.') {
            node = match node.map(|node| &node.kind) {
                Some(Kind::Record(record)) => {
                    let field = record.fields.get(&compatibility::unescape_name(part));
                    field.map(|field| &field.node)
                }
                // Fields inside a reference or a disjunction count as written.
                other => return other.is_some(),
            };
        }
        node.is_some()
    }
}

/// The paths of a version's fields that this program's schema does not know.
pub fn unknown_fields(fields: &Fields) -> Vec<String> {
    let (schema, mut errors) = parse(SCHEMA_TEXT, SCHEMA);
    let settings = definition("#Settings", &schema, &mut errors);
    let is_known = |path: &String| {
        let mut node = &settings;
        for part in path.split('.') {
            let Kind::Record(record) = &node.kind else {
                return false;
            };
            let field = record.fields.get(&compatibility::unescape_name(part));
            let field = field.map(|field| &field.node);
            let Some(next) = field.or(record.any.as_deref()) else {
                return false;
            };
            node = next;
        }
        !matches!(node.kind, Kind::Record(_))
    };
    let unknown = fields.keys().filter(|path| !is_known(path));
    unknown.cloned().collect()
}
