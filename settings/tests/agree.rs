//! Every field of the schema says how it agrees, and what it says is what two front ends would need.

use std::collections::BTreeSet;
use tansy_agree::rule::{changes, contradictions, joint, lapsed, Fields, Kind, Rules, Touch, Value};
use tansy_settings::agree::{agreement, fields};

/// A text in which every field of the schema stands, optional ones among them.
const FULL: &str = r#"
front: {zone: "a"}
zones: ["a"]
classes: chat: {aim: 1s, deadline: 2s, effect: "keyed", group: "zone", window: 20s}
tenants: acme: {quota_per_s: 10}
functions: f: {class: "chat", memory: 1GB, load_time: 1s}
worker: ration: {free: 3, part: 0.5, period: 10s}
workers: [{name: "w", address: "127.0.0.1:1", started: 5s}]
"#;

fn of(text: &str) -> Fields {
    fields("t.cue", text).unwrap_or_else(|e| panic!("{e}"))
}

fn with(from: &str, to: &str) -> Fields {
    assert!(FULL.contains(from), "{from}");
    of(&FULL.replace(from, to))
}

/// The names in the schema's text that stand before a colon, with the record that they stand in.
fn schema_fields() -> Vec<String> {
    let mut all = Vec::new();
    let mut record = String::new();
    for line in include_str!("../src/schema.cue").lines() {
        let code = line.split("//").next().unwrap_or("").trim();
        if let Some(name) = code.strip_prefix('#').and_then(|c| c.strip_suffix(": {")) {
            record = name.to_string();
        } else if let Some((name, _)) = code.split_once(':').filter(|_| !code.starts_with('#')) {
            all.push(format!("{record}.{}", name.trim_end_matches('?')));
        }
    }
    all
}

#[test]
fn every_field_of_the_schema_says_how_it_agrees() {
    let full = of(FULL);
    let at = |record: &str| match record {
        "Class" => Some("classes.chat."),
        "Tenant" => Some("tenants.acme."),
        "Function" => Some("functions.f."),
        "Ration" => Some("worker.ration."),
        "Front" => Some("front."),
        "Workers" => Some("worker."),
        "Prices" => Some("prices."),
        "Settings" => Some(""),
        _ => None,
    };
    let mut seen = BTreeSet::new();
    for field in schema_fields() {
        let (record, name) = field.split_once('.').expect("a record's field");
        let Some(under) = at(record) else { continue };
        let path = format!("{under}{name}");
        if full.keys().any(|k| k.starts_with(&format!("{path}."))) || full.contains_key(&path) {
            seen.insert(path);
        } else {
            assert!(
                matches!(path.as_str(), "classes" | "tenants" | "functions"),
                "{path} is not in the full text"
            );
        }
    }
    assert!(seen.len() > 60, "{} fields", seen.len());
    // What no pattern names would be strict for every call. These alone are meant to be.
    let strict: Vec<&String> = full.keys().filter(|p| *agreement().kind(p) == Kind::Strict).collect();
    assert_eq!(strict, ["classes.chat.group", "front.class_key", "front.tenant_key", "functions.f.class"]);
}

#[test]
fn of_two_versions_the_stricter_holds_and_contested_calls_alone_stop() {
    let old = of(FULL);
    let new = with("group: \"zone\", window: 20s", "group: \"cell\", window: 30s");
    let rules = joint(&agreement(), &old, &new);
    assert_eq!(rules.fields["classes.chat.window"], Value::Int(20_000_000));
    assert_eq!(rules.refused, BTreeSet::from([Touch::Class("chat".into())]));
    let changed: Vec<String> = changes(&agreement(), &old, &new).into_iter().map(|c| c.path).collect();
    assert_eq!(changed, ["classes.chat.group", "classes.chat.window"]);
    assert!(!contradictions(&agreement(), &old, &Rules::of(&new)).is_empty(), "side by side they contradict");
}

#[test]
fn what_a_front_end_without_a_lease_does_contradicts_none_of_these() {
    let known = of(&FULL.replace("worker: ration: {free: 3, part: 0.5, period: 10s}", ""));
    let rules = lapsed(&agreement(), &known);
    for force in [
        of(FULL),
        with("effect: \"keyed\"", "effect: \"unsafe\""),
        with("quota_per_s: 10", "quota_per_s: 1"),
        with("class: \"chat\"", "class: \"post\""),
        with("front: {zone: \"a\"}", "front: {zone: \"a\", siblings: 400}"),
        with("acme", "other"),
        with("free: 3", "free: 0"),
    ] {
        assert_eq!(contradictions(&agreement(), &force, &rules), vec![]);
    }
    assert_eq!(rules.fields["worker.may_order"], Value::Flag(false), "it loads nothing");
}
