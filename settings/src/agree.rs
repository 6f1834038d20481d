//! The compatibility of each field of the schema between front ends of a fleet, and a text's fields in the form that agreement
//! works on.
//!
//! `tests/agree.rs` walks the schema and checks that every field of it is listed here.

use crate::value::{definition, evaluate, Kind, Node, Scalar, SCHEMA};
use crate::{Errors, SCHEMA_TEXT};
use std::collections::{BTreeMap, BTreeSet};
use tansy_agreement::compatibility::{
    self, AffectedCalls, Compatibility, ExpiredLeasePolicy, Fields, Restrictiveness, Schema, Value,
};
use tansy_syntax::{parse, Span};

/// The least share or multiple that the schema accepts.
const MIN_FACTOR: f64 = 0.000001;
/// A time longer than any, microseconds.
const MAX_TIME: i64 = 1_000_000_000_000_000;

/// The smaller value is the stricter one; `strictest` holds without a lease.
fn smallest(strictest: Value) -> Compatibility {
    Compatibility::Joint(
        Restrictiveness::Smallest,
        ExpiredLeasePolicy::Strictest(strictest),
    )
}

/// The larger value is the stricter one; `strictest` holds without a lease.
fn largest(strictest: Value) -> Compatibility {
    Compatibility::Joint(
        Restrictiveness::Largest,
        ExpiredLeasePolicy::Strictest(strictest),
    )
}

/// The compatibility of all fields. Those of a front end's own are free: `front.me`, its addresses, its sizes. Over 50 lines, since
/// it is a table of one field a line.
pub fn agreement() -> Schema {
    use Compatibility::{Free, Strict};
    let effects = Restrictiveness::Ranked(&["unsafe", "keyed", "safe"]);
    Schema::new([
        // All front ends must count a call under the same class and tenant.
        ("front.class_key", Strict),
        ("front.tenant_key", Strict),
        // Budgets are divided by it: the larger number leaves the smaller parts.
        ("front.siblings", largest(Value::Int(100_000))),
        ("front.*", Free),
        ("zones", Free),
        // Whether a call may be repeated.
        (
            "classes.*.effect",
            Compatibility::Joint(
                effects,
                ExpiredLeasePolicy::Strictest(Value::Text("unsafe".into())),
            ),
        ),
        ("classes.*.window", smallest(Value::Span(0))),
        ("classes.*.group", Strict),
        ("classes.*.deadline", Free),
        ("classes.*.aim", Free),
        ("classes.*.aim_stretch", Free),
        ("classes.*.worth", Free),
        ("classes.*.late_worth", Free),
        ("classes.*.streamed", Free),
        ("tenants.*.quota_per_s", smallest(Value::Number(MIN_FACTOR))),
        ("tenants.*.fraction", smallest(Value::Number(0.0))),
        ("over_quota_worth", Free),
        ("worth_by_work", Free),
        // A function's class determines whether its calls may be repeated.
        ("functions.*.class", Strict),
        ("functions.*.lanes", smallest(Value::Int(1))),
        ("functions.*.memory", Free),
        ("functions.*.load_time", Free),
        ("functions.*.versions", Free),
        // Limits of the load on workers, by all front ends together.
        ("worker.max_attempts", smallest(Value::Int(1))),
        ("worker.may_order", smallest(Value::Flag(false))),
        ("worker.may_probe", smallest(Value::Flag(false))),
        ("worker.cold_from", smallest(Value::Number(MIN_FACTOR))),
        ("worker.warm_up", largest(Value::Span(MAX_TIME))),
        ("worker.fall_multiple", smallest(Value::Number(MIN_FACTOR))),
        ("worker.fall_after", smallest(Value::Span(1))),
        ("worker.drain_grace", smallest(Value::Span(0))),
        ("worker.ration.free", smallest(Value::Number(0.0))),
        ("worker.ration.part", smallest(Value::Number(0.0))),
        ("worker.ration.period", largest(Value::Span(MAX_TIME))),
        ("worker.*", Free),
        ("prices.*", Free),
        // Lists of workers have incarnations of their own.
        ("workers", Free),
        // Each front end has its own settings of the fleet.
        ("fleet.*", Free),
    ])
}

/// Whether a field is each front end's own: versions do not contain it, and no change of it is agreed on.
pub fn own(path: &str) -> bool {
    let front = path.strip_prefix("front.");
    let front_fields = ["listen", "http", "me", "zone", "seed", "tick"];
    path == "workers"
        || path == "zones"
        || path.starts_with("fleet.")
        || front.is_some_and(|field| front_fields.contains(&field))
}

