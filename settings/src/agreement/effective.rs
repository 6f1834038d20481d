//! Computes the settings that a front end applies from an agreed version and the fields of its own file.

use super::{is_own_field, parse_fields, to_text, unknown_fields};
use crate::Errors;
use std::collections::BTreeSet;
use tansy_agreement::compatibility::{AffectedCalls, Fields, Value};

/// All fields of a version, with this program's defaults filled in, and the calls that must be rejected.
///
/// Fields that this program's schema does not know are left out. The calls that they affect must be rejected, since this
/// program can't know what the fields mean for them.
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

/// Checks that the known fields of a version are valid settings.
pub fn validate(version: &Fields) -> Result<(), Errors> {
    let (filled, _) = with_defaults(version)?;
    effective_settings(&Fields::new(), &filled).map(drop)
}

/// Reads a function from its fields, with the schema's defaults filled in. The paths of the fields lack the prefix
/// `functions.NAME`. A field that this program's schema does not know is an error, since this program can't know what it means
/// for the function's calls.
pub fn read_function(name: &str, fields: &Fields) -> Result<crate::FunctionSettings, Errors> {
    crate::parse_as(
        &format!("functions.{name}"),
        &to_text(fields),
        "#Function",
        crate::read::function_settings,
    )
}

/// The settings that a front end applies: the fields of `rules`, and its own values of the fields that each front end sets for
/// itself, except workers and fleet settings. Classes that are `keyed` but have no deduplication window become `unsafe`.
pub fn effective_settings(own_fields: &Fields, rules: &Fields) -> Result<crate::Settings, Errors> {
    let mut fields = rules.clone();
    fields.retain(|path, _| !is_own_field(path));
    let without_window = keyed_without_window(&fields);
    let as_unsafe = |path| (path, Value::Text("unsafe".into()));
    fields.extend(without_window.into_iter().map(as_unsafe));
    // Workers and fleet settings are read from the front end's file only.
    let is_from_file_only = |path: &str| path == "workers" || path.starts_with("fleet.");
    let own_fields = own_fields.iter();
    let own_fields = own_fields.filter(|(path, _)| is_own_field(path) && !is_from_file_only(path));
    fields.extend(own_fields.map(|(path, value)| (path.clone(), value.clone())));
    if let (Some(Value::Int(number)), Some(Value::Int(siblings))) =
        (fields.get("front.me"), fields.get("front.siblings"))
    {
        // A front end whose index is beyond the number of front ends raises that number, so that its share of a budget is never
        // too large.
        let siblings = Value::Int((number + 1).max(*siblings));
        fields.insert("front.siblings".into(), siblings);
    }
    crate::parse_settings("the version in use", &to_text(&fields))
}

/// The paths of the effects of classes that are `keyed` but have no deduplication window. This occurs while two versions are in
/// use, if the class is keyed in one and has no window in the other. Workers then drop no duplicates, so the calls must not be
/// retried.
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
