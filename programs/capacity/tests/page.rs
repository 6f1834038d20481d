//! The page of this repository is what its runs give; and a page that is not is found. Runs here are made up, and are
//! kept nowhere.

use std::fs;
use std::path::{Path, PathBuf};
use tansy_capacity::figures::{verdict, Estimate, Verdict};
use tansy_capacity::fit::Interval;
use tansy_capacity::runs::{read_lines, RunStore};
use tansy_capacity::{check, generate, record, Errors, RecordArgs};

#[test]
fn the_page_of_this_repository_is_what_its_runs_give() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    check(&docs).unwrap_or_else(|errors| panic!("`page` makes it anew; these differ:\n{errors}"));
}

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

fn line(size: u32, seed: u32) -> String {
    let y = 10 + 2 * size + (seed + size / 100) % 3;
    format!(
        "{{\"tool\":\"virtual\",\"command\":\"tansy-lab size --front-ends {size}\",\"front_ends\":{size},\
         \"seed\":{seed},\"tier\":\"whole\",\"in_force_ms\":{{\"p50\":1.0,\"p99\":{y}}},\"ok\":true,\"notes\":[]}}"
    )
}

/// A docs folder of made-up runs, with its page made.
fn docs(name: &str) -> PathBuf {
    let docs = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&docs);
    fs::create_dir_all(docs.join("capacity/runs")).unwrap();
    fs::write(docs.join("capacity/figures.toml"), FIGURES).unwrap();
    fs::write(docs.join("capacity/CAPACITY.in.md"), TEMPLATE).unwrap();
    let sizes = [100, 300, 1_000, 2_000, 4_000];
    let lines: Vec<String> = sizes
        .iter()
        .flat_map(|s| [1, 2, 3].map(|seed| line(*s, seed)))
        .collect();
    fs::write(docs.join("capacity/runs/virtual.jsonl"), lines.join("\n")).unwrap();
    assert_eq!(recorded(&docs).as_deref(), Ok("15 runs added, 15 kept"));
    generate(&docs).unwrap();
    docs
}

/// Records the runs of a docs folder: the summary as it is printed.
fn recorded(docs: &Path) -> Result<String, Vec<String>> {
    let summary = record(&RecordArgs {
        into: docs.join("capacity/slopes.json"),
        anew: false,
        files: vec![docs.join("capacity/runs/virtual.jsonl")],
    });
    summary
        .map(|summary| summary.to_string())
        .map_err(|errors| errors.messages())
}

/// The lines that the errors of something that has to fail print as.
fn messages<T: std::fmt::Debug>(result: Result<T, Errors>, what: &str) -> Vec<String> {
    result.expect_err(what).messages()
}

fn change(path: PathBuf, from: &str, to: &str) {
    let text = fs::read_to_string(&path).unwrap();
    assert!(
        text.contains(from),
        "{from:?} is not in {}:\n{text}",
        path.display()
    );
    fs::write(path, text.replacen(from, to, 1)).unwrap();
}

#[test]
fn figures_come_from_runs_and_verdicts_from_figures() {
    let docs = docs("figures");
    let page = fs::read_to_string(docs.join("CAPACITY.md")).unwrap();
    for part in [
        "linear: 11 + 2 x", // the form, with its coefficients
        "15 runs, 15 of them ok",
        "times the fit's largest | 37,099 (x ln x)", // what the next best form says
        "30,011 ",                                   // bytes at 15,000
        " - `10 / 2` (5) = 15,0",
        "holds **fails** **tight**", // 15,000 of 40,000; 30,000 of 20,000; 30,000 of 40,000
        "211 (210 to 212, 3 runs)",  // the field at one size
        "`half` 7,498 ",             // at half of the assumption
        "`tansy-lab size --front-ends 4000`",
        "](img/capacity-bytes.svg)",
    ] {
        assert!(page.contains(part), "{part:?} is not in:\n{page}");
    }
    assert!(check(&docs).is_ok());
    // Without the largest size the next one is kept out.
    change(
        docs.join("capacity/figures.toml"),
        "plot =",
        "most = 2_000\nplot =",
    );
    generate(&docs).unwrap();
    let page = fs::read_to_string(docs.join("CAPACITY.md")).unwrap();
    assert!(
        page.contains("`front_ends` up to 2,000 | linear: 11 + 2 x"),
        "{page}"
    );
    assert!(
        page.contains("| 3, 100 to 1,000 (9) | 2,000 | 4,011 "),
        "{page}"
    );
}

