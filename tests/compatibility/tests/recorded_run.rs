//! Recorded runs of earlier versions are read, written with the same bytes, and replayed with the same decisions.
//!
//! `fixtures/run.jsonl` has the run of `src/run.rs` with the settings `run.cue`, and `steps.jsonl` the steps of `src/steps.rs`; both were
//! written by `examples/record.rs`.

use tansy_compatibility_tests::{fixture, run, steps};
use tansy_dispatch::record::{replay, RecordedStep};

fn read(name: &str) -> Vec<RecordedStep> {
    let text = fixture::text(name);
    let step = |line| RecordedStep::parse(line).unwrap_or_else(|e| panic!("{name}: {e}: {line}"));
    text.lines().map(step).collect()
}

fn compare(steps: &[RecordedStep], name: &str) {
    let text = fixture::text(name);
    for (index, (step, line)) in steps.iter().zip(text.lines()).enumerate() {
        assert_eq!(step.to_line(), line, "{name}:{}", index + 1);
    }
    assert_eq!(steps.len(), text.lines().count(), "{name}");
}

#[test]
fn steps_of_every_kind_are_read_and_written_as_before() {
    assert_eq!(read("steps.jsonl"), steps::each_kind());
    compare(&steps::each_kind(), "steps.jsonl");
}

#[test]
fn a_replayed_run_makes_the_same_decisions() {
    let steps = read("run.jsonl");
    compare(&steps, "run.jsonl");
    let mut dispatcher = run::dispatcher();
    let replayed: Vec<RecordedStep> = replay(&mut dispatcher, steps.into_iter()).collect();
    compare(&replayed, "run.jsonl");
}

#[test]
fn the_same_calls_and_outcomes_make_the_same_run() {
    compare(&run::recorded(), "run.jsonl");
}
