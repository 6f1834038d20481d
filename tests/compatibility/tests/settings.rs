//! Settings files are read as before: the names, defaults and units of all fields.
//!
//! `fixtures/settings-full.cue` has every field of the schema, `settings-least.cue` only the required ones. For each, the `.fields` file
//! has the values of all fields as `tansy_settings::agreement` returns them, written by `examples/record.rs`. The other files were written
//! by hand.

use tansy_agreement::compatibility::Value;
use tansy_compatibility_tests::fixture;
use tansy_dispatch::{FunctionSpec, WorkerRecord, WorkerState};
use tansy_settings::{
    agreement, parse_settings, parse_workers, ConfiguredWorker, FleetSettings, Settings, Voter,
};

fn read(name: &str) -> Settings {
    parse_settings(name, &fixture::text(name)).unwrap_or_else(|e| panic!("{e}"))
}

#[test]
fn the_names_values_and_defaults_of_all_fields_are_unchanged() {
    for name in ["settings-full", "settings-least"] {
        let file = format!("{name}.cue");
        let fields = agreement::parse_fields(&file, &fixture::text(&file));
        let fields = fields.unwrap_or_else(|e| panic!("{e}"));
        assert_eq!(
            agreement::to_text(&fields),
            fixture::text(&format!("{name}.fields")),
            "{name}"
        );
    }
}

/// A version has the fields that a fleet agrees on, without those of a single front end.
#[test]
fn the_version_of_a_settings_file_is_unchanged() {
    let file = "settings-full.cue";
    let version =
        agreement::parse_version(file, &fixture::text(file)).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(
        agreement::to_text(&version),
        fixture::text("settings-full.version")
    );
}

fn expected_workers() -> [ConfiguredWorker; 2] {
    let first = WorkerRecord {
        name: "w1".into(),
        kind: 1,
        cell: 2,
        zone: 0,
        state: WorkerState::Draining,
        age: Some(5_000_000),
        relative_size: 4.0,
    };
    let second = WorkerRecord {
        name: "w2".into(),
        kind: 0,
        cell: 0,
        zone: 1,
        state: WorkerState::Ready,
        age: None,
        relative_size: 1.0,
    };
    [
        ConfiguredWorker {
            record: first,
            address: ([127, 0, 0, 1], 7101).into(),
            incarnation: 3,
        },
        ConfiguredWorker {
            record: second,
            address: "[::1]:7102".parse().expect("an address"),
            incarnation: 0,
        },
    ]
}

/// The functions of `settings-full.cue`.
fn expected_functions() -> [FunctionSpec; 2] {
    [
        FunctionSpec {
            name: "price-1".into(),
            class: 0,
            lanes: 4,
            memory_mb: 1500.0,
            load_time: Some(900_000),
            versions: vec!["2".into(), "3".into()],
        },
        FunctionSpec {
            name: "post".into(),
            class: 1,
            lanes: 1,
            memory_mb: 209.7152,
            load_time: None,
            versions: vec!["1".into()],
        },
    ]
}

#[test]
fn a_settings_file_gives_the_same_settings() {
    let all = read("settings-full.cue");
    let fleet = FleetSettings {
        name: "pool".into(),
        node_name: "front-1".into(),
        listen: ([127, 0, 0, 1], 7001).into(),
        voters: vec![Voter {
            name: "front-1".into(),
            address: ([127, 0, 0, 1], 7001).into(),
        }],
        state_file: Some("/var/lib/tansy/front-1.redb".into()),
        max_divergence: 3_000_000,
        session: 7_200_000_000,
        clock_drift_ppm: 500,
    };
    assert_eq!(all.fleet, Some(fleet));
    assert_eq!(all.workers, expected_workers());
    let gateway = &all.gateway;
    assert_eq!((gateway.listen.port(), gateway.http.port()), (9001, 9000));
    assert_eq!(
        (gateway.drain_timeout, gateway.preface_timeout),
        (11_000_000, 6_000_000)
    );
    assert_eq!(
        (gateway.max_connections, gateway.max_streams),
        (20002, 10003)
    );
    assert_eq!(
        (gateway.max_message_bytes, gateway.max_header_bytes),
        (5 << 20, 17 << 10)
    );
    assert_eq!(
        (gateway.stream_window, gateway.worker_window),
        (65 << 10, 257 << 10)
    );
    let keys = [&gateway.class_key, &gateway.tenant_key, &gateway.work_key];
    assert_eq!(keys, ["x-class", "x-tenant", "x-work"]);
    let front = &all.dispatch;
    assert_eq!(front.classes, ["overlay", "post", "keyed.1"]);
    assert_eq!(
        (&front.zones, &front.tenants),
        (&vec!["a".into(), "b".into()], &vec!["t".into()])
    );
    assert_eq!((front.max_call_time, front.seed), (7_200_000_000, 7));
    assert_eq!(front.functions, expected_functions());
}

#[test]
fn a_worker_list_is_read_as_before() {
    let zones = ["a".to_string(), "b".to_string()];
    let list = parse_workers("workers.cue", &fixture::text("workers.cue"), &zones, 1);
    assert_eq!(list.unwrap_or_else(|e| panic!("{e}")), expected_workers());
}

#[test]
fn a_functions_file_is_read_as_before() {
    let text = |all: &[&str]| Value::List(all.iter().map(|t| Value::Text(t.to_string())).collect());
    let file = "functions.cue";
    let all =
        agreement::parse_functions(file, &fixture::text(file)).unwrap_or_else(|e| panic!("{e}"));
    let first = [
        ("class", Value::Text("overlay".into())),
        ("lanes", Value::Int(4)),
        ("load_time", Value::Span(900_000)),
        ("memory", Value::Bytes(1_500_000_000)),
        ("versions", text(&["2", "3"])),
    ];
    let second = [
        ("class", Value::Text("post".into())),
        ("memory", Value::Bytes(200 << 20)),
    ];
    let named = |(name, value): (&str, Value)| (name.to_string(), value);
    let expected = [
        ("price-1".to_string(), first.map(named).into()),
        ("post".to_string(), second.map(named).into()),
    ];
    assert_eq!(all, expected.into());
}
