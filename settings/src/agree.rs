//! How each field of the schema agrees over a fleet, and a text's fields in the form that agreement works on.
//!
//! `tests/agree.rs` goes through the schema and finds every field of it here.

use crate::value::{definition, evaluate, Kind as Sort, Node, Scalar, SCHEMA};
use crate::{Errors, SCHEMA_TEXT};
use std::collections::{BTreeMap, BTreeSet};
use tansy_agreement::compatibility::{
    self, AffectedCalls, Compatibility, ExpiredLeasePolicy, Fields, Restrictiveness, Schema, Value,
};
use tansy_syntax::{parse, Span};

/// The least share or multiple that the schema takes, and a time longer than any.
const LEAST: f64 = 0.000001;
const LONG: i64 = 1_000_000_000_000_000;

fn least(v: Value) -> Compatibility {
    Compatibility::Joint(Restrictiveness::Smallest, ExpiredLeasePolicy::Strictest(v))
}

fn most(v: Value) -> Compatibility {
    Compatibility::Joint(Restrictiveness::Largest, ExpiredLeasePolicy::Strictest(v))
}

/// The kinds of all fields. Fields that are a front end's own are free: `front.me`, its addresses, what it holds.
pub fn agreement() -> Schema {
    use Compatibility::{Free, Strict};
    let effects = Restrictiveness::Ranked(&["unsafe", "keyed", "safe"]);
    Schema::new([
        // What a call is counted as must be one thing over all.
        ("front.class_key", Strict),
        ("front.tenant_key", Strict),
        // Budgets are divided by it: the larger number leaves the smaller parts.
        ("front.siblings", most(Value::Int(100_000))),
        ("front.*", Free),
        ("zones", Free),
        // What a repeat may do.
        (
            "classes.*.effect",
            Compatibility::Joint(
                effects,
                ExpiredLeasePolicy::Strictest(Value::Text("unsafe".into())),
            ),
        ),
        ("classes.*.window", least(Value::Span(0))),
        ("classes.*.group", Strict),
        ("classes.*.deadline", Free),
        ("classes.*.aim", Free),
        ("classes.*.aim_stretch", Free),
        ("classes.*.worth", Free),
        ("classes.*.late_worth", Free),
        ("classes.*.streamed", Free),
        ("tenants.*.quota_per_s", least(Value::Number(LEAST))),
        ("tenants.*.fraction", least(Value::Number(0.0))),
        ("over_quota_worth", Free),
        ("worth_by_work", Free),
        // A function's class says what a repeat of its calls may do.
        ("functions.*.class", Strict),
        ("functions.*.lanes", least(Value::Int(1))),
        ("functions.*.memory", Free),
        ("functions.*.load_time", Free),
        ("functions.*.versions", Free),
        // What workers bear, by all front ends together.
        ("worker.max_attempts", least(Value::Int(1))),
        ("worker.may_order", least(Value::Flag(false))),
        ("worker.may_probe", least(Value::Flag(false))),
        ("worker.cold_from", least(Value::Number(LEAST))),
        ("worker.warm_up", most(Value::Span(LONG))),
        ("worker.fall_multiple", least(Value::Number(LEAST))),
        ("worker.fall_after", least(Value::Span(1))),
        ("worker.drain_grace", least(Value::Span(0))),
        ("worker.ration.free", least(Value::Number(0.0))),
        ("worker.ration.part", least(Value::Number(0.0))),
        ("worker.ration.period", most(Value::Span(LONG))),
        ("worker.*", Free),
        ("prices.*", Free),
        // Lists of workers are versioned by themselves.
        ("workers", Free),
        // Who is in the fleet is each one's own.
        ("fleet.*", Free),
    ])
}

/// Whether a field is each front end's own: versions do not have it, and no change of it is agreed on.
pub fn own(path: &str) -> bool {
    let front = path.strip_prefix("front.");
    let of_front = ["listen", "http", "me", "zone", "seed", "tick"];
    path == "workers"
        || path == "zones"
        || path.starts_with("fleet.")
        || front.is_some_and(|f| of_front.contains(&f))
}

