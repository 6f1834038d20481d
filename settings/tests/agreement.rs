//! Tests that every field of the schema has a compatibility rule, and that the rules prevent contradictions between front ends.

use std::collections::BTreeSet;
use tansy_agreement::compatibility::{
    changed_fields, contradictions, joint_rules, rules_after_expiry, AffectedCalls, Compatibility,
    EffectiveRules, Fields, Value,
};
use tansy_settings::agreement::{
    compatibility_schema, effective_settings, parse_fields, parse_version, read_function, to_text,
    unknown_fields, with_defaults,
};

/// A text that sets every field without a default, including the optional ones.
const FULL: &str = r#"
front: {zone: "a"}
zones: ["a"]
classes: chat: {aim: 1s, deadline: 2s, effect: "keyed", group: "zone", window: 20s}
tenants: acme: {quota_per_s: 10}
functions: f: {class: "chat", memory: 1GB, load_time: 1s}
worker: ration: {free: 3, part: 0.5, period: 10s}
workers: [{name: "w", address: "127.0.0.1:1", started: 5s}]
fleet: {name: "north", seats: [{name: "a", address: "127.0.0.1:7001"}]}
"#;

fn fields_of(text: &str) -> Fields {
    parse_fields("t.cue", text).unwrap_or_else(|error| panic!("{error}"))
}

fn full_with(from: &str, to: &str) -> Fields {
    assert!(FULL.contains(from), "{from}");
    fields_of(&FULL.replace(from, to))
}

/// The field names in the schema's text, each with the name of its definition.
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
fn every_field_of_the_schema_has_a_compatibility_rule() {
    let full = fields_of(FULL);
    let at = |record: &str| match record {
        "Class" => Some("classes.chat."),
        "Tenant" => Some("tenants.acme."),
        "Function" => Some("functions.f."),
        "Ration" => Some("worker.ration."),
        "Front" => Some("front."),
        "Workers" => Some("worker."),
        "Prices" => Some("prices."),
        "Fleet" => Some("fleet."),
        "Settings" => Some(""),
        _ => None,
    };
    let mut found = BTreeSet::new();
    for field in schema_fields() {
        let (record, name) = field.split_once('.').expect("a record's field");
        let Some(under) = at(record) else { continue };
        let path = format!("{under}{name}");
        if full.keys().any(|k| k.starts_with(&format!("{path}."))) || full.contains_key(&path) {
            found.insert(path);
        } else {
            assert!(
                matches!(path.as_str(), "classes" | "tenants" | "functions"),
                "{path} is not in the full text"
            );
        }
    }
    assert!(found.len() > 60, "{} fields", found.len());
    // A field that no pattern matches is strict. Only these fields are meant to be strict.
    let strict: Vec<&String> = full
        .keys()
        .filter(|p| *compatibility_schema().compatibility(p) == Compatibility::Strict)
        .collect();
    assert_eq!(
        strict,
        [
            "classes.chat.group",
            "front.class_key",
            "front.tenant_key",
            "functions.f.class"
        ]
    );
}

#[test]
fn of_two_versions_the_stricter_applies_and_only_conflicting_calls_are_rejected() {
    let old = fields_of(FULL);
    let new = full_with(
        "group: \"zone\", window: 20s",
        "group: \"cell\", window: 30s",
    );
    let rules = joint_rules(&compatibility_schema(), &old, &new);
    assert_eq!(rules.fields["classes.chat.window"], Value::Span(20_000_000));
    assert_eq!(
        rules.rejected,
        BTreeSet::from([AffectedCalls::Class("chat".into())])
    );
    let changed: Vec<String> = changed_fields(&compatibility_schema(), &old, &new)
        .into_iter()
        .map(|c| c.path)
        .collect();
    assert_eq!(changed, ["classes.chat.group", "classes.chat.window"]);
    assert!(
        !contradictions(
            &compatibility_schema(),
            &old,
            &EffectiveRules::from_fields(&new)
        )
        .is_empty(),
        "the versions contradict each other"
    );
}

#[test]
fn rules_after_expiry_contradict_no_other_version() {
    let known = fields_of(&FULL.replace("worker: ration: {free: 3, part: 0.5, period: 10s}", ""));
    let rules = rules_after_expiry(&compatibility_schema(), &known);
    for in_force in [
        fields_of(FULL),
        full_with("effect: \"keyed\"", "effect: \"unsafe\""),
        full_with("quota_per_s: 10", "quota_per_s: 1"),
        full_with("class: \"chat\"", "class: \"post\""),
        full_with(
            "front: {zone: \"a\"}",
            "front: {zone: \"a\", siblings: 400}",
        ),
        full_with("acme", "other"),
        full_with("free: 3", "free: 0"),
    ] {
        assert_eq!(
            contradictions(&compatibility_schema(), &in_force, &rules),
            vec![]
        );
    }
    assert_eq!(
        rules.fields["worker.may_order"],
        Value::Flag(false),
        "without a lease it sends no load requests"
    );
}