#[test]
fn verdicts_go_by_figure_interval_and_missed_fits() {
    let of = |mid: f64, high: f64, missed: bool| {
        let interval = Interval {
            mid,
            low: 0.0,
            high,
        };
        verdict(Estimate { interval, missed }, 30.0)
    };
    assert_eq!(of(20.0, 30.0, false), Verdict::Holds);
    assert_eq!(of(20.1, 30.0, false), Verdict::Tight);
    assert_eq!(of(10.0, 30.1, false), Verdict::Tight);
    assert_eq!(of(10.0, 11.0, true), Verdict::Tight);
    assert_eq!(of(30.0, 30.0, false), Verdict::Tight);
    assert_eq!(of(30.1, 60.0, true), Verdict::Fails);
}

#[test]
fn what_was_changed_by_hand_is_found() {
    type Change = fn(&Path);
    let changes: [(&str, &str, Change); 7] = [
        ("page", "CAPACITY.md:", |d| {
            change(d.join("CAPACITY.md"), "30,0", "29,0")
        }),
        ("verdict", "CAPACITY.md:", |d| {
            change(d.join("CAPACITY.md"), "**fails**", "holds")
        }),
        ("plot", "img/capacity-bytes.svg:", |d| {
            change(d.join("img/capacity-bytes.svg"), "cx=\"", "cx=\"1")
        }),
        ("stray", "img/capacity-old.svg: ", |d| {
            fs::write(d.join("img/capacity-old.svg"), "").unwrap()
        }),
        ("run", "CAPACITY.md:", |d| {
            change(
                d.join("capacity/slopes.json"),
                "\"p99\":212",
                "\"p99\":2120",
            )
        }),
        ("unrecorded", "capacity/runs/virtual.jsonl: ", |d| {
            change(
                d.join("capacity/runs/virtual.jsonl"),
                "\"seed\":1,",
                "\"seed\":9,",
            )
        }),
        ("twice", "capacity/slopes.json:", |d| {
            let first = format!("[\n{},\n", line(100, 1));
            change(d.join("capacity/slopes.json"), "[\n", &first)
        }),
    ];
    for (name, told, change) in changes {
        let docs = docs(&format!("changed-{name}"));
        assert!(check(&docs).is_ok());
        change(&docs);
        let lines = messages(check(&docs), name);
        assert!(
            lines.iter().any(|l| l.starts_with(told)),
            "{name}: {lines:?}"
        );
        assert!(lines.iter().all(|l| !l.contains('\n')), "{name}: {lines:?}");
    }
}

#[test]
fn the_same_run_twice_is_one_and_lines_stay_as_written() {
    let docs = docs("twice");
    assert_eq!(recorded(&docs).as_deref(), Ok("0 runs added, 15 kept"));
    let text = fs::read_to_string(docs.join("capacity/slopes.json")).unwrap();
    assert!(text.contains(&line(300, 2)));
    assert_eq!(
        RunStore::read("slopes.json", &text).unwrap().to_json(),
        text
    );
}

