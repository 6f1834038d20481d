//! One run: a line of JSON that a measuring command prints, and its validation.

use crate::error::{CapacityError, Errors};
use serde_json::{Map, Value};
use thiserror::Error;

/// The commands that measure, and the fields without which a run of each says nothing.
const TOOLS: [(&str, &[&str]); 3] = [
    ("run", &["front_ends", "seed"]),
    ("virtual", &["front_ends", "seed"]),
    ("state", &["what", "seed"]),
];
/// The fields of each run, be it a failed one.
const COMMON_FIELDS: [&str; 2] = ["command", "ok"];

/// A tool that is none of the measuring commands.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("tool {0:?} is not known; right are \"run\", \"virtual\", \"state\"")]
pub struct UnknownTool(pub String);

/// An error in a run.
#[derive(Debug, Error)]
pub enum RunError {
    /// The line is not JSON.
    #[error("{0}; right is one JSON object a line, with finite numbers")]
    Json(#[from] serde_json::Error),
    /// The line is JSON of another kind.
    #[error("no object; right is {{\"tool\": \"run\", ...}}")]
    NotAnObject,
    /// No measuring command prints such runs.
    #[error(transparent)]
    UnknownTool(#[from] UnknownTool),
    /// A field that the tool's runs have is absent.
    #[error("{field} is not there; a line of {tool:?} has command, ok, {}", .required.join(", "))]
    MissingField {
        /// The field.
        field: &'static str,
        /// The tool.
        tool: String,
        /// The fields that a run of the tool has beside those of all.
        required: &'static [&'static str],
    },
    /// A field has a value of another kind.
    #[error("{field} is {value}; right is {expected}")]
    InvalidField {
        /// The field's dotted path.
        field: String,
        /// Its value.
        value: Value,
        /// The expected kind of value.
        expected: &'static str,
    },
}

/// The fields that a run of a tool has.
pub fn required_fields(tool: &str) -> Result<&'static [&'static str], UnknownTool> {
    TOOLS
        .iter()
        .find(|(name, _)| *name == tool)
        .map(|(_, fields)| *fields)
        .ok_or_else(|| UnknownTool(tool.into()))
}

/// One run, as it was written.
#[derive(Clone, Debug)]
pub struct Run {
    /// The line.
    pub text: String,
    /// The line's JSON.
    pub value: Value,
}

impl Run {
    /// Parses and checks a line of JSON.
    pub fn parse(line: &str) -> Result<Run, RunError> {
        let value: Value = serde_json::from_str(line)?;
        let fields = value.as_object().ok_or(RunError::NotAnObject)?;
        check_required(fields)?;
        for (name, field) in fields {
            check_field(name, field)?;
        }
        Ok(Run {
            text: line.trim().into(),
            value,
        })
    }

    /// A number by its dotted path.
    pub fn number(&self, path: &str) -> Option<f64> {
        path.split('.')
            .try_fold(&self.value, |value, name| value.get(name))?
            .as_f64()
    }

    /// The tool that made it.
    pub fn tool(&self) -> &str {
        self.string("tool")
    }

    /// The command line that measures it again.
    pub fn command(&self) -> &str {
        self.string("command")
    }

    /// Whether it went as it should.
    pub fn ok(&self) -> bool {
        self.value.get("ok") == Some(&Value::Bool(true))
    }

    fn string(&self, name: &str) -> &str {
        self.value.get(name).and_then(Value::as_str).unwrap_or("")
    }
}

/// Checks that the fields are there which a run of its tool has; a failed run needs those of all runs only.
fn check_required(fields: &Map<String, Value>) -> Result<(), RunError> {
    let tool = fields.get("tool").and_then(Value::as_str).unwrap_or("");
    let of_tool = required_fields(tool)?;
    let succeeded = fields.get("ok") == Some(&Value::Bool(true));
    let required = if succeeded { of_tool } else { &[] };
    let is_missing = |field: &&&str| fields.get(**field).is_none_or(Value::is_null);
    match COMMON_FIELDS.iter().chain(required).find(is_missing) {
        None => Ok(()),
        Some(field) => Err(RunError::MissingField {
            field,
            tool: tool.into(),
            required,
        }),
    }
}

/// Checks a field, and those in it by their dotted paths.
fn check_field(name: &str, value: &Value) -> Result<(), RunError> {
    let expect = |valid: bool, expected: &'static str| {
        if valid {
            return Ok(());
        }
        Err(RunError::InvalidField {
            field: name.into(),
            value: value.clone(),
            expected,
        })
    };
    match (name, value) {
        ("tool" | "what" | "tier", _) => expect(value.is_string(), "a word"),
        ("ok", _) => expect(value.is_boolean(), "true or false"),
        ("notes", _) => expect(
            is_string_list(value),
            "a list of texts, such as [\"1 change refused\"]",
        ),
        ("command", _) => expect(
            is_portable_command(value.as_str().unwrap_or("")),
            "the command line that measures it again, without absolute paths",
        ),
        (_, Value::Object(parts)) => parts
            .iter()
            .try_for_each(|(part, value)| check_field(&format!("{name}.{part}"), value)),
        // What was not measured may be null; a quantile that is there is a number.
        (_, Value::Null) => expect(
            !name.rsplit('.').next().is_some_and(is_quantile),
            "a finite number",
        ),
        (_, Value::String(_) | Value::Bool(_)) => Ok(()),
        _ => expect(
            value.as_f64().is_some_and(f64::is_finite),
            "a finite number, or the field left out",
        ),
    }
}

fn is_string_list(value: &Value) -> bool {
    value
        .as_array()
        .is_some_and(|items| items.iter().all(Value::is_string))
}

/// Whether a command line is there and names no absolute paths.
fn is_portable_command(text: &str) -> bool {
    let has_absolute_path = text.split([' ', '=']).any(|word| word.starts_with('/'));
    !text.is_empty() && !has_absolute_path
}

/// Whether a name is that of a quantile, such as `p99`.
fn is_quantile(name: &str) -> bool {
    name.strip_prefix('p')
        .is_some_and(|digits| digits.parse::<u32>().is_ok())
}

/// Reads lines of runs; empty ones are passed over.
pub fn parse_runs(name: &str, text: &str) -> Result<Vec<Run>, Errors> {
    let mut runs = Vec::new();
    let mut errors = Errors::default();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        match Run::parse(line) {
            Ok(run) => runs.push(run),
            Err(source) => errors.push(CapacityError::Run {
                file: name.into(),
                line: index + 1,
                source,
            }),
        }
    }
    errors.into_result(runs)
}
