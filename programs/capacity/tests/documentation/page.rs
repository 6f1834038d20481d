//! The page of this repository is up to date, and a generated page contains the expected values and verdicts.

use crate::support::{docs, messages, record_runs, replace_in, run_line};
use std::fs;
use std::path::Path;
use tansy_capacity::figures::{verdict, Estimate, Verdict};
use tansy_capacity::fit::Interval;
use tansy_capacity::{check, generate};

#[test]
fn the_page_of_this_repository_is_up_to_date() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    check(&docs).unwrap_or_else(|errors| panic!("run `page` to update these files:\n{errors}"));
}

#[test]
fn generated_page_contains_values_and_verdicts() {
    let docs = docs("figures");
    let page = fs::read_to_string(docs.join("CAPACITY.md")).unwrap();
    for part in [
        "linear: 11 + 2 x", // the form with its coefficients
        "15 runs, 15 of them ok",
        "times the fit's largest | 37,099 (x ln x)", // the value in the next best form
        "30,011 ",                                   // bytes at 15,000
        " - `10 / 2` (5) = 15,0",
        "holds **fails** **tight**", // 15,000 of 40,000; 30,000 of 20,000; 30,000 of 40,000
        "211 (210 to 212, 3 runs)",  // the field at one size
        "`half` 7,498 ",             // at half the assumed value
        "`tansy-lab size --front-ends 4000`",
        "](img/capacity-bytes.svg)",
    ] {
        assert!(page.contains(part), "{part:?} is not in:\n{page}");
    }
    assert!(check(&docs).is_ok());
    // If the largest size is excluded, the next one is the hold-out.
    replace_in(
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
fn verdicts_depend_on_value_interval_and_missed_hold_out() {
    let verdict_on = |mid: f64, high: f64, missed_hold_out: bool| {
        let interval = Interval {
            mid,
            low: 0.0,
            high,
        };
        verdict(
            Estimate {
                interval,
                missed_hold_out,
            },
            30.0,
        )
    };
    assert_eq!(verdict_on(20.0, 30.0, false), Verdict::Holds);
    assert_eq!(verdict_on(20.1, 30.0, false), Verdict::Tight);
    assert_eq!(verdict_on(10.0, 30.1, false), Verdict::Tight);
    assert_eq!(verdict_on(10.0, 11.0, true), Verdict::Tight);
    assert_eq!(verdict_on(30.0, 30.0, false), Verdict::Tight);
    assert_eq!(verdict_on(30.1, 60.0, true), Verdict::Fails);
}

/// Runs that differ in an input outside the slope's filter are rejected; too few sizes give no fit.
#[test]
fn runs_with_different_inputs_and_too_few_sizes_are_reported() {
    let apart = docs("apart");
    let other = run_line(100, 5).replace("\"seed\"", "\"functions\":7,\"seed\"");
    fs::write(apart.join("capacity/runs/virtual.jsonl"), other).unwrap();
    record_runs(&apart).unwrap();
    let lines = messages(generate(&apart), "two counts of functions");
    assert!(
        lines[0].starts_with("figures.toml: slope bytes: its runs differ in functions"),
        "{lines:?}"
    );

    let few = docs("few");
    let text = [100, 300, 1_000].map(|s| run_line(s, 1)).join("\n");
    fs::write(few.join("capacity/runs/virtual.jsonl"), text).unwrap();
    fs::remove_file(few.join("capacity/slopes.json")).unwrap();
    record_runs(&few).unwrap();
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