#[test]
fn a_version_contains_the_written_fields_without_defaults_and_own_fields() {
    let file = r#"
front: {siblings: 3, me: 1, listen: "127.0.0.1:9"}
classes: "a.b%": {aim: 1s, deadline: 2s}
functions: "f \"g\"": {class: "a.b%", memory: 1GB}
worker: cold_from: 0.25
"#;
    let version_fields = parse_version("t.cue", file).expect("a valid text");
    let paths: Vec<&str> = version_fields.keys().map(String::as_str).collect();
    let class = "classes.a%2eb%25";
    let expected = [
        &format!("{class}.aim"),
        &format!("{class}.deadline"),
        "front.siblings",
        "functions.f \"g\".class",
        "functions.f \"g\".memory",
        "worker.cold_from",
    ];
    assert_eq!(paths, expected);
    assert_eq!(
        AffectedCalls::of_path(paths[0]),
        AffectedCalls::Class("a.b%".into())
    );
    // The version and the fields with defaults survive the conversion to text and back.
    assert_eq!(
        parse_version("t.cue", &to_text(&version_fields)).expect("a valid text"),
        version_fields
    );
    let (filled_fields, affected) = with_defaults(&version_fields).expect("a valid version");
    assert!(affected.is_empty());
    assert_eq!(filled_fields["worker.max_attempts"], Value::Int(4));
    assert!(!filled_fields.contains_key("front.me"));
    assert_eq!(
        parse_fields("t.cue", &to_text(&filled_fields))
            .map(|mut f| f.remove("front.siblings"))
            .ok(),
        Some(Some(Value::Int(3)))
    );
}

#[test]
fn unknown_fields_of_a_version_reject_only_the_affected_calls() {
    let mut version_fields = parse_version("t.cue", FULL).expect("a valid text");
    assert_eq!(unknown_fields(&version_fields), Vec::<String>::new());
    version_fields.insert("classes.chat.sorrow".into(), Value::Int(3));
    version_fields.insert("worker.mood".into(), Value::Text("blue".into()));
    let (filled_fields, affected) =
        with_defaults(&version_fields).expect("the known fields are valid");
    assert_eq!(
        affected,
        BTreeSet::from([AffectedCalls::All, AffectedCalls::Class("chat".into())])
    );
    assert!(!filled_fields.contains_key("worker.mood"));
}

#[test]
fn the_rules_of_every_phase_are_valid_settings() {
    let own = fields_of(&FULL.replace(
        "front: {zone: \"a\"}",
        "front: {zone: \"a\", me: 2, siblings: 5}",
    ));
    let now = fields_of(FULL);
    let safe = full_with(
        "effect: \"keyed\", group: \"zone\", window: 20s",
        "effect: \"safe\"",
    );
    for rules in [
        EffectiveRules::from_fields(&now),
        joint_rules(&compatibility_schema(), &now, &safe),
        joint_rules(&compatibility_schema(), &safe, &now),
        rules_after_expiry(&compatibility_schema(), &now),
        rules_after_expiry(&compatibility_schema(), &safe),
    ] {
        let effective =
            effective_settings(&own, &rules.fields).unwrap_or_else(|error| panic!("{error}"));
        assert!(
            effective.dispatch.settings.front_ends > effective.dispatch.settings.front_end_index
        );
        assert_eq!(
            effective.dispatch.settings.front_end_index, 2,
            "each front end has its own index"
        );
    }
    // A class that is keyed in one version and safe in the other has no deduplication window, so its calls must not be retried.
    let both = effective_settings(
        &own,
        &joint_rules(&compatibility_schema(), &now, &safe).fields,
    )
    .expect("valid settings");
    assert_eq!(
        both.dispatch.settings.classes[0].effect,
        tansyrouter::Effect::Unsafe
    );
}

/// The fields of a function, with names relative to it.
fn fields_by_name(fields: &[(&str, Value)]) -> Fields {
    fields
        .iter()
        .map(|(name, v)| (name.to_string(), v.clone()))
        .collect()
}

#[test]
fn a_single_function_is_read_as_in_a_settings_file() {
    let text = |t: &str| Value::Text(t.into());
    let least = fields_by_name(&[
        ("class", text("chat")),
        ("memory", Value::Bytes(250_000_000)),
    ]);
    let mut most = least.clone();
    most.extend(fields_by_name(&[
        ("lanes", Value::Int(7)),
        ("load_time", Value::Span(1_500_000)),
        ("versions", Value::List(vec![text("2"), text("3")])),
    ]));
    for fields in [least, most] {
        let whole = fields
            .iter()
            .map(|(name, v)| (format!("functions.f.{name}"), v.clone()));
        let base = fields_of(FULL)
            .into_iter()
            .filter(|(p, _)| !p.starts_with("functions."));
        let whole = effective_settings(&Fields::new(), &base.chain(whole).collect())
            .unwrap_or_else(|error| panic!("{error}"));
        let (spec, function) = (
            &whole.dispatch.functions[0],
            read_function("f", &fields).unwrap_or_else(|error| panic!("{error}")),
        );
        assert_eq!(whole.dispatch.classes[spec.class], function.class);
        assert_eq!(
            (spec.lanes, spec.memory_mb, spec.load_time),
            (function.lanes, function.memory_mb, function.load_time)
        );
        assert_eq!(spec.versions, function.versions);
    }
}

#[test]
fn an_invalid_single_function_is_reported_with_the_expected_value() {
    let valid = fields_by_name(&[
        ("class", Value::Text("chat".into())),
        ("memory", Value::Bytes(1_000)),
    ]);
    assert!(read_function("f", &valid).is_ok());
    let cases: [(&str, Option<Value>, &str); 7] = [
        ("memory", None, "memory"),
        ("class", None, "class"),
        (
            "class",
            Some(Value::Text(String::new())),
            "expected the name of a class",
        ),
        ("lanes", Some(Value::Int(0)), "lanes"),
        ("lanes", Some(Value::Text("many".into())), "lanes"),
        ("load_time", Some(Value::Span(0)), "load_time"),
        ("colour", Some(Value::Text("red".into())), "colour"),
    ];
    for (field, value, expected) in cases {
        let mut invalid = valid.clone();
        invalid.remove(field);
        invalid.extend(value.map(|v| (field.to_string(), v)));
        let error = read_function("f", &invalid).expect_err(field).to_string();
        assert!(
            error.contains("functions.f") && error.contains(expected),
            "{field}: {error}"
        );
    }
}
