//! Tests of which settings files are accepted, and of how errors are reported.

use tansy_dispatch::WorkerState;
use tansy_settings::{parse_settings, parse_workers};
use tansyrouter::{DedupGroup, Effect};

const FULL: &str = r#"
// Settings with references, definitions and all kinds of effects.
#Quick: {aim: 250ms, deadline: 1s}
front: {me: 1, siblings: 3, zone: "b"}
zones: ["a", "b"]
classes: {
    overlay: #Quick
    post: {aim: #Quick.aim, deadline: 3s, effect: "unsafe", worth: 2.5}
    keyed: #Quick & {effect: "keyed", group: "zone", window: 30s}
}
functions: {
    "price-1": {class: "overlay", lanes: 4, memory: 1.5GB, load_time: 900ms}
    post: {class: "post", memory: 200MiB}
}
worker: ration: {free: 3, part: 0.5, period: 10s}
"#;

#[test]
fn a_full_file_is_read() {
    let all = parse_settings("t.cue", FULL).unwrap_or_else(|error| panic!("{error}"));
    let router = &all.dispatch.settings;
    assert_eq!(
        (router.front_end_index, router.front_ends, router.zone),
        (1, 3, 1)
    );
    assert_eq!(all.dispatch.classes, ["overlay", "post", "keyed"]);
    assert_eq!(
        (
            router.classes[0].latency_objective,
            router.classes[0].deadline
        ),
        (250_000, 1_000_000)
    );
    assert_eq!(
        (
            router.classes[1].latency_objective,
            router.classes[1].effect
        ),
        (250_000, Effect::Unsafe)
    );
    assert_eq!(
        router.classes[2].effect,
        Effect::Keyed {
            group: DedupGroup::Zone,
            window: 30_000_000
        }
    );
    let function = &all.dispatch.functions[0];
    assert_eq!(
        (
            function.name.as_str(),
            function.class,
            function.lanes,
            function.memory_mb,
            function.load_time
        ),
        ("price-1", 0, 4, 1500.0, Some(900_000))
    );
    assert_eq!(all.dispatch.functions[1].load_time, None);
    assert_eq!(router.load_budget.unwrap().period, 10_000_000);
    assert_eq!(all.gateway.listen.port(), 8001);
}

const MINIMAL: &str =
    "classes: {c: {aim: 1s, deadline: 2s}}\nfunctions: {f: {class: \"c\", memory: 1MB}}\n";

fn errors(extra: &str) -> Vec<String> {
    match parse_settings("t.cue", &format!("{MINIMAL}{extra}")) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.to_string().lines().map(str::to_string).collect(),
    }
}

#[test]
fn a_minimal_file_is_valid() {
    assert_eq!(errors(""), [""; 0]);
}

#[test]
fn each_error_names_its_place_its_path_and_the_expected_value() {
    let cases = [
        ("front: {conections: 5}", "t.cue:3:9: front.conections: unknown field `conections`; did you mean `connections`?"),
        ("front: {drain: \"10s\"}", "t.cue:3:16: front.drain: the string \"10s\" does not fit; expected a duration such as 750ms, at least 0s"),
        ("front: {streams: 0}", "t.cue:3:18: front.streams: 0 does not fit; expected a whole number, at least 1 and at most 1000000"),
        ("worker: {when_absent: \"wait\"}", "t.cue:3:23: worker.when_absent: the string \"wait\" does not fit; expected \"load\" or \"miss\""),
        ("tenants: {t: {}}", "t.cue:3:14: tenants.t.quota_per_s: the value is missing; expected a number, at least 0.000001"),
        ("front: {zone: \"x\"}", "t.cue:3:15: front.zone: \"x\" does not exist; expected one of local"),
        ("front: {listen: \"8001\"}", "t.cue:3:17: front.listen: \"8001\" is not an address; expected an address and a port, for example \"127.0.0.1:8001\" or \"[::1]:8001\""),
        ("front: {drain: 10}", "t.cue:3:16: front.drain: 10 does not fit; expected a duration such as 750ms, at least 0s"),
        ("front: {me: 1}", "t.cue:3:13: front.me: front end 1 of 1; expected a number below siblings, from 0"),
        ("front: {drain: soon}", "t.cue:3:16: unknown name `soon`; write a string as \"soon\""),
        ("front: {drain: }", "t.cue:3:16: unexpected `}`; expected one of: "),
        ("zones: [\"a\", 5]", "t.cue:3:14: zones[1]: 5 does not fit; expected a string"),
        ("front: 5", "t.cue:3:8: front: 5 does not fit; expected a record in { }"),
        ("a: a", "t.cue:3:4: `a` refers to itself"),
    ];
    for (extra, expected) in cases {
        let got = errors(extra);
        assert!(
            got.iter().any(|line| line.starts_with(expected)),
            "{extra}\n expected {expected}\n got {got:#?}"
        );
    }
}

#[test]
fn all_errors_are_reported_at_once_in_order() {
    let text = "classes: {c: {aim: 3s, deadline: 2s, effect: \"keyed\"}}\nfunctions: {f: {class: \"d\", memory: 0B}}\nfront: {me: -1, siblings: \"two\"}";
    let errors = parse_settings("t.cue", text).unwrap_err();
    assert_eq!(errors.list.len(), 3, "{errors}");
    let errors = parse_settings(
        "t.cue",
        &text
            .replace("0B", "1B")
            .replace("me: -1, siblings: \"two\"", ""),
    )
    .unwrap_err();
    assert_eq!(
        errors.list.len(),
        3,
        "errors in constraints between fields: {errors}"
    );
}

#[test]
fn no_text_causes_a_panic() {
    let characters: Vec<char> = "{}[]:,?*&|.\"#a1 \n>=ms/\\".chars().collect();
    let mut seed = 7u64;
    for _ in 0..600 {
        let text: String = (0..24)
            .map(|_| {
                seed = seed
                    .wrapping_mul(6364136223846793005)
                    .wrapping_add(1442695040888963407);
                characters[(seed >> 33) as usize % characters.len()]
            })
            .collect();
        let _ = parse_settings("t.cue", &text);
    }
}

#[test]
fn a_list_of_workers_is_read_with_the_given_zones() {
    let zones = ["a".to_string(), "b".to_string()];
    let text =
        "workers: [\n {name: \"w1\", address: \"127.0.0.1:9001\", zone: \"b\", started: 2s}\n \
                {name: \"w2\", address: \"[::1]:9002\", state: \"draining\"}\n]";
    let list = parse_workers("w.cue", text, &zones, 0).unwrap_or_else(|error| panic!("{error}"));
    assert_eq!(
        (
            list[0].record.zone,
            list[0].record.age,
            list[0].record.state
        ),
        (1, Some(2_000_000), WorkerState::Ready)
    );
    assert_eq!(
        (
            list[1].record.zone,
            list[1].record.age,
            list[1].record.state
        ),
        (0, None, WorkerState::Draining)
    );
    let twice = text.replace("w2", "w1").replace("\"b\"", "\"c\"");
    let errors = parse_workers("w.cue", &twice, &zones, 0).unwrap_err();
    assert_eq!(errors.list.len(), 2, "{errors}");
}