/// Whether a front end takes a change of this field up only when it starts: sizes of what it made at its start.
pub fn at_start(path: &str) -> bool {
    let of_front = [
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
            .is_some_and(|f| of_front.contains(&f))
}

/// A text's fields by their paths, with the schema's defaults filled in; all errors at once.
pub fn fields(name: &str, text: &str) -> Result<Fields, Errors> {
    crate::checked(name, text, "#Settings", |node, _| Some(flat(node)))
}

/// What a version holds of a text that is right as a whole: the fields that stand in it and are not each front end's own.
/// Defaults are left to whoever reads it, so that a version says nothing of fields that its proposer's program alone knows
/// and nobody has set.
pub fn version(name: &str, text: &str) -> Result<Fields, Errors> {
    let mut fields = fields(name, text)?;
    let stands = stands(text);
    fields.retain(|path, _| !own(path) && stands(path));
    Ok(fields)
}

/// The functions of a file of theirs: of each the fields that stand there, by their names under it.
pub fn functions(name: &str, text: &str) -> Result<BTreeMap<String, Fields>, Errors> {
    let fields = crate::checked(name, text, "#FunctionList", |node, _| Some(flat(node)))?;
    let stands = stands(text);
    let mut all: BTreeMap<String, Fields> = BTreeMap::new();
    for (path, v) in fields.into_iter().filter(|(path, _)| stands(path)) {
        if let [_, function, field] = path.splitn(3, '.').collect::<Vec<_>>()[..] {
            all.entry(compatibility::name(function))
                .or_default()
                .insert(field.to_string(), v);
        }
    }
    Ok(all)
}

/// Whether a path's field stands in a text that is right as a whole.
fn stands(text: &str) -> impl Fn(&String) -> bool {
    let (schema, mut list) = parse(SCHEMA_TEXT, SCHEMA);
    let (file, _) = parse(text, 1);
    let written = evaluate(
        &file,
        &schema,
        Span {
            source: 1,
            start: 0,
            end: text.len(),
        },
        &mut list,
    );
    move |path: &String| {
        let mut node = Some(&written);
        for part in path.split('.') {
            node = match node.map(|n| &n.kind) {
                Some(Sort::Record(r)) => r.fields.get(&compatibility::name(part)).map(|f| &f.node),
                // What is written by a reference or an alternative is taken to stand there.
                other => return other.is_some(),
            };
        }
        node.is_some()
    }
}

/// Those of a version's fields that this program's schema does not know.
pub fn unknown(fields: &Fields) -> Vec<String> {
    let (schema, mut list) = parse(SCHEMA_TEXT, SCHEMA);
    let all = definition("#Settings", &schema, &mut list);
    let knows = |path: &String| {
        let mut node = &all;
        for part in path.split('.') {
            let Sort::Record(r) = &node.kind else {
                return false;
            };
            let any = r.any.as_deref();
            let Some(next) = r
                .fields
                .get(&compatibility::name(part))
                .map(|f| &f.node)
                .or(any)
            else {
                return false;
            };
            node = next;
        }
        !matches!(node.kind, Sort::Record(_))
    };
    fields.keys().filter(|p| !knows(p)).cloned().collect()
}

/// The text of these fields.
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

/// A part of a path as a text writes it before its colon.
pub fn label(part: &str) -> String {
    let name = compatibility::name(part);
    let plain = name.starts_with(|c: char| c.is_ascii_lowercase())
        && name
            .chars()
            .all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_')
        && !matches!(name.as_str(), "true" | "false" | "null");
    if plain {
        name
    } else {
        compatibility::quote(&name)
    }
}

/// All fields of a version, with this program's defaults filled in. What the schema does not know is left out; the calls
/// that it touches are to be refused, since nobody here can say what it would ask of them.
pub fn filled(version: &Fields) -> Result<(Fields, BTreeSet<AffectedCalls>), Errors> {
    let strange = unknown(version);
    let mut known = version.clone();
    strange.iter().for_each(|p| drop(known.remove(p)));
    let mut all = fields("the version", &text(&known))?;
    all.retain(|path, _| !own(path));
    Ok((
        all,
        strange.iter().map(|p| AffectedCalls::of_path(p)).collect(),
    ))
}

/// Whether a version makes settings for whoever reads it, of a program that knows all of its fields.
pub fn check(version: &Fields) -> Result<(), Errors> {
    let (filled, _) = filled(version)?;
    settings(&Fields::new(), &filled).map(drop)
}

/// What these fields, by their names under `functions.NAME`, say of a function; the schema's defaults are filled in. A field
/// that this program's schema does not know is an error: nobody here can say what it asks of the function's calls.
pub fn function(name: &str, fields: &Fields) -> Result<crate::Function, Errors> {
    crate::checked(
        &format!("functions.{name}"),
        &text(fields),
        "#Function",
        crate::read::one_function,
    )
}

/// The settings by which a front end acts: these rules, with what is its own from its file's fields.
pub fn settings(own_fields: &Fields, rules: &Fields) -> Result<crate::Settings, Errors> {
    let mut all: Fields = rules
        .iter()
        .filter(|(p, _)| !own(p))
        .map(|(p, v)| (p.clone(), v.clone()))
        .collect();
    // The stricter window of a keyed and another class is none: its workers drop no repeat.
    let unkeyed = all.iter().filter(|(p, v)| {
        let keyed = p.ends_with(".effect") && **v == Value::Text("keyed".into());
        let window = keyed
            .then(|| p.replace(".effect", ".window"))
            .and_then(|w| all.get(&w));
        keyed && window.is_none_or(|w| *w <= Value::Span(0))
    });
    let unkeyed: Vec<String> = unkeyed.map(|(p, _)| p.clone()).collect();
    all.extend(
        unkeyed
            .into_iter()
            .map(|p| (p, Value::Text("unsafe".into()))),
    );
    // Its workers and its fleet are read with its file alone.
    let apart = |p: &str| p == "workers" || p.starts_with("fleet.");
    let kept = own_fields.iter().filter(|(p, _)| own(p) && !apart(p));
    all.extend(kept.map(|(p, v)| (p.clone(), v.clone())));
    if let (Some(Value::Int(me)), Some(Value::Int(n))) =
        (all.get("front.me"), all.get("front.siblings"))
    {
        // One more than a version counts is a smaller part for each, never a larger one.
        let least = Value::Int((me + 1).max(*n));
        all.insert("front.siblings".into(), least);
    }
    crate::settings("the version in use", &text(&all))
}

fn flat(node: &Node) -> Fields {
    let mut fields = Fields::new();
    flatten(node, String::new(), &mut fields);
    fields
}

fn flatten(node: &Node, path: String, into: &mut Fields) {
    let Sort::Record(record) = &node.kind else {
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

fn value(node: &Node) -> Option<Value> {
    match &node.kind {
        Sort::Scalar(Scalar::Bool(b)) => Some(Value::Flag(*b)),
        Sort::Scalar(Scalar::Int(n)) => Some(Value::Int(*n)),
        Sort::Scalar(Scalar::Duration(n)) => Some(Value::Span(*n)),
        Sort::Scalar(Scalar::Size(n)) => Some(Value::Bytes(*n)),
        Sort::Scalar(Scalar::Float(x)) => Some(Value::Number(*x)),
        Sort::Scalar(Scalar::Text(t)) => Some(Value::Text(t.clone())),
        Sort::List(all, _) => Some(Value::List(all.iter().filter_map(value).collect())),
        // A record within a list, as a line of a list of workers: its fields, each with its name.
        Sort::Record(r) => {
            let named = r.fields.iter().filter_map(|(n, f)| {
                Some(Value::List(vec![Value::Text(n.clone()), value(&f.node)?]))
            });
            Some(Value::List(named.collect()))
        }
        _ => None,
    }
}
