//! Settings as CUE-like typed records.
//!
//! A file is parsed, evaluated, unified with the schema of this package (`schema.cue`), made concrete and read into the program's
//! own types. All errors are reported at once, each with file, line, column, the field's path and what would be right. Nothing is
//! decided or tuned here: what is left out takes the schema's default.
//!
//! It is not for reading files, and it does not apply settings: a text comes in, and a program's own types go out. How the front
//! ends of a fleet agree on settings is in [`agreement`], as far as it depends on the schema.
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
use value::{concrete, definition, evaluate, unify, Node, SCHEMA};

const SCHEMA_TEXT: &str = include_str!("schema.cue");

/// All errors of a text.
#[derive(Debug, Clone)]
pub struct Errors {
    sources: Vec<Source>,
    /// In the order of the text.
    pub list: Vec<Diagnostic>,
}

impl std::fmt::Display for Errors {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let lines: Vec<String> = self
            .list
            .iter()
            .map(|error| error.show(&self.sources).to_string())
            .collect();
        f.write_str(&lines.join("\n"))
    }
}
impl std::error::Error for Errors {}

/// The settings of a text; errors show `name` as its file.
pub fn parse_settings(name: &str, text: &str) -> Result<Settings, Errors> {
    checked(name, text, "#Settings", read::settings)
}

/// The workers of a list's text. Zones are those of `zones`; a worker that names none is in `zones[home]`.
pub fn parse_workers(
    name: &str,
    text: &str,
    zones: &[String],
    home: usize,
) -> Result<Vec<ConfiguredWorker>, Errors> {
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
    let (schema, mut errors) = parse(SCHEMA_TEXT, SCHEMA);
    let (fields, syntax_errors) = parse(text, 1);
    errors.extend(syntax_errors);
    let whole = Span {
        source: 1,
        start: 0,
        end: text.len(),
    };
    let written = evaluate(&fields, &schema, whole, &mut errors);
    let wanted = definition(wanted, &schema, &mut errors);
    let unified = unify(written, wanted, "", &mut errors);
    let node = concrete(unified, "", Span { end: 0, ..whole }, &mut errors);
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
