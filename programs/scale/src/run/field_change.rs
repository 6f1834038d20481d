//! Changes of one field, of each kind by what it takes to put it in force.

use crate::fleet::shape::settings_function;
use tansy_agreement::compatibility::{Fields, Value};

/// Kinds of fields by their [`Compatibility`](tansy_agreement::compatibility::Compatibility).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FieldKind {
    /// Old and new value may be in use side by side.
    Free,
    /// The more restrictive value holds while two are in use.
    Joint,
    /// Two values are never in use; affected calls are rejected meanwhile.
    Strict,
}

impl FieldKind {
    /// All kinds, in a random order.
    pub(super) fn shuffled(rng: &mut fastrand::Rng) -> [FieldKind; 3] {
        let mut kinds = [FieldKind::Free, FieldKind::Joint, FieldKind::Strict];
        rng.shuffle(&mut kinds);
        kinds
    }

    /// A version's fields with another value of one of this kind; `count` changes came before.
    pub(super) fn change_version(self, mut fields: Fields, count: usize) -> Fields {
        let (path, value) = match self {
            FieldKind::Free => {
                let value = Value::Span(30_000_000 + count as i64 * 1000);
                ("classes.c.aim".into(), value)
            }
            FieldKind::Joint => {
                let value = Value::Number(1001.0 + count as f64);
                ("tenants.t.quota_per_s".into(), value)
            }
            FieldKind::Strict => {
                let path = format!("functions.{}.class", settings_function(0));
                let value = other_class(fields.get(&path));
                (path, value)
            }
        };
        fields.insert(path, value);
        fields
    }

    /// A function's fields, by their names under it, with another value of one of this kind.
    pub(super) fn change_function(self, mut fields: Fields, count: usize) -> Fields {
        let (name, value) = match self {
            FieldKind::Free => ("load_time", other_load_time(count)),
            FieldKind::Joint => ("lanes", other_lanes(fields.get("lanes"))),
            FieldKind::Strict => ("class", other_class(fields.get("class"))),
        };
        fields.insert(name.into(), value);
        fields
    }
}

/// A load time that differs from the settings' one and from that of every other count.
pub(super) fn other_load_time(count: usize) -> Value {
    Value::Span(400_001 + count as i64)
}

fn other_lanes(before: Option<&Value>) -> Value {
    let is_eight = before == Some(&Value::Int(8));
    Value::Int(if is_eight { 7 } else { 8 })
}

fn other_class(before: Option<&Value>) -> Value {
    let is_c = before == Some(&Value::Text("c".into()));
    Value::Text(if is_c { "d" } else { "c" }.into())
}
