//! Writes the fixtures that are not there yet, as the program of the day writes what they hold. A file that is there stays
//! as it is.

use std::path::Path;
use tansy_compatibility_tests::fleet::messages::{sender, FLEET, LEADER};
use tansy_compatibility_tests::shape::{shape, Names};
use tansy_compatibility_tests::{fixture, fleet, inference, json, membership, run, steps, voters};
use tansy_dispatch::record::RecordedStep;
use tansy_settings::agreement;
use tansy_storage::voter_log::LogStorage;

/// Calls `write` with the path of a fixture, if that is not there.
fn once(name: &str, write: impl FnOnce(&Path)) {
    let path = fixture::path(name);
    match path.exists() {
        true => println!("{name}: it is there"),
        false => write(&path),
    }
}

fn text(name: &str, text: String) {
    once(name, |path| {
        std::fs::write(path, text).expect("room on the disk");
        println!("{name}: written");
    });
}

fn messages(name: &str, how: &str, all: impl IntoIterator<Item = (String, Vec<u8>)>) {
    let line = |(name, bytes): (String, Vec<u8>)| format!("{name} {}\n", fixture::hex(&bytes));
    let lines: String = all.into_iter().map(line).collect();
    text(name, format!("# {how}\n{lines}"));
}

fn record_voters() {
    let fleet = voters::recorded();
    for voter in [1, 4] {
        let writes = fleet.writes(voter);
        once(&format!("voter-{voter}.redb"), |path| {
            let (mut records, _) = LogStorage::open(path).expect("a new file");
            for (record, whole) in writes {
                let held = records.append(record.clone(), whole.as_deref());
                held.expect("room on the disk");
            }
        });
        let lines = writes.iter().flat_map(|(record, whole)| {
            let whole = whole.iter().map(|w| ("whole".to_string(), w.clone()));
            std::iter::once(("record".to_string(), record.clone())).chain(whole)
        });
        let how = format!("Writes of voter {voter} of the fleet in src/voters.rs, in their order.");
        messages(&format!("voter-{voter}.txt"), &how, lines);
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
    messages(
        "fleet-letters.txt",
        "Each letter of src/fleet.rs, in their order.",
        fleet_messages,
    );
    let requests = fleet::requests::requests().into_iter();
    messages(
        "fleet-requests.txt",
        "Each request and reply of src/fleet.rs.",
        requests.map(|r| (r.name.to_string(), r.bytes)),
    );
    messages(
        "membership.txt",
        "All datagrams of src/membership.rs, in their order.",
        membership::conversation(),
    );
    let inference = inference::messages().into_iter();
    messages(
        "inference.txt",
        "Each message of src/inference.rs.",
        inference.map(|(name, bytes)| (name.to_string(), bytes)),
    );
    for name in ["settings-full", "settings-least"] {
        let file = format!("{name}.cue");
        let fields = agreement::parse_fields(&file, &fixture::text(&file)).expect("a right file");
        text(&format!("{name}.fields"), agreement::to_text(&fields));
    }
    let file = "settings-full.cue";
    let version = agreement::parse_version(file, &fixture::text(file)).expect("a right file");
    text("settings-full.version", agreement::to_text(&version));
    let lines = |steps: Vec<RecordedStep>| steps.iter().map(|s| s.to_line() + "\n").collect();
    text("run.jsonl", lines(run::recorded()));
    text("steps.jsonl", lines(steps::each_kind()));
    let lines = |lines: Vec<String>| lines.join("\n") + "\n";
    text("rollout-entries.jsonl", lines(json::rollout_entry_lines()));
    text("rollouts.jsonl", lines(json::rollout_lines()));
    text("printed.jsonl", lines(json::printed()));
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for (folder, file, names) in [
        ("protocol/fleet/proto", "fleet", Names::Free),
        ("protocol/inference/proto", "inference", Names::Count),
        ("protocol/inference/proto", "orca", Names::Count),
    ] {
        let shape = shape(&root.join(folder), &format!("{file}.proto"), names);
        text(&format!("{file}.shape"), shape);
    }
}