/// Whether a front end applies a change of this field only when it starts: sizes of what it creates then.
pub fn at_start(path: &str) -> bool {
    let front_fields = [
        "connections",
        "streams",
        "message",
        "headers",
        "stream_window",
        "preface",
        "drain",
    ];
    path == "worker.stream_window"
        || path
            .strip_prefix("front.")
            .is_some_and(|field| front_fields.contains(&field))
}

/// A text's fields by their paths, with the schema's defaults filled in; all errors are reported at once.
pub fn fields(name: &str, text: &str) -> Result<Fields, Errors> {
    crate::checked(name, text, "#Settings", |node, _| Some(flattened(node)))
}

/// The fields of a version, of a text that is valid as a whole: those that are written in it and are not each front end's own.
/// Whoever reads the version fills in the defaults, so that it contains no field that only its proposer's program knows and
/// nobody has set.
pub fn version(name: &str, text: &str) -> Result<Fields, Errors> {
    let mut fields = fields(name, text)?;
    let is_written = is_written(text);
    fields.retain(|path, _| !own(path) && is_written(path));
    Ok(fields)
}

/// The functions of a file that lists functions: of each the fields that are written there, by their names under it.
pub fn functions(name: &str, text: &str) -> Result<BTreeMap<String, Fields>, Errors> {
    let fields = crate::checked(name, text, "#FunctionList", |node, _| Some(flattened(node)))?;
    let is_written = is_written(text);
    let mut functions: BTreeMap<String, Fields> = BTreeMap::new();
    for (path, value) in fields.into_iter().filter(|(path, _)| is_written(path)) {
        if let [_, function, field] = path.splitn(3, '.').collect::<Vec<_>>()[..] {
            functions
                .entry(compatibility::name(function))
                .or_default()
                .insert(field.to_string(), value);
        }
    }
    Ok(functions)
}

/// Whether a path's field is written in a text that is valid as a whole.
fn is_written(text: &str) -> impl Fn(&String) -> bool {
    let (schema, mut errors) = parse(SCHEMA_TEXT, SCHEMA);
    let (file, _) = parse(text, 1);
    let span = Span {
        source: 1,
        start: 0,
        end: text.len(),
    };
    let written = evaluate(&file, &schema, span, &mut errors);
    move |path: &String| {
        let mut node = Some(&written);
        for part in path.split('.') {
            node = match node.map(|node| &node.kind) {
                Some(Kind::Record(record)) => {
                    let field = record.fields.get(&compatibility::name(part));
                    field.map(|field| &field.node)
                }
                // A field of a reference or an alternative counts as written.
                other => return other.is_some(),
            };
        }
        node.is_some()
    }
}

/// Those fields of a version that this program's schema does not know.
pub fn unknown(fields: &Fields) -> Vec<String> {
    let (schema, mut errors) = parse(SCHEMA_TEXT, SCHEMA);
    let settings = definition("#Settings", &schema, &mut errors);
    let is_known = |path: &String| {
        let mut node = &settings;
        for part in path.split('.') {
            let Kind::Record(record) = &node.kind else {
                return false;
            };
            let field = record.fields.get(&compatibility::name(part));
            let field = field.map(|field| &field.node);
            let Some(next) = field.or(record.any.as_deref()) else {
                return false;
            };
            node = next;
        }
        !matches!(node.kind, Kind::Record(_))
    };
    let unknown = fields.keys().filter(|path| !is_known(path));
    unknown.cloned().collect()
}

/// Writes fields as the text of settings.
pub fn text(fields: &Fields) -> String {
    let mut out = String::new();
    let mut open: Vec<&str> = Vec::new();
    for (path, value) in fields {
        let mut parts: Vec<&str> = path.split('.').collect();
        let last = parts.pop().unwrap_or("");
        let same = open.iter().zip(&parts).take_while(|(a, b)| a == b).count();
        while open.len() > same {
            open.pop();
            out += &format!("{}}}\n", "    ".repeat(open.len()));
        }
        for part in &parts[same..] {
            out += &format!("{}{}: {{\n", "    ".repeat(open.len()), label(part));
            open.push(part);
        }
        out += &format!("{}{}: {value}\n", "    ".repeat(open.len()), label(last));
    }
    while open.pop().is_some() {
        out += &format!("{}}}\n", "    ".repeat(open.len()));
    }
    out
}

