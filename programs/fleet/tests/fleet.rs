//! `tansy-fleet` against gateway processes: versions, functions, voters, and rejected requests.

#[path = "support/front_ends.rs"]
mod front_ends;
mod support;

use front_ends::{Fleet, SETTINGS_FILE};
use serde_json::Value;
use std::time::{Duration, Instant};
use tansy_test_support::fleet::{error_contains, front_ends};

/// The values of a text field in a list of results.
fn field_texts<'a>(list: &'a Value, field: &str) -> Vec<&'a str> {
    let items = list.as_array().into_iter().flatten();
    items.filter_map(|item| item[field].as_str()).collect()
}

/// Checks rejections once version 2, with the settings of the file `in_force`, has replaced version 1.
fn check_rejected_proposals(fleet: &Fleet, in_force: &str, other: &str) {
    let (code, rejection) = fleet.ask(&["propose", other, "--expect", "1"]);
    assert!(
        code == 3 && error_contains(&rejection, "version 2 is in force, not 1"),
        "{rejection}"
    );
    let (code, rejection) = fleet.ask(&["propose", in_force]);
    assert!(
        code == 3 && error_contains(&rejection, "no field differs"),
        "{rejection}"
    );
    let invalid = fleet.write_changed("d.cue", "deadline: 2s}\n    pay", "deadline: 0s}\n    pay");
    let (code, rejection) = fleet.ask(&["propose", &invalid]);
    assert!(
        code == 2 && error_contains(&rejection, "classes.chat.deadline"),
        "{rejection}"
    );
}

#[test]
fn versions_are_proposed_compared_reverted_and_rejected() {
    let fleet = Fleet::start("versions", 3, 101);
    fleet.wait_until_connected();
    let shorter = fleet.write_changed("b.cue", "window: 30s", "window: 20s");
    let (code, changes) = fleet.ask(&["propose", &shorter, "--dry-run"]);
    assert_eq!(
        (code, changes[0]["field"].as_str()),
        (0, Some("classes.pay.window")),
        "{changes}"
    );
    assert_eq!(
        (changes[0]["kind"].as_str(), changes[0]["new"].as_str()),
        (Some("joint"), Some("20s"))
    );
    let (code, done) = fleet.ask(&["propose", &shorter, "--expect", "1", "--why", "shorter"]);
    assert_eq!(
        (code, done["is"].as_str(), done["version"].as_u64()),
        (0, Some("in force"), Some(2)),
        "{done}"
    );
    let cells = fleet.write_changed("c.cue", "group: \"zone\"", "group: \"cell\"");
    check_rejected_proposals(&fleet, &shorter, &cells);
    // A repeated proposal with the same id is not a new one, although its base version is no longer in force.
    let (_, first) = fleet.ask(&["propose", &cells, "--id", "77"]);
    assert_eq!(first["version"].as_u64(), Some(3), "{first}");
    let (code, repeated) = fleet.ask(&["propose", &cells, "--id", "77"]);
    assert_eq!(
        (code, repeated["version"].as_u64()),
        (0, Some(3)),
        "{repeated}"
    );
    let (code, reverted) = fleet.ask(&["revert", "1"]);
    assert_eq!(
        (code, reverted["version"].as_u64()),
        (0, Some(4)),
        "{reverted}"
    );
    let (_, differences) = fleet.ask(&["diff", "1", "4"]);
    assert_eq!(
        differences.as_array().map(Vec::len),
        Some(0),
        "{differences}"
    );
    let (_, history) = fleet.ask(&["history"]);
    assert_eq!(
        field_texts(&history, "why"),
        ["the first", "shorter", "", "back to version 1: the first"],
        "{history}"
    );
    let (code, _) = fleet.ask(&["revert", "9"]);
    assert_eq!(code, 2);
    let (code, rejection) = fleet.ask(&["abandon"]);
    assert_eq!(code, 3, "{rejection}");
}

#[test]
fn a_strict_change_waits_for_a_front_end_until_it_is_back_or_dismissed() {
    let mut fleet = Fleet::start("strict", 4, 102);
    fleet.wait_until_connected();
    fleet.kill(3);
    let cells = fleet.write_changed("c.cue", "group: \"zone\"", "group: \"cell\"");
    let (code, rejection) = fleet.ask(&["propose", &cells, "--wait", "1.5"]);
    assert!(
        code == 4 && error_contains(&rejection, "waits for f3"),
        "{rejection}"
    );
    fleet.start_front_end(3);
    fleet.wait_for_version(4, 2);
    fleet.kill(3);
    let global = fleet.write_changed("d.cue", "group: \"zone\"", "group: \"all\"");
    let (code, _) = fleet.ask(&["propose", &global, "--wait", "0.5"]);
    assert_eq!(code, 4);
    let (code, rejection) = fleet.ask(&["dismiss", "nobody"]);
    assert_eq!(code, 3, "{rejection}");
    let unknown = r#"no front end named "nobody" is on the roster"#;
    assert!(error_contains(&rejection, unknown), "{rejection}");
    let (code, _) = fleet.ask(&["dismiss", "f3"]);
    assert_eq!(code, 0);
    fleet.wait_for_version(3, 3);
    // A change does not wait for a front end that was shut down.
    let mut process = fleet.processes[2].take().expect("the process runs");
    process.stop().expect("the process exits");
    let zone = fleet.folder.file(SETTINGS_FILE).display().to_string();
    let (code, done) = fleet.ask(&["propose", &zone]);
    assert_eq!(code, 0, "{done}");
}

