//! A run: a line of JSON that a measuring tool prints, and its validation.

use crate::error::{CapacityError, Errors};
use serde_json::{Map, Value};
use thiserror::Error;

/// The measuring tools, and the fields that a successful run of each must have.
const TOOLS: [(&str, &[&str]); 3] = [
    ("run", &["front_ends", "seed"]),
    ("virtual", &["front_ends", "seed"]),
    ("state", &["what", "seed"]),
];
/// The fields that every run must have, including failed ones.
const COMMON_FIELDS: [&str; 2] = ["command", "ok"];

/// A tool name that is not known.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("tool {0:?} is not known; expected \"run\", \"virtual\" or \"state\"")]
pub struct UnknownTool(pub String);

/// An error in a run.
#[derive(Debug, Error)]
pub enum RunError {
    /// The line is not JSON.
    #[error("{0}; expected one JSON object a line, with finite numbers")]
    Json(#[from] serde_json::Error),
    /// The line is valid JSON but not an object.
    #[error("not a JSON object; expected {{\"tool\": \"run\", ...}}")]
    NotAnObject,
    /// The tool is not known.
    #[error(transparent)]
    UnknownTool(#[from] UnknownTool),
    /// A required field is absent or null.
    #[error("field {field} is missing; a run of {tool:?} must have command, ok, {}", .required.join(", "))]
    MissingField {
        /// The field.
        field: &'static str,
        /// The tool.
        tool: String,
        /// The required fields of the tool, besides those common to all.
        required: &'static [&'static str],
    },
    /// The value of a field is invalid.
    #[error("{field} is {value}; expected {expected}")]
    InvalidField {
        /// The field's dotted path.
        field: String,
        /// The value found.
        value: Value,
        /// A description of valid values.
        expected: &'static str,
    },
}

/// The fields that a successful run of a tool must have, besides the common ones.
pub fn required_fields(tool: &str) -> Result<&'static [&'static str], UnknownTool> {
    TOOLS
        .iter()
        .find(|(name, _)| *name == tool)
        .map(|(_, fields)| *fields)
        .ok_or_else(|| UnknownTool(tool.into()))
}

/// A run, with its original text.
#[derive(Clone, Debug)]
pub struct Run {
    /// The line as it was printed.
    pub text: String,
    /// The parsed line.
    pub value: Value,
}

impl Run {
    /// Parses and validates a line of JSON.
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

    /// The number at a dotted path, such as `in_force_ms.p99`.
    pub fn number(&self, path: &str) -> Option<f64> {
        path.split('.')
            .try_fold(&self.value, |value, name| value.get(name))?
            .as_f64()
    }

    /// The tool that printed the run.
    pub fn tool(&self) -> &str {
        self.string("tool")
    }

    /// The command line that repeats the measurement.
    pub fn command(&self) -> &str {
        self.string("command")
    }

    /// Whether the run succeeded.
    pub fn ok(&self) -> bool {
        self.value.get("ok") == Some(&Value::Bool(true))
    }

    fn string(&self, name: &str) -> &str {
        self.value.get(name).and_then(Value::as_str).unwrap_or("")
    }
}

/// Checks that the required fields are present; a failed run needs only the common ones.
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

/// Checks the value of a field and, if it is an object, of each nested field. `name` is the dotted path.
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
        ("tool" | "what" | "tier", _) => expect(value.is_string(), "a string"),
        ("ok", _) => expect(value.is_boolean(), "true or false"),
        ("notes", _) => expect(
            is_string_list(value),
            "a list of strings, such as [\"1 change refused\"]",
        ),
        ("command", _) => expect(
            is_portable_command(value.as_str().unwrap_or("")),
            "the command line that repeats the measurement, without absolute paths",
        ),
        (_, Value::Object(parts)) => parts
            .iter()
            .try_for_each(|(part, value)| check_field(&format!("{name}.{part}"), value)),
        // Values that were not measured may be null, except quantiles, which are left out instead.
        (_, Value::Null) => expect(
            !name.rsplit('.').next().is_some_and(is_quantile),
            "a finite number",
        ),
        (_, Value::String(_) | Value::Bool(_)) => Ok(()),
        _ => expect(
            value.as_f64().is_some_and(f64::is_finite),
            "a finite number, or no such field",
        ),
    }
}

fn is_string_list(value: &Value) -> bool {
    value
        .as_array()
        .is_some_and(|items| items.iter().all(Value::is_string))
}

/// Whether a command line is not empty and contains no absolute paths.
fn is_portable_command(text: &str) -> bool {
    let has_absolute_path = text.split([' ', '=']).any(|word| word.starts_with('/'));
    !text.is_empty() && !has_absolute_path
}

/// Whether a field is a quantile, such as `p99`.
fn is_quantile(name: &str) -> bool {
    name.strip_prefix('p')
        .is_some_and(|digits| digits.parse::<u32>().is_ok())
}

/// Parses runs, one a line; skips empty lines. `name` is the file name for errors.
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
