//! `tansy-fleet` against real gateways: it proposes, waits, reverts, refuses, and says whom a change waits for.

#[path = "support/front_ends.rs"]
mod front_ends;
mod support;

use front_ends::{Fleet, SETTINGS_FILE};
use serde_json::Value;
use std::time::{Duration, Instant};
use tansy_test_support::fleet::{error_contains, front_ends};

/// The texts of one field in a list of results.
fn field_texts<'a>(list: &'a Value, field: &str) -> Vec<&'a str> {
    let items = list.as_array().into_iter().flatten();
    items.filter_map(|item| item[field].as_str()).collect()
}

/// After version 2, which `in_force` has, is in force in the place of version 1.
fn check_refused_proposals(fleet: &Fleet, in_force: &str, other: &str) {
    // Somebody else's change would be lost; the same again changes nothing; what is wrong is said with its place.
    let (code, refusal) = fleet.ask(&["propose", other, "--expect", "1"]);
    assert!(
        code == 3 && error_contains(&refusal, "version 2 is in force, not 1"),
        "{refusal}"
    );
    let (code, refusal) = fleet.ask(&["propose", in_force]);
    assert!(
        code == 3 && error_contains(&refusal, "no field differs"),
        "{refusal}"
    );
    let wrong = fleet.write_changed("d.cue", "deadline: 2s}\n    pay", "deadline: 0s}\n    pay");
    let (code, refusal) = fleet.ask(&["propose", &wrong]);
    assert!(
        code == 2 && error_contains(&refusal, "classes.chat.deadline"),
        "{refusal}"
    );
}

#[test]
fn versions_are_proposed_compared_reverted_and_refused() {
    let fleet = Fleet::start("versions", 3, 101);
    fleet.wait_until_connected();
    let shorter = fleet.write_changed("b.cue", "window: 30s", "window: 20s");
    let (code, would) = fleet.ask(&["propose", &shorter, "--dry-run"]);
    assert_eq!(
        (code, would[0]["field"].as_str()),
        (0, Some("classes.pay.window")),
        "{would}"
    );
    assert_eq!(
        (would[0]["kind"].as_str(), would[0]["new"].as_str()),
        (Some("joint"), Some("20s"))
    );
    let (code, done) = fleet.ask(&["propose", &shorter, "--expect", "1", "--why", "shorter"]);
    assert_eq!(
        (code, done["is"].as_str(), done["version"].as_u64()),
        (0, Some("in force"), Some(2)),
        "{done}"
    );
    let cells = fleet.write_changed("c.cue", "group: \"zone\"", "group: \"cell\"");
    check_refused_proposals(&fleet, &shorter, &cells);
    // The same proposal by its id is one, though the version that it was made from is past.
    let (_, first) = fleet.ask(&["propose", &cells, "--id", "77"]);
    assert_eq!(first["version"].as_u64(), Some(3), "{first}");
    let (code, again) = fleet.ask(&["propose", &cells, "--id", "77"]);
    assert_eq!((code, again["version"].as_u64()), (0, Some(3)), "{again}");
    let (code, back) = fleet.ask(&["revert", "1"]);
    assert_eq!((code, back["version"].as_u64()), (0, Some(4)), "{back}");
    let (_, none) = fleet.ask(&["diff", "1", "4"]);
    assert_eq!(none.as_array().map(Vec::len), Some(0), "{none}");
    let (_, history) = fleet.ask(&["history"]);
    assert_eq!(
        field_texts(&history, "why"),
        ["the first", "shorter", "", "back to version 1: the first"],
        "{history}"
    );
    let (code, _) = fleet.ask(&["revert", "9"]);
    assert_eq!(code, 2);
    let (code, refusal) = fleet.ask(&["abandon"]);
    assert_eq!(code, 3, "{refusal}");
}

#[test]
fn a_strict_change_says_whom_it_waits_for_and_goes_on_when_that_one_is_dismissed_or_back() {
    let mut fleet = Fleet::start("strict", 4, 102);
    fleet.wait_until_connected();
    fleet.kill(3);
    let cells = fleet.write_changed("c.cue", "group: \"zone\"", "group: \"cell\"");
    let (code, refusal) = fleet.ask(&["propose", &cells, "--wait", "1.5"]);
    assert!(
        code == 4 && error_contains(&refusal, "waits for f3"),
        "{refusal}"
    );
    fleet.start_front_end(3);
    fleet.wait_for_version(4, 2);
    fleet.kill(3);
    let whole = fleet.write_changed("d.cue", "group: \"zone\"", "group: \"all\"");
    let (code, _) = fleet.ask(&["propose", &whole, "--wait", "0.5"]);
    assert_eq!(code, 4);
    let (code, refusal) = fleet.ask(&["dismiss", "nobody"]);
    assert_eq!(code, 3, "{refusal}");
    let unknown = r#"no front end named "nobody" is on the roster"#;
    assert!(error_contains(&refusal, unknown), "{refusal}");
    let (code, _) = fleet.ask(&["dismiss", "f3"]);
    assert_eq!(code, 0);
    fleet.wait_for_version(3, 3);
    // One that ends in peace is not waited for.
    let mut process = fleet.processes[2].take().expect("it runs");
    process.stop().expect("it ends");
    let zone = fleet.folder.file(SETTINGS_FILE).display().to_string();
    let (code, done) = fleet.ask(&["propose", &zone]);
    assert_eq!(code, 0, "{done}");
}

