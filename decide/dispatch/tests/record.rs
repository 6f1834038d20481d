//! The format of recorded runs: lines written by an earlier release are read and rewritten without any change.

use tansy_dispatch::record::RecordedStep;

/// Lines written by an earlier release, with every input, command and value that a recorded run can contain.
const LINES: &str = include_str!("fixtures/recorded_steps.jsonl");

#[test]
fn recorded_lines_round_trip_byte_for_byte() {
    assert!(LINES.lines().count() > 30, "the fixture is incomplete");
    for line in LINES.lines() {
        let step = RecordedStep::parse(line).unwrap_or_else(|e| panic!("{e}: {line}"));
        assert_eq!(step.to_line(), line);
    }
}