/// A part of a path as a label of the text.
pub fn label(part: &str) -> String {
    let name = compatibility::name(part);
    let plain = name.starts_with(|letter: char| letter.is_ascii_lowercase())
        && name
            .chars()
            .all(|letter| letter.is_ascii_lowercase() || letter.is_ascii_digit() || letter == '_')
        && !matches!(name.as_str(), "true" | "false" | "null");
    if plain {
        name
    } else {
        compatibility::quote(&name)
    }
}

/// All fields of a version, with this program's defaults filled in. Fields that the schema does not know are left out; the calls
/// that they affect have to be rejected, since their meaning is not known here.
pub fn filled(version: &Fields) -> Result<(Fields, BTreeSet<AffectedCalls>), Errors> {
    let unknown = unknown(version);
    let mut known = version.clone();
    for path in &unknown {
        known.remove(path);
    }
    let mut filled = fields("the version", &text(&known))?;
    filled.retain(|path, _| !own(path));
    let affected = unknown.iter().map(|path| AffectedCalls::of_path(path));
    Ok((filled, affected.collect()))
}

/// Checks that a version makes valid settings, for a program that knows all of its fields.
pub fn check(version: &Fields) -> Result<(), Errors> {
    let (filled, _) = filled(version)?;
    settings(&Fields::new(), &filled).map(drop)
}

/// A function of its fields, by their names under `functions.NAME`, with the schema's defaults filled in. A field that this
/// program's schema does not know is an error, since its meaning for the function's calls is not known here.
pub fn function(name: &str, fields: &Fields) -> Result<crate::Function, Errors> {
    crate::checked(
        &format!("functions.{name}"),
        &text(fields),
        "#Function",
        crate::read::one_function,
    )
}

/// The settings that a front end acts on: these rules, with the fields of its own file that are its own.
pub fn settings(own_fields: &Fields, rules: &Fields) -> Result<crate::Settings, Errors> {
    let mut fields = rules.clone();
    fields.retain(|path, _| !own(path));
    let unkeyed = keyed_without_window(&fields);
    let not_repeatable = |path| (path, Value::Text("unsafe".into()));
    fields.extend(unkeyed.into_iter().map(not_repeatable));
    // Its workers and its fleet are read with its file alone.
    let separate = |path: &str| path == "workers" || path.starts_with("fleet.");
    let own_fields = own_fields.iter();
    let own_fields = own_fields.filter(|(path, _)| own(path) && !separate(path));
    fields.extend(own_fields.map(|(path, value)| (path.clone(), value.clone())));
    if let (Some(Value::Int(number)), Some(Value::Int(siblings))) =
        (fields.get("front.me"), fields.get("front.siblings"))
    {
        // One front end more than a version counts has a smaller part for each, never a larger one.
        let siblings = Value::Int((number + 1).max(*siblings));
        fields.insert("front.siblings".into(), siblings);
    }
    crate::settings("the version in use", &text(&fields))
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

/// All fields of a record, by their paths.
fn flattened(node: &Node) -> Fields {
    let mut fields = Fields::new();
    flatten(node, String::new(), &mut fields);
    fields
}

fn flatten(node: &Node, path: String, into: &mut Fields) {
    let Kind::Record(record) = &node.kind else {
        into.extend(value(node).map(|v| (path, v)));
        return;
    };
    for (name, field) in &record.fields {
        let name = compatibility::part(name);
        let under = if path.is_empty() {
            name
        } else {
            format!("{path}.{name}")
        };
        flatten(&field.node, under, into);
    }
}

/// A value without constraints; `None`: it is none.
fn value(node: &Node) -> Option<Value> {
    match &node.kind {
        Kind::Scalar(Scalar::Bool(flag)) => Some(Value::Flag(*flag)),
        Kind::Scalar(Scalar::Int(int)) => Some(Value::Int(*int)),
        Kind::Scalar(Scalar::Duration(span)) => Some(Value::Span(*span)),
        Kind::Scalar(Scalar::Size(bytes)) => Some(Value::Bytes(*bytes)),
        Kind::Scalar(Scalar::Float(number)) => Some(Value::Number(*number)),
        Kind::Scalar(Scalar::Text(text)) => Some(Value::Text(text.clone())),
        Kind::List(items, _) => Some(Value::List(items.iter().filter_map(value).collect())),
        // A record within a list, as a worker of a list: its fields, each with its name.
        Kind::Record(record) => {
            let named = record.fields.iter().filter_map(|(name, field)| {
                let name = Value::Text(name.clone());
                Some(Value::List(vec![name, value(&field.node)?]))
            });
            Some(Value::List(named.collect()))
        }
        _ => None,
    }
}