#[test]
fn a_seat_whose_disk_fails_for_a_while_goes_on_by_itself() {
    // The one voter's writes and syncs fail for these seconds of its life, when all have found each other again.
    const FAILS: std::ops::Range<u64> = 14..17;
    let mut fleet = Fleet::start("disk", 3, 106);
    fleet.wait_until_connected();
    fleet.kill(0);
    let rules = ["write:ENOSPC", "sync:EIO"]
        .map(|r| format!("{r}:from={}:until={}", FAILS.start, FAILS.end));
    let began = Instant::now();
    fleet.start_front_end_with(0, |command| {
        command
            .env("LD_PRELOAD", tansy_soak::shim::library())
            .env("FAULT_RULES", rules.join(";"));
    });
    fleet.wait_until_connected();
    assert!(
        began.elapsed() < Duration::from_secs(FAILS.start),
        "too slow for this test"
    );
    while began.elapsed() < Duration::from_secs(FAILS.start) + Duration::from_millis(300) {
        std::thread::yield_now();
    }
    // What is taken on while the disk fails is still owed.
    let shorter = fleet.write_changed("b.cue", "window: 30s", "window: 20s");
    let (code, reply) = fleet.ask(&["propose", &shorter, "--wait", "0.5", "--id", "5"]);
    // It is not refused, and not reported in force before the disk that has to hold it is back.
    let back = began.elapsed() >= Duration::from_secs(FAILS.end);
    assert!(
        code == 4 || code == 0 && back,
        "code {code}, disk back: {back}: {reply}"
    );
    fleet.wait_for_version(3, 2);
    let (code, again) = fleet.ask(&["propose", &shorter, "--id", "5"]);
    assert_eq!((code, again["version"].as_u64()), (0, Some(2)), "{again}");
    // And what was reported in force is there after a kill.
    fleet.kill(0);
    fleet.start_front_end(0);
    fleet.wait_for_status(|status| front_ends(status).iter().any(|f| f["version"] == 2));
}

#[test]
fn two_fleets_wired_to_each_other_stay_two() {
    let north = Fleet::start("north", 2, 103);
    let mut south = Fleet::start("south", 2, 104);
    north.wait_until_connected();
    // One of the south looks for its voter at the north's.
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
    let lost = &status["fronts"][0];
    assert_eq!(
        (lost["name"].as_str(), lost["step"].as_u64()),
        (Some("f1"), Some(0)),
        "{status}"
    );
}

#[test]
fn a_voter_is_replaced_in_service_and_the_new_one_carries_on_from_its_file() {
    let mut fleet = Fleet::start("replaced", 4, 104);
    fleet.wait_until_connected();
    let (code, reply) = fleet.ask(&["seat", "f1", "--instead", "f9"]);
    assert_eq!(code, 3, "{reply}");
    assert!(error_contains(&reply, "no voter"), "{reply}");
    let (code, reply) = fleet.ask(&["seat", "f8", "--instead", "f0"]);
    assert_eq!(code, 3, "{reply}");
    let (code, reply) = fleet.ask(&["replace-voter", "f3", "--replaces", "f0"]);
    assert_eq!(code, 0, "{reply}");
    assert_eq!(reply["done"], "f3 is a voter, f0 is not any more");
    let (_, voters) = fleet.ask(&["seats"]);
    assert_eq!(field_texts(&voters, "name"), ["f3"], "{voters}");
    // The old one is gone for good; a change goes through, and holds when the new one starts again.
    fleet.kill(0);
    let shorter = fleet.write_changed("b.cue", "window: 30s", "window: 20s");
    let (code, done) = fleet.ask(&["propose", &shorter]);
    assert_eq!((code, done["is"].as_str()), (0, Some("in force")), "{done}");
    fleet.kill(3);
    fleet.start_front_end(3);
    fleet.wait_until_connected();
    fleet.wait_for_status(|status| front_ends(status).iter().all(|f| f["version"] == 2));
}

/// Two functions, as a file that `scope apply` takes.
const TWO_FUNCTIONS: &str =
    "functions: {c: {class: \"pay\", memory: 1GB}, d: {class: \"pay\", memory: 2GB, lanes: 2}}";

fn check_refused_functions(fleet: &Fleet) {
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
    for (arguments, exit_code, words) in cases {
        let (code, refusal) = fleet.ask(arguments);
        assert!(
            code == exit_code && error_contains(&refusal, words),
            "{arguments:?}: {code} {refusal}"
        );
    }
}

#[test]
fn functions_are_set_applied_shown_removed_and_refused_one_by_one() {
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
    // The same by its id is one, and changes nothing again.
    let (code, again) = fleet.ask(&[&set[..], &["--id", "7"]].concat());
    assert_eq!((code, &again["step"]), (0, &done["step"]), "{again}");
    let show = |name: &str| fleet.ask(&["scope", "show", name]).1[0].clone();
    let known = show("a.b");
    assert_eq!(
        (&known["fields"]["lanes"], &known["fields"]["load_time"]),
        (&"4".into(), &"50ms".into()),
        "{known}"
    );
    let revision = known["revision"].as_u64().unwrap_or(0).to_string();
    // What is wrong is reported; nothing of it is applied.
    check_refused_functions(&fleet);
    assert_eq!(show("c")["is"], "not there");
    // Many at once; one by its revision; away.
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
