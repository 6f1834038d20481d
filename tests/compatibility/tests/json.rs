//! JSON that programs read is read and written as before.
//!
//! `fixtures/rollout-entries.jsonl` and `rollouts.jsonl` are what travels of a rollout, `printed.jsonl` what `tansy-fleet
//! --json` prints of a fleet, its changes and its history; all of `src/json.rs`, by `examples/record.rs`.

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
fn what_is_printed_of_a_fleet_is_as_before() {
    compare("printed.jsonl", &json::printed());
}
