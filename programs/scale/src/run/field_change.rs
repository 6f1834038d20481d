//! Changes of one field, by the field's compatibility.

use crate::fleet::shape::settings_function;
use tansy_agreement::compatibility::{Fields, Value};

/// Kinds of fields by their [`Compatibility`](tansy_agreement::compatibility::Compatibility).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FieldKind {
    /// Front ends may use the old and the new value at the same time.
    Free,
    /// The more restrictive value applies during the change.
    Joint,
    /// Front ends never use both values at the same time; affected calls are rejected during the change.
    Strict,
}

impl FieldKind {
    /// Returns all kinds in a random order.
    pub(super) fn shuffled(rng: &mut fastrand::Rng) -> [FieldKind; 3] {
        let mut kinds = [FieldKind::Free, FieldKind::Joint, FieldKind::Strict];
        rng.shuffle(&mut kinds);
        kinds
    }

    /// Changes one field of this kind in a version. `count` must differ between changes, so that their values differ.
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

    /// Changes one field of this kind in a function. The keys of `fields` are names relative to the function.
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

/// Returns a load time that differs from the one in the settings and from those for other counts.
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