#[test]
fn a_bad_line_is_told_and_nothing_is_added() {
    let good = line(100, 1);
    for (from, to, told) in [
        (
            "\"virtual\"",
            "\"vertical\"",
            "tool \"vertical\" is not known",
        ),
        ("\"seed\":1,", "", "seed is not there"),
        ("212}", "1e999}", "out of range"),
        (
            "212}",
            "null}",
            "in_force_ms.p99 is null; right is a finite number",
        ),
        ("\"ok\":true", "\"ok\":1", "ok is 1; right is true or false"),
        ("[]", "[1]", "notes is [1]; right is a list of texts"),
        (
            "tansy-lab size",
            "/home/me/tansy-lab size",
            "without absolute paths",
        ),
        ("{\"tool\"", "[\"tool\"", "right is one JSON object a line"),
    ] {
        let text = format!("\n{}\n", good.replacen(from, to, 1));
        let lines = messages(read_lines("runs.jsonl", &text), from);
        assert!(
            lines.len() == 1 && lines[0].starts_with("runs.jsonl:2: "),
            "{lines:?}"
        );
        assert!(
            lines[0].contains(told) && !lines[0].contains('\n'),
            "{told:?} is not in {lines:?}"
        );
    }
    let docs = docs("bad");
    let kept = fs::read_to_string(docs.join("capacity/slopes.json")).unwrap();
    fs::write(
        docs.join("capacity/runs/virtual.jsonl"),
        format!("{}\n{{}}\n", line(9, 9)),
    )
    .unwrap();
    assert!(recorded(&docs).is_err());
    assert_eq!(
        fs::read_to_string(docs.join("capacity/slopes.json")).unwrap(),
        kept
    );
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one table or one history, read from top to bottom"
)]
fn what_is_wrong_in_definitions_and_template_is_told_by_line() {
    for (file, from, to, told) in [
        (
            "figures.toml",
            "bytes(front_ends)",
            "bites(front_ends)",
            "bites is no slope; right is one of bytes",
        ),
        (
            "figures.toml",
            "share * ",
            "chair * ",
            "\"chair\" is no factor; right is a number",
        ),
        (
            "figures.toml",
            "id = \"twice\"",
            "id = \"half\"",
            "half is there twice",
        ),
        (
            "figures.toml",
            "tool = \"virtual\"",
            "tool = \"vitual\"",
            "tool \"vitual\" is not known; right are",
        ),
        (
            "figures.toml",
            "at = \"front_ends\"",
            "at = []",
            "right is a number, or a name from [given]",
        ),
        (
            "figures.toml",
            "plot = \"log-log\"",
            "plot = \"log\"",
            "unknown variant",
        ),
        (
            "figures.toml",
            "at = \"front_ends\"",
            "at = \"back_ends\"",
            "back_ends: right is a number, or one of budget",
        ),
        (
            "figures.toml",
            "filter = { tier = \"whole\" }",
            "filter = { tier = \"any\", seed = 1 }",
            "",
        ),
        (
            "CAPACITY.in.md",
            "{{verdict half}}",
            "{{verdict whole}}",
            "whole is no figure; right is one of half, twice",
        ),
        (
            "CAPACITY.in.md",
            "{{measured}}",
            "{{weighed}}",
            "no such placeholder; right is measured",
        ),
        (
            "CAPACITY.in.md",
            "{{measured}}",
            "{{measured",
            "right is both on one line",
        ),
    ] {
        let docs = docs("wrong");
        change(docs.join("capacity").join(file), from, to);
        if told.is_empty() {
            assert!(generate(&docs).is_ok(), "a filter that lets tiers differ");
            continue;
        }
        let lines = messages(generate(&docs), to);
        let at = lines[0]
            .strip_prefix(&format!("{file}:"))
            .and_then(|l| l.split_once(": "));
        assert!(
            at.is_some_and(|(n, _)| n.parse::<u32>().is_ok_and(|n| n > 1)),
            "{lines:?}"
        );
        assert!(
            lines[0].contains(told) && !lines[0].contains('\n'),
            "{told:?} is not in {lines:?}"
        );
    }
}

/// Runs that differ in what is neither x nor in the filter are no slope; with too few sizes nothing is claimed.
#[test]
fn runs_that_do_not_belong_together_and_too_few_sizes_are_told() {
    let apart = docs("apart");
    let other = line(100, 5).replace("\"seed\"", "\"functions\":7,\"seed\"");
    fs::write(apart.join("capacity/runs/virtual.jsonl"), other).unwrap();
    recorded(&apart).unwrap();
    let lines = messages(generate(&apart), "two counts of functions");
    assert!(
        lines[0].starts_with("figures.toml: slope bytes: its runs differ in functions"),
        "{lines:?}"
    );

    let few = docs("few");
    let text = [100, 300, 1_000].map(|s| line(s, 1)).join("\n");
    fs::write(few.join("capacity/runs/virtual.jsonl"), text).unwrap();
    fs::remove_file(few.join("capacity/slopes.json")).unwrap();
    recorded(&few).unwrap();
    generate(&few).unwrap();
    let page = fs::read_to_string(few.join("CAPACITY.md")).unwrap();
    assert!(
        page.contains("too few sizes to claim anything (3 of 4 at least)"),
        "{page}"
    );
    assert!(
        page.contains("not told not told not told") && !page.contains("holds"),
        "{page}"
    );
}
