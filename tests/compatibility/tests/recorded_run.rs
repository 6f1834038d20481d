//! A run that `--record` wrote is read, is written the same again, and plays to the same decisions.
//!
//! `fixtures/run.jsonl` is the run of `src/run.rs` with the settings `run.cue`, `steps.jsonl` a step of each kind, of `src/steps.rs`; both by
//! `examples/record.rs`.

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
fn a_step_of_each_kind_is_read_and_written_as_before() {
    assert_eq!(read("steps.jsonl"), steps::each_kind());
    compare(&steps::each_kind(), "steps.jsonl");
}

#[test]
fn a_run_is_read_and_plays_to_the_same_decisions() {
    let steps = read("run.jsonl");
    compare(&steps, "run.jsonl");
    let mut dispatcher = run::front();
    let played: Vec<RecordedStep> = replay(&mut dispatcher, steps.into_iter()).collect();
    compare(&played, "run.jsonl");
}

#[test]
fn the_same_calls_and_answers_make_the_same_run() {
    compare(&run::recorded(), "run.jsonl");
}
