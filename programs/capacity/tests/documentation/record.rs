//! `record` adds each run once with its original text, and adds nothing if any line is invalid.

use crate::support::{docs, messages, record_runs, run_line};
use std::fs;
use tansy_capacity::runs::{parse_runs, RunStore};

#[test]
fn duplicate_runs_are_ignored_and_original_text_is_kept() {
    let docs = docs("twice");
    assert_eq!(
        record_runs(&docs).as_deref(),
        Ok("0 runs added, 15 recorded")
    );
    let text = fs::read_to_string(docs.join("capacity/slopes.json")).unwrap();
    assert!(text.contains(&run_line(300, 2)));
    assert_eq!(
        RunStore::parse("slopes.json", &text).unwrap().to_json(),
        text
    );
}

#[test]
fn an_invalid_line_is_reported_and_nothing_is_added() {
    let good = run_line(100, 1);
    for (from, to, expected) in [
        (
            "\"virtual\"",
            "\"vertical\"",
            "tool \"vertical\" is not known",
        ),
        ("\"seed\":1,", "", "field seed is missing"),
        ("212}", "1e999}", "out of range"),
        (
            "212}",
            "null}",
            "in_force_ms.p99 is null; expected a finite number",
        ),
        ("\"ok\":true", "\"ok\":1", "ok is 1; expected true or false"),
        ("[]", "[1]", "notes is [1]; expected a list of strings"),
        (
            "tansy-lab size",
            "/home/me/tansy-lab size",
            "without absolute paths",
        ),
        ("{\"tool\"", "[\"tool\"", "expected one JSON object a line"),
    ] {
        let text = format!("\n{}\n", good.replacen(from, to, 1));
        let lines = messages(parse_runs("runs.jsonl", &text), from);
        assert!(
            lines.len() == 1 && lines[0].starts_with("runs.jsonl:2: "),
            "{lines:?}"
        );
        assert!(
            lines[0].contains(expected) && !lines[0].contains('\n'),
            "{expected:?} is not in {lines:?}"
        );
    }
    let docs = docs("invalid");
    let before = fs::read_to_string(docs.join("capacity/slopes.json")).unwrap();
    fs::write(
        docs.join("capacity/runs/virtual.jsonl"),
        format!("{}\n{{}}\n", run_line(9, 9)),
    )
    .unwrap();
    assert!(record_runs(&docs).is_err());
    assert_eq!(
        fs::read_to_string(docs.join("capacity/slopes.json")).unwrap(),
        before
    );
}

#[test]
fn runs_of_another_machine_are_rejected() {
    let docs = docs("machine");
    let path = docs.join("capacity/slopes.json");
    let mut store = RunStore::parse("slopes.json", &fs::read_to_string(&path).unwrap()).unwrap();
    store.machine.cores += 1;
    fs::write(&path, store.to_json()).unwrap();
    let lines = record_runs(&docs).expect_err("another machine");
    assert!(
        lines.len() == 1 && lines[0].ends_with("use the same machine, or --anew"),
        "{lines:?}"
    );
    assert_eq!(fs::read_to_string(&path).unwrap(), store.to_json());
}
