//! The settings that a front end acts on, from a version that is agreed on and the fields of its own file.

use super::{is_own_field, parse_fields, to_text, unknown_fields};
use crate::Errors;
use std::collections::BTreeSet;
use tansy_agreement::compatibility::{AffectedCalls, Fields, Value};

/// All fields of a version, with this program's defaults filled in. Fields that the schema does not know are left out; the calls
/// that they affect have to be rejected, since their meaning is not known here.
pub fn with_defaults(version: &Fields) -> Result<(Fields, BTreeSet<AffectedCalls>), Errors> {
    let unknown = unknown_fields(version);
    let mut known = version.clone();
    for path in &unknown {
        known.remove(path);
    }
    let mut filled = parse_fields("the version", &to_text(&known))?;
    filled.retain(|path, _| !is_own_field(path));
    let affected = unknown.iter().map(|path| AffectedCalls::of_path(path));
    Ok((filled, affected.collect()))
}

/// Checks that a version makes valid settings, for a program that knows all of its fields.
pub fn validate(version: &Fields) -> Result<(), Errors> {
    let (filled, _) = with_defaults(version)?;
    effective_settings(&Fields::new(), &filled).map(drop)
}

/// A function of its fields, by their names under `functions.NAME`, with the schema's defaults filled in. A field that this
/// program's schema does not know is an error, since its meaning for the function's calls is not known here.
pub fn read_function(name: &str, fields: &Fields) -> Result<crate::FunctionSettings, Errors> {
    crate::checked(
        &format!("functions.{name}"),
        &to_text(fields),
        "#Function",
        crate::read::one_function,
    )
}

/// The settings that a front end acts on: these rules, with the fields of its own file that are its own.
pub fn effective_settings(own_fields: &Fields, rules: &Fields) -> Result<crate::Settings, Errors> {
    let mut fields = rules.clone();
    fields.retain(|path, _| !is_own_field(path));
    let unkeyed = keyed_without_window(&fields);
    let not_repeatable = |path| (path, Value::Text("unsafe".into()));
    fields.extend(unkeyed.into_iter().map(not_repeatable));
    // Its workers and its fleet are read with its file alone.
    let separate = |path: &str| path == "workers" || path.starts_with("fleet.");
    let own_fields = own_fields.iter();
    let own_fields = own_fields.filter(|(path, _)| is_own_field(path) && !separate(path));
    fields.extend(own_fields.map(|(path, value)| (path.clone(), value.clone())));
    if let (Some(Value::Int(number)), Some(Value::Int(siblings))) =
        (fields.get("front.me"), fields.get("front.siblings"))
    {
        // One front end more than a version counts has a smaller part for each, never a larger one.
        let siblings = Value::Int((number + 1).max(*siblings));
        fields.insert("front.siblings".into(), siblings);
    }
    crate::parse_settings("the version in use", &to_text(&fields))
}

/// The paths of effects that are `keyed` while their class has no window: the stricter window of a keyed class and another one is
/// none, and workers without a window drop no repeat.
fn keyed_without_window(fields: &Fields) -> Vec<String> {
    let without_window = |path: &str| {
        let window = fields.get(&path.replace(".effect", ".window"));
        window.is_none_or(|window| *window <= Value::Span(0))
    };
    let keyed = Value::Text("keyed".into());
    fields
        .iter()
        .filter(|(path, value)| path.ends_with(".effect") && **value == keyed)
        .filter(|(path, _)| without_window(path))
        .map(|(path, _)| path.clone())
        .collect()
}
