//! Writes missing fixtures with the present version. Existing fixtures are never changed.

use std::path::Path;
use tansy_compatibility_tests::fleet::messages::{sender, FLEET, LEADER};
use tansy_compatibility_tests::shape::{shape, Names};
use tansy_compatibility_tests::{fixture, fleet, inference, json, membership, run, steps, voters};
use tansy_dispatch::record::RecordedStep;
use tansy_settings::agreement;
use tansy_storage::voter_log::LogStorage;

/// Calls `write` with the path of a fixture if the file does not exist.
fn write_if_missing(name: &str, write: impl FnOnce(&Path)) {
    let path = fixture::path(name);
    match path.exists() {
        true => println!("{name}: exists"),
        false => write(&path),
    }
}

fn write_text(name: &str, text: String) {
    write_if_missing(name, |path| {
        std::fs::write(path, text).expect("the fixture is written");
        println!("{name}: written");
    });
}

fn write_messages(name: &str, comment: &str, all: impl IntoIterator<Item = (String, Vec<u8>)>) {
    let line = |(name, bytes): (String, Vec<u8>)| format!("{name} {}\n", fixture::hex(&bytes));
    let lines: String = all.into_iter().map(line).collect();
    write_text(name, format!("# {comment}\n{lines}"));
}

fn record_voters() {
    let fleet = voters::recorded();
    for voter in [1, 4] {
        let writes = fleet.writes(voter);
        write_if_missing(&format!("voter-{voter}.redb"), |path| {
            let (mut storage, _) = LogStorage::open(path).expect("a new file");
            for (record, snapshot) in writes {
                let appended = storage.append(record.clone(), snapshot.as_deref());
                appended.expect("the record is written");
            }
        });
        let lines = writes.iter().flat_map(|(record, snapshot)| {
            let snapshot = snapshot.iter().map(|s| ("whole".to_string(), s.clone()));
            std::iter::once(("record".to_string(), record.clone())).chain(snapshot)
        });
        let comment =
            format!("Writes of voter {voter} of the fleet in src/voters.rs, in their order.");
        write_messages(&format!("voter-{voter}.txt"), &comment, lines);
        println!("voter {voter}: {:#?}", fleet.voter(voter).log());
    }
}

fn main() {
    record_voters();
    let fleet_messages = fleet::messages::bodies()
        .into_iter()
        .enumerate()
        .map(|(number, body)| {
            let bytes = tansy_fleet_wire::encode_message(FLEET, &sender(), LEADER, body);
            (format!("{number:02}"), bytes)
        });
    write_messages(
        "fleet-letters.txt",
        "Each letter of src/fleet.rs, in their order.",
        fleet_messages,
    );
    let requests = fleet::requests::requests().into_iter();
    write_messages(
        "fleet-requests.txt",
        "Each request and reply of src/fleet.rs.",
        requests.map(|r| (r.name.to_string(), r.bytes)),
    );
    write_messages(
        "membership.txt",
        "All datagrams of src/membership.rs, in their order.",
        membership::datagrams(),
    );
    let inference = inference::messages().into_iter();
    write_messages(
        "inference.txt",
        "Each message of src/inference.rs.",
        inference.map(|(name, bytes)| (name.to_string(), bytes)),
    );
    for name in ["settings-full", "settings-least"] {
        let file = format!("{name}.cue");
        let fields = agreement::parse_fields(&file, &fixture::text(&file)).expect("valid settings");
        write_text(&format!("{name}.fields"), agreement::to_text(&fields));
    }
    let file = "settings-full.cue";
    let version = agreement::parse_version(file, &fixture::text(file)).expect("valid settings");
    write_text("settings-full.version", agreement::to_text(&version));
    let lines = |steps: Vec<RecordedStep>| steps.iter().map(|s| s.to_line() + "\n").collect();
    write_text("run.jsonl", lines(run::recorded()));
    write_text("steps.jsonl", lines(steps::each_kind()));
    let lines = |lines: Vec<String>| lines.join("\n") + "\n";
    write_text("rollout-entries.jsonl", lines(json::rollout_entry_lines()));
    write_text("rollouts.jsonl", lines(json::rollout_lines()));
    write_text("printed.jsonl", lines(json::printed_lines()));
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for (folder, file, names) in [
        ("protocol/fleet/proto", "fleet", Names::Ignored),
        ("protocol/inference/proto", "inference", Names::Significant),
        ("protocol/inference/proto", "orca", Names::Significant),
    ] {
        let shape = shape(&root.join(folder), &format!("{file}.proto"), names);
        write_text(&format!("{file}.shape"), shape);
    }
}
