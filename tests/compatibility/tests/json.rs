//! JSON of earlier versions is read, and the present version writes the same text.
//!
//! `fixtures/rollout-entries.jsonl` and `rollouts.jsonl` have rollouts as in messages, and `printed.jsonl` the output of
//! `tansy-fleet --json`; all are from `src/json.rs`, written by `examples/record.rs`.

use tansy_compatibility_tests::{fixture, json};
use tansy_fleet_wire::{decode_rollout, decode_rollout_entry, pb};

fn compare(name: &str, present: &[String]) {
    let recorded = fixture::text(name);
    for (n, (present, recorded)) in present.iter().zip(recorded.lines()).enumerate() {
        assert_eq!(present, recorded, "{name}:{}", n + 1);
    }
    assert_eq!(present.len(), recorded.lines().count(), "{name}");
}

#[test]
fn entries_of_rollouts_are_read_and_written_as_before() {
    let name = "rollout-entries.jsonl";
    compare(name, &json::rollout_entry_lines());
    let recorded = fixture::text(name);
    for (line, expected) in recorded.lines().zip(json::rollout_entries()) {
        let entry = line.to_string();
        let read = decode_rollout_entry(pb::RolloutLogEntry {
            entry,
            fields: None,
        });
        assert_eq!(read, Ok((expected, None)));
    }
}

#[test]
fn rollouts_are_read_and_written_as_before() {
    let name = "rollouts.jsonl";
    compare(name, &json::rollout_lines());
    for (line, expected) in fixture::text(name).lines().zip(json::rollouts()) {
        assert_eq!(decode_rollout(line), Ok(Some(expected)));
    }
}

#[test]
fn the_output_of_operator_commands_is_unchanged() {
    compare("printed.jsonl", &json::printed_lines());
}
