//! Settings as CUE-like typed records.
//!
//! A text is parsed, evaluated, unified with this crate's schema (`schema.cue`), made concrete and converted to Rust types. All
//! errors are reported at once, each with file, line, column, the field's path and the expected value. Fields that are left out
//! take the schema's defaults.
//!
//! The crate does no I/O: it neither reads files nor applies settings. [`agreement`] contains the schema-dependent part of the
//! agreement on settings between the front ends of a fleet.
//!
//! ```
//! let text = "classes: chat: {aim: 1s, deadline: 2s}\nfunctions: echo: {class: \"chat\", memory: 1MB}\n";
//! let settings = tansy_settings::parse_settings("example.cue", text)?;
//! assert_eq!(settings.dispatch.classes, ["chat"]);
//!
//! let errors = tansy_settings::parse_settings("example.cue", "front: {streams: 0}\n").unwrap_err();
//! assert!(errors.to_string().starts_with("example.cue:1:18: front.streams: 0 does not fit"));
//! # Ok::<(), tansy_settings::Errors>(())
//! ```

pub mod agreement;
mod read;
mod record;
mod types;
pub mod value;

pub use tansy_dispatch::FunctionSpec;
pub use tansyrouter::MissPolicy;
pub use types::{
    ConfiguredWorker, FleetSettings, FunctionSettings, GatewaySettings, Settings, Voter,
};

use tansy_syntax::{parse, Diagnostic, Source, Span};
use value::{definition, evaluate, make_concrete, unify, Node, SCHEMA};

const SCHEMA_TEXT: &str = include_str!("schema.cue");

/// All errors found in a text.
#[derive(Debug, Clone)]
pub struct Errors {
    sources: Vec<Source>,
    /// The errors, in the order of the text.
    pub list: Vec<Diagnostic>,
}

impl std::fmt::Display for Errors {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let lines: Vec<String> = self
            .list
            .iter()
            .map(|error| error.display(&self.sources).to_string())
            .collect();
        f.write_str(&lines.join("\n"))
    }
}
impl std::error::Error for Errors {}

/// Parses a text as settings. Errors show `name` as the file name.
pub fn parse_settings(name: &str, text: &str) -> Result<Settings, Errors> {
    parse_as(name, text, "#Settings", read::settings)
}

/// Parses a text as a worker list. The zones must be among `zones`; a worker without a zone is in `zones[home]`.
pub fn parse_workers(
    name: &str,
    text: &str,
    zones: &[String],
    home: usize,
) -> Result<Vec<ConfiguredWorker>, Errors> {
    parse_as(name, text, "#WorkerList", |node, errors| {
        read::worker_list(node, zones, home, errors)
    })
}

/// Parses a text, unifies it with a definition of the schema, and converts the result with `read` if it is valid.
fn parse_as<T>(
    name: &str,
    text: &str,
    definition_name: &str,
    read: impl FnOnce(&Node, &mut Vec<Diagnostic>) -> Option<T>,
) -> Result<T, Errors> {
    let source = |name: &str, text: &str| Source {
        name: name.into(),
        text: text.into(),
    };
    let sources = vec![source("schema.cue", SCHEMA_TEXT), source(name, text)];
    let (schema, mut errors) = parse(SCHEMA_TEXT, SCHEMA);
    let (fields, syntax_errors) = parse(text, 1);
    errors.extend(syntax_errors);
    let whole = Span {
        source: 1,
        start: 0,
        end: text.len(),
    };
    let written = evaluate(&fields, &schema, whole, &mut errors);
    let expected = definition(definition_name, &schema, &mut errors);
    let unified = unify(written, expected, "", &mut errors);
    let node = make_concrete(unified, "", Span { end: 0, ..whole }, &mut errors);
    let value = if errors.is_empty() {
        read(&node, &mut errors)
    } else {
        None
    };
    errors.sort_by_key(|error| error.span);
    errors.dedup();
    match value {
        Some(value) if errors.is_empty() => Ok(value),
        _ => Err(Errors {
            sources,
            list: errors,
        }),
    }
}
