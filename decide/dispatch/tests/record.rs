//! The keys of recorded runs: a line that an earlier release wrote is read, and is written again byte for byte.

use tansy_dispatch::record::RecordedStep;

/// A line with each input, command and value that a recorded run can hold, as an earlier release wrote
/// them.
const LINES: &str = include_str!("fixtures/recorded_steps.jsonl");

#[test]
fn recorded_lines_are_read_and_written_byte_for_byte() {
    assert!(LINES.lines().count() > 30, "the fixture is whole");
    for line in LINES.lines() {
        let step = RecordedStep::parse(line).unwrap_or_else(|e| panic!("{e}: {line}"));
        assert_eq!(step.to_line(), line);
    }
}