#[test]
fn a_voter_recovers_from_a_temporary_disk_failure() {
    // Seconds after the voter's start during which its writes and syncs fail. The fleet has to be connected again before.
    const DISK_FAILURE: std::ops::Range<u64> = 14..17;
    let mut fleet = Fleet::start("disk", 3, 106);
    fleet.wait_until_connected();
    fleet.kill(0);
    let rules = ["write:ENOSPC", "sync:EIO"]
        .map(|r| format!("{r}:from={}:until={}", DISK_FAILURE.start, DISK_FAILURE.end));
    let began = Instant::now();
    fleet.start_front_end_with(0, |command| {
        command
            .env("LD_PRELOAD", tansy_soak::shim::library())
            .env("FAULT_RULES", rules.join(";"));
    });
    fleet.wait_until_connected();
    assert!(
        began.elapsed() < Duration::from_secs(DISK_FAILURE.start),
        "the fleet was not connected before the disk failure"
    );
    while began.elapsed() < Duration::from_secs(DISK_FAILURE.start) + Duration::from_millis(300) {
        std::thread::yield_now();
    }
    // A change proposed while the disk fails must not be lost.
    let shorter = fleet.write_changed("b.cue", "window: 30s", "window: 20s");
    let (code, reply) = fleet.ask(&["propose", &shorter, "--wait", "0.5", "--id", "5"]);
    // It is not rejected, and not reported in force before the disk works again.
    let disk_works = began.elapsed() >= Duration::from_secs(DISK_FAILURE.end);
    assert!(
        code == 4 || code == 0 && disk_works,
        "code {code}, disk works: {disk_works}: {reply}"
    );
    fleet.wait_for_version(3, 2);
    let (code, repeated) = fleet.ask(&["propose", &shorter, "--id", "5"]);
    assert_eq!(
        (code, repeated["version"].as_u64()),
        (0, Some(2)),
        "{repeated}"
    );
    // A change reported in force survives a kill.
    fleet.kill(0);
    fleet.start_front_end(0);
    fleet.wait_for_status(|status| front_ends(status).iter().any(|f| f["version"] == 2));
}

#[test]
fn a_front_end_configured_with_another_fleets_voter_does_not_join_it() {
    let north = Fleet::start("north", 2, 103);
    let mut south = Fleet::start("south", 2, 104);
    north.wait_until_connected();
    // A front end of the south is configured with the address of the north's voter.
    south.kill(1);
    let (own, other) = (south.address(0).to_string(), north.address(0).to_string());
    south.write(SETTINGS_FILE, &south.settings().replace(&own, &other));
    south.start_front_end(1);
    let shorter = north.write_changed("b.cue", "window: 30s", "window: 20s");
    let (code, done) = north.ask(&["propose", &shorter]);
    assert_eq!(code, 0, "{done}");
    let (_, status) = north.ask(&["status"]);
    assert_eq!(
        status["fronts"].as_array().map(Vec::len),
        Some(2),
        "{status}"
    );
    let (_, status) = south.ask(&["status"]);
    let isolated = &status["fronts"][0];
    assert_eq!(
        (isolated["name"].as_str(), isolated["step"].as_u64()),
        (Some("f1"), Some(0)),
        "{status}"
    );
}

#[test]
fn a_voter_is_replaced_and_the_new_one_restarts_from_its_file() {
    let mut fleet = Fleet::start("replaced", 4, 104);
    fleet.wait_until_connected();
    let (code, reply) = fleet.ask(&["seat", "f1", "--instead", "f9"]);
    assert_eq!(code, 3, "{reply}");
    assert!(error_contains(&reply, "no voter"), "{reply}");
    let (code, reply) = fleet.ask(&["seat", "f8", "--instead", "f0"]);
    assert_eq!(code, 3, "{reply}");
    let (code, reply) = fleet.ask(&["replace-voter", "f3", "--replaces", "f0"]);
    assert_eq!(code, 0, "{reply}");
    assert_eq!(reply["done"], "f3 has replaced f0 as a voter");
    let (_, voters) = fleet.ask(&["seats"]);
    assert_eq!(field_texts(&voters, "name"), ["f3"], "{voters}");
    // Without the old voter, a change still comes into force, and the new voter keeps it over a restart.
    fleet.kill(0);
    let shorter = fleet.write_changed("b.cue", "window: 30s", "window: 20s");
    let (code, done) = fleet.ask(&["propose", &shorter]);
    assert_eq!((code, done["is"].as_str()), (0, Some("in force")), "{done}");
    fleet.kill(3);
    fleet.start_front_end(3);
    fleet.wait_until_connected();
    fleet.wait_for_status(|status| front_ends(status).iter().all(|f| f["version"] == 2));
}

