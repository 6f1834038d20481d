//! Settings as CUE-like typed records.
//!
//! A file is parsed, evaluated, unified with the schema that this package carries (`schema.cue`), made concrete and
//! read into the program's own types. All errors are told at once, each with file, line, column, the field's path and
//! what would be right. Nothing is decided and nothing tuned here: what is left out takes the schema's default.

pub mod agree;
mod read;
mod record;
mod types;
pub mod value;

pub use tansy_dispatch::FunctionSpec;
pub use tansyrouter::WhenAbsent;
pub use types::{Fleet, Function, Gateway, Seat, Settings, WorkerLine};

use tansy_syntax::{parse, Diagnostic, Source, Span};
use value::{concrete, definition, evaluate, unify, Node, SCHEMA};

const SCHEMA_TEXT: &str = include_str!("schema.cue");

/// All that is wrong with a text.
#[derive(Debug, Clone)]
pub struct Errors {
    sources: Vec<Source>,
    /// In the text's order.
    pub list: Vec<Diagnostic>,
}

impl std::fmt::Display for Errors {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let lines: Vec<String> = self
            .list
            .iter()
            .map(|d| d.show(&self.sources).to_string())
            .collect();
        f.write_str(&lines.join("\n"))
    }
}
impl std::error::Error for Errors {}

/// The settings of a text; `name` is its file's, for errors.
pub fn settings(name: &str, text: &str) -> Result<Settings, Errors> {
    checked(name, text, "#Settings", read::settings)
}

/// The workers of a list's text; zones are names of `zones`, the one left out is `zones[home]`.
pub fn workers(
    name: &str,
    text: &str,
    zones: &[String],
    home: usize,
) -> Result<Vec<WorkerLine>, Errors> {
    checked(name, text, "#WorkerList", |node, errors| {
        read::worker_list(node, zones, home, errors)
    })
}

fn checked<T>(
    name: &str,
    text: &str,
    wanted: &str,
    read: impl FnOnce(&Node, &mut Vec<Diagnostic>) -> Option<T>,
) -> Result<T, Errors> {
    let source = |name: &str, text: &str| Source {
        name: name.into(),
        text: text.into(),
    };
    let sources = vec![source("schema.cue", SCHEMA_TEXT), source(name, text)];
    let (schema, mut list) = parse(SCHEMA_TEXT, SCHEMA);
    let (fields, wrong) = parse(text, 1);
    list.extend(wrong);
    let whole = Span {
        source: 1,
        start: 0,
        end: text.len(),
    };
    let written = evaluate(&fields, &schema, whole, &mut list);
    let wanted = definition(wanted, &schema, &mut list);
    let both = unify(written, wanted, "", &mut list);
    let node = concrete(both, "", Span { end: 0, ..whole }, &mut list);
    let value = if list.is_empty() {
        read(&node, &mut list)
    } else {
        None
    };
    list.sort_by_key(|d| d.span);
    list.dedup();
    match value {
        Some(value) if list.is_empty() => Ok(value),
        _ => Err(Errors { sources, list }),
    }
}
