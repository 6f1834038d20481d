//! Documentation folders with synthetic runs, shared by the tests.

use std::fs;
use std::path::{Path, PathBuf};
use tansy_capacity::{generate, record, Errors, RecordArgs};

const FIGURES: &str = r#"
[given]
front_ends = 15000
budget = 40000

[[assumptions]]
id = "share"
what = "part that counts"
value = 0.5
unit = "of 1"
why = "a guess"

[[slopes]]
id = "bytes"
what = "Bytes a second"
tool = "virtual"
x = "front_ends"
y = "in_force_ms.p99"
filter = { tier = "whole" }
unit = "bytes/s"
at = "front_ends"
budget = "budget"
plot = "log-log"

[[figures]]
id = "half"
role = "front end"
what = "messages in"
unit = "bytes/s"
budget = "budget"
by = "leases"
terms = ["share * bytes(front_ends)", "-10 / 2"]

[[figures]]
id = "twice"
role = "front end"
what = "both ways"
unit = "bytes/s"
budget = 20_000.0
by = "leases"
terms = ["2 * half"]
"#;

const TEMPLATE: &str = "# Capacity\n\n{{measured}}; {{slope bytes}}.\n\n{{table slopes}}\n\n{{table front end}}\n\n\
    {{sum half}} {{verdict half}} {{verdict twice}} {{verdict bytes}}\n\n{{table assumptions}}\n\n{{table first}}\n\n\
    {{at bytes 1000}} {{run virtual in_force_ms.p99 front_ends=100}} {{plot bytes}}\n\n{{table commands}}\n";

/// A synthetic run at a size, as a line of JSON.
pub fn run_line(size: u32, seed: u32) -> String {
    let output = 10 + 2 * size + (seed + size / 100) % 3;
    format!(
        "{{\"tool\":\"virtual\",\"command\":\"tansy-lab size --front-ends {size}\",\"front_ends\":{size},\
         \"seed\":{seed},\"tier\":\"whole\",\"in_force_ms\":{{\"p50\":1.0,\"p99\":{output}}},\"ok\":true,\"notes\":[]}}"
    )
}

/// Creates a documentation folder with synthetic runs and a generated page.
pub fn docs(name: &str) -> PathBuf {
    let docs = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&docs);
    fs::create_dir_all(docs.join("capacity/runs")).unwrap();
    fs::write(docs.join("capacity/figures.toml"), FIGURES).unwrap();
    fs::write(docs.join("capacity/CAPACITY.in.md"), TEMPLATE).unwrap();
    let sizes = [100, 300, 1_000, 2_000, 4_000];
    let lines: Vec<String> = sizes
        .iter()
        .flat_map(|size| [1, 2, 3].map(|seed| run_line(*size, seed)))
        .collect();
    fs::write(docs.join("capacity/runs/virtual.jsonl"), lines.join("\n")).unwrap();
    assert_eq!(
        record_runs(&docs).as_deref(),
        Ok("15 runs added, 15 recorded")
    );
    generate(&docs).unwrap();
    docs
}

/// Records the runs of a documentation folder, and returns the printed summary or error messages.
pub fn record_runs(docs: &Path) -> Result<String, Vec<String>> {
    let summary = record(&RecordArgs {
        store: docs.join("capacity/slopes.json"),
        overwrite: false,
        files: vec![docs.join("capacity/runs/virtual.jsonl")],
    });
    summary
        .map(|summary| summary.to_string())
        .map_err(|errors| errors.messages())
}

/// The error messages of an operation that must fail.
pub fn messages<T: std::fmt::Debug>(result: Result<T, Errors>, operation: &str) -> Vec<String> {
    result.expect_err(operation).messages()
}

/// Replaces the first occurrence of a text in a file; panics if there is none.
pub fn replace_in(path: PathBuf, from: &str, to: &str) {
    let text = fs::read_to_string(&path).unwrap();
    assert!(
        text.contains(from),
        "{from:?} is not in {}:\n{text}",
        path.display()
    );
    fs::write(path, text.replacen(from, to, 1)).unwrap();
}