/// A file of two functions for `scope apply`.
const TWO_FUNCTIONS: &str =
    "functions: {c: {class: \"pay\", memory: 1GB}, d: {class: \"pay\", memory: 2GB, lanes: 2}}";

fn check_rejected_functions(fleet: &Fleet) {
    let no_lanes = TWO_FUNCTIONS.replace("lanes: 2", "lanes: 0");
    let no_lanes = fleet.write("wrong.cue", &no_lanes);
    let cases: [(&[&str], i32, &str); 6] = [
        (
            &["scope", "set", "e", "--class", "none", "--memory", "1GB"],
            3,
            "\"none\" does not exist",
        ),
        (
            &["scope", "set", "e", "--class", "chat", "--memory", "0B"],
            2,
            "memory",
        ),
        (
            &["scope", "set", "pay", "--class", "pay", "--memory", "1GB"],
            3,
            "stands in both",
        ),
        (
            &[
                "scope", "set", "a.b", "--class", "chat", "--memory", "1GB", "--expect", "999",
            ],
            3,
            "not 999",
        ),
        (&["scope", "remove", "nobody"], 3, "differs"),
        (&["scope", "apply", &no_lanes], 2, "lanes"),
    ];
    for (arguments, exit_code, message) in cases {
        let (code, rejection) = fleet.ask(arguments);
        assert!(
            code == exit_code && error_contains(&rejection, message),
            "{arguments:?}: {code} {rejection}"
        );
    }
}

#[test]
fn functions_are_set_applied_shown_removed_and_rejected() {
    let fleet = Fleet::start("scopes", 2, 105);
    fleet.wait_until_connected();
    let set = [
        "scope", "set", "a.b", "--class", "chat", "--memory", "100MB",
    ];
    let (code, done) = fleet.ask(
        &[
            &set[..],
            &["--lanes", "4", "--load-time", "50ms", "--id", "7"],
        ]
        .concat(),
    );
    assert_eq!(
        (code, done["is"].as_str(), &done["functions"][0]),
        (0, Some("in force"), &"a.b".into()),
        "{done}"
    );
    // A repeated request with the same id changes nothing.
    let (code, repeated) = fleet.ask(&[&set[..], &["--id", "7"]].concat());
    assert_eq!((code, &repeated["step"]), (0, &done["step"]), "{repeated}");
    let show = |name: &str| fleet.ask(&["scope", "show", name]).1[0].clone();
    let known = show("a.b");
    assert_eq!(
        (&known["fields"]["lanes"], &known["fields"]["load_time"]),
        (&"4".into(), &"50ms".into()),
        "{known}"
    );
    let revision = known["revision"].as_u64().unwrap_or(0).to_string();
    // A rejected request changes nothing.
    check_rejected_functions(&fleet);
    assert_eq!(show("c")["is"], "not there");
    // Several functions at a time, one based on its revision, and removal.
    let (code, done) = fleet.ask(&[
        "scope",
        "apply",
        &fleet.write("two.cue", TWO_FUNCTIONS),
        "--why",
        "two",
    ]);
    assert_eq!(
        (code, done["functions"].as_array().map(Vec::len)),
        (0, Some(2)),
        "{done}"
    );
    assert_eq!(
        (
            &show("c")["fields"]["memory"],
            &show("d")["fields"]["lanes"]
        ),
        (&"1000000000B".into(), &"2".into())
    );
    fleet.wait_for_status(|_| show("a.b")["is"] == "in force");
    let (code, done) = fleet.ask(&[&set[..], &["--lanes", "9", "--expect", &revision]].concat());
    assert_eq!(code, 0, "{done}");
    fleet.wait_for_status(|_| show("c")["is"] == "in force" && show("d")["is"] == "in force");
    let (code, done) = fleet.ask(&["scope", "remove", "c", "d"]);
    assert_eq!(code, 0, "{done}");
    assert_eq!(
        (&show("c")["is"], &show("a.b")["fields"]["lanes"]),
        (&"not there".into(), &"9".into())
    );
}
