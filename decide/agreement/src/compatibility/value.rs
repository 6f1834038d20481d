//! The values of fields, and how values and names are written in settings files and paths.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::fmt;

const MICROS_PER_HOUR: i64 = 3_600_000_000;
const MICROS_PER_MINUTE: i64 = 60_000_000;
const MICROS_PER_SECOND: i64 = 1_000_000;
const MICROS_PER_MILLISECOND: i64 = 1000;

/// A field's value, parsed from the settings.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Value {
    /// A boolean.
    Flag(bool),
    /// An integer.
    Int(i64),
    /// A duration in microseconds.
    Span(i64),
    /// A size in bytes.
    Bytes(i64),
    /// A floating-point number.
    Number(f64),
    /// A name or one of several choices.
    Text(String),
    /// A list of values, in order.
    List(Vec<Value>),
}

impl Value {
    /// A total order over all values: numeric kinds compare by magnitude, other values by kind and then by content.
    fn compare(&self, other: &Value) -> Ordering {
        match (self, other) {
            (Value::Flag(a), Value::Flag(b)) => a.cmp(b),
            (Value::Text(a), Value::Text(b)) => a.cmp(b),
            (Value::List(a), Value::List(b)) => a.cmp(b),
            _ => self.compare_numbers(other),
        }
    }

    /// Compares numeric values by magnitude, and all other values by kind.
    fn compare_numbers(&self, other: &Value) -> Ordering {
        match (self.as_integer(), other.as_integer()) {
            (Some(a), Some(b)) => a.cmp(&b),
            _ => match (self.as_float(), other.as_float()) {
                (Some(a), Some(b)) => a.total_cmp(&b),
                _ => self.kind().cmp(&other.kind()),
            },
        }
    }

    fn kind(&self) -> u8 {
        match self {
            Value::Flag(_) => 0,
            Value::Int(_) | Value::Span(_) | Value::Bytes(_) | Value::Number(_) => 1,
            Value::Text(_) => 2,
            Value::List(_) => 3,
        }
    }

    fn as_integer(&self) -> Option<i64> {
        match self {
            Value::Int(integer) | Value::Span(integer) | Value::Bytes(integer) => Some(*integer),
            _ => None,
        }
    }

    fn as_float(&self) -> Option<f64> {
        match self {
            Value::Number(number) => Some(*number),
            _ => self.as_integer().map(|integer| integer as f64),
        }
    }
}

impl PartialEq for Value {
    fn eq(&self, other: &Value) -> bool {
        self.compare(other).is_eq()
    }
}

impl Eq for Value {}

impl PartialOrd for Value {
    fn partial_cmp(&self, other: &Value) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Value {
    fn cmp(&self, other: &Value) -> Ordering {
        self.compare(other)
    }
}

impl fmt::Display for Value {
    /// Formats the value as in a settings file.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Flag(flag) => write!(f, "{flag}"),
            Value::Int(integer) => write!(f, "{integer}"),
            Value::Span(micros) => {
                let units = [
                    ("h", MICROS_PER_HOUR),
                    ("m", MICROS_PER_MINUTE),
                    ("s", MICROS_PER_SECOND),
                    ("ms", MICROS_PER_MILLISECOND),
                ];
                write_in_units(f, *micros, &units, "us")
            }
            Value::Bytes(bytes) => {
                let units = [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10)];
                write_in_units(f, *bytes, &units, "B")
            }
            Value::Number(number) => write!(f, "{number}"),
            Value::Text(text) => f.write_str(&quote(text)),
            Value::List(values) => {
                let values: Vec<String> = values.iter().map(Value::to_string).collect();
                write!(f, "[{}]", values.join(", "))
            }
        }
    }
}

/// Writes a quantity in the largest unit of which it is an integer multiple.
fn write_in_units(
    f: &mut fmt::Formatter<'_>,
    quantity: i64,
    units: &[(&str, i64)],
    smallest_unit: &str,
) -> fmt::Result {
    let divides = |size: i64| quantity != 0 && quantity % size == 0;
    match units.iter().find(|(_, size)| divides(*size)) {
        Some((unit, size)) => write!(f, "{}{unit}", quantity / size),
        None => write!(f, "{quantity}{smallest_unit}"),
    }
}

/// Quotes and escapes a text as in a settings file.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' | '\\' => quoted.extend(['\\', character]),
            '\n' => quoted.push_str("\\n"),
            '\t' => quoted.push_str("\\t"),
            '\r' => quoted.push_str("\\r"),
            control if control.is_control() => {
                quoted.push_str(&format!("\\u{:04x}", control as u32));
            }
            other => quoted.push(other),
        }
    }
    quoted + "\""
}

/// Escapes a name for use as one component of a path, which can't contain dots.
pub fn escape_name(name: &str) -> String {
    name.replace('%', "%25").replace('.', "%2e")
}

/// The name that [`escape_name`] has escaped as this component.
pub fn unescape_name(component: &str) -> String {
    component.replace("%2e", ".").replace("%25", "%")
}
