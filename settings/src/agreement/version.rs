//! The fields of a text, those that its version contains, and those that this program's schema does not know.

use super::flatten::flattened;
use super::is_own_field;
use crate::value::{definition, evaluate, Kind, SCHEMA};
use crate::{Errors, SCHEMA_TEXT};
use std::collections::BTreeMap;
use tansy_agreement::compatibility::{self, Fields};
use tansy_syntax::{parse, Span};

/// A text's fields by their paths, with the schema's defaults filled in; all errors are reported at once.
pub fn parse_fields(name: &str, text: &str) -> Result<Fields, Errors> {
    crate::checked(name, text, "#Settings", |node, _| Some(flattened(node)))
}

/// The fields of a version, of a text that is valid as a whole: those that are written in it and are not each front end's own.
/// Whoever reads the version fills in the defaults, so that it contains no field that only its proposer's program knows and
/// nobody has set.
pub fn parse_version(name: &str, text: &str) -> Result<Fields, Errors> {
    let mut fields = parse_fields(name, text)?;
    let is_written = is_written(text);
    fields.retain(|path, _| !is_own_field(path) && is_written(path));
    Ok(fields)
}

/// The functions of a file that lists functions: of each the fields that are written there, by their names under it.
pub fn parse_functions(name: &str, text: &str) -> Result<BTreeMap<String, Fields>, Errors> {
    let fields = crate::checked(name, text, "#FunctionList", |node, _| Some(flattened(node)))?;
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

/// Whether a path's field is written in a text that is valid as a whole.
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
                // A field of a reference or an alternative counts as written.
                other => return other.is_some(),
            };
        }
        node.is_some()
    }
}

/// Those fields of a version that this program's schema does not know.
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
