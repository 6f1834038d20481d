//! `tansy-fleet` against real gateways: it proposes, waits, reverts, refuses, and says whom a change waits for.

mod support;

use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use support::{ask, gateway};
use tansy_test_support::address::ReservedAddress;

const TEXT: &str = r#"
classes: {
    chat: {aim: 1s, deadline: 2s}
    pay:  {aim: 1s, deadline: 2s, effect: "keyed", group: "zone", window: 30s}
}
functions: pay: {class: "pay", memory: 100MB}
fleet: {name: "NAME", seats: [{name: "f0", address: "SEAT"}]}
"#;

/// Gateways of one fleet; all end with it.
struct Fleet {
    folder: PathBuf,
    addresses: Vec<SocketAddr>,
    _reserved: Vec<ReservedAddress>,
    processes: Vec<Option<Child>>,
}

impl Fleet {
    fn start(name: &str, size: usize, host: u8) -> Fleet {
        let folder =
            std::env::temp_dir().join(format!("tansy-fleet-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        // A name keeps its address.
        let pid = std::process::id();
        let host_of = |n: usize| [127, host, (pid % 250) as u8, 1 + n as u8];
        let reserve = |n| ReservedAddress::on(host_of(n)).expect("a port");
        let reserved: Vec<ReservedAddress> = (0..size).map(reserve).collect();
        let addresses: Vec<SocketAddr> = reserved.iter().map(ReservedAddress::address).collect();
        let text = TEXT
            .replace("NAME", name)
            .replace("SEAT", &addresses[0].to_string());
        std::fs::write(folder.join("a.cue"), text).expect("a file");
        let mut fleet = Fleet {
            folder,
            addresses,
            _reserved: reserved,
            processes: Vec::new(),
        };
        fleet.processes.resize_with(size, || None);
        (0..size).for_each(|n| fleet.run(n));
        fleet
    }

    fn run(&mut self, n: usize) {
        self.run_with(n, |_| {});
    }

    fn run_with(&mut self, n: usize, more: impl FnOnce(&mut Command)) {
        let mut command = Command::new(gateway());
        more(&mut command);
        command.arg("--settings").arg(self.folder.join("a.cue"));
        command.args([
            "--name",
            &format!("f{n}"),
            "--peers",
            &self.addresses[n].to_string(),
        ]);
        command.args([
            "--listen",
            "127.0.0.1:0",
            "--http",
            "127.0.0.1:0",
            "--log",
            "off",
        ]);
        // The last one may become a seat.
        if n == 0 || n + 1 == self.addresses.len() {
            command
                .arg("--state")
                .arg(self.folder.join(format!("seat{n}.redb")));
        }
        let mut child = command.stdout(Stdio::piped()).spawn().expect("a gateway");
        let mut line = String::new();
        let out = child.stdout.take().expect("its output");
        BufReader::new(out).read_line(&mut line).expect("a line");
        self.processes[n] = Some(child);
        assert!(
            line.starts_with("ready ") && line.contains(" peers="),
            "{line:?}"
        );
    }

    fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.processes[n].take() {
            child.kill().expect("it runs");
            child.wait().expect("it ends");
        }
    }

    fn ask(&self, arguments: &[&str]) -> (i32, serde_json::Value) {
        ask(self.addresses[1], arguments)
    }

    /// Until all that run may act and see each other.
    fn found(&self) {
        let running = self.processes.iter().flatten().count();
        self.until(|s| {
            let fronts = s["fronts"].as_array().cloned().unwrap_or_default();
            let may = |f: &serde_json::Value| {
                f["lease_ms"].as_i64() > Some(0)
                    && f["stay_s"].as_i64() > Some(0)
                    && f["sees"].as_u64() == Some(running as u64 - 1)
            };
            fronts.len() == running && fronts.iter().all(may)
        });
    }

    fn until(&self, done: impl Fn(&serde_json::Value) -> bool) {
        let end = Instant::now() + Duration::from_secs(30);
        loop {
            let (_, status) = self.ask(&["status"]);
            if done(&status) {
                return;
            }
            assert!(Instant::now() < end, "{status}");
        }
    }

    fn file(&self, name: &str, from: &str, to: &str) -> String {
        let text = std::fs::read_to_string(self.folder.join("a.cue")).expect("a file");
        assert!(text.contains(from), "{from}");
        self.text(name, &text.replace(from, to))
    }

    fn text(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        std::fs::write(&path, text).expect("a file");
        path.display().to_string()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..self.processes.len()).for_each(|n| {
            if let Some(child) = &mut self.processes[n] {
                let _ = child.kill();
                let _ = child.wait();
            }
        });
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one table or one history, read from top to bottom"
)]
fn versions_are_proposed_compared_reverted_and_refused() {
    let fleet = Fleet::start("versions", 3, 101);
    fleet.found();
    let shorter = fleet.file("b.cue", "window: 30s", "window: 20s");
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
    // Somebody else's change would be lost; the same again changes nothing; what is wrong is said with its place.
    let cells = fleet.file("c.cue", "group: \"zone\"", "group: \"cell\"");
    let (code, not) = fleet.ask(&["propose", &cells, "--expect", "1"]);
    assert!(
        code == 3
            && not["error"]
                .as_str()
                .is_some_and(|e| e.contains("version 2 is in force, not 1")),
        "{not}"
    );
    let (code, not) = fleet.ask(&["propose", &shorter]);
    assert!(
        code == 3
            && not["error"]
                .as_str()
                .is_some_and(|e| e.contains("no field differs")),
        "{not}"
    );
    let wrong = fleet.file("d.cue", "deadline: 2s}\n    pay", "deadline: 0s}\n    pay");
    let (code, not) = fleet.ask(&["propose", &wrong]);
    assert!(
        code == 2
            && not["error"]
                .as_str()
                .is_some_and(|e| e.contains("classes.chat.deadline")),
        "{not}"
    );
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
    let whys: Vec<&str> = history
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|v| v["why"].as_str())
        .collect();
    assert_eq!(
        whys,
        ["the first", "shorter", "", "back to version 1: the first"],
        "{history}"
    );
    let (code, _) = fleet.ask(&["revert", "9"]);
    assert_eq!(code, 2);
    let (code, not) = fleet.ask(&["abandon"]);
    assert_eq!(code, 3, "{not}");
}

#[test]
fn a_strict_change_says_whom_it_waits_for_and_goes_on_when_that_one_is_dismissed_or_back() {
    let mut fleet = Fleet::start("strict", 4, 102);
    fleet.found();
    fleet.kill(3);
    let cells = fleet.file("c.cue", "group: \"zone\"", "group: \"cell\"");
    let (code, not) = fleet.ask(&["propose", &cells, "--wait", "1.5"]);
    assert!(
        code == 4
            && not["error"]
                .as_str()
                .is_some_and(|e| e.contains("waits for f3")),
        "{not}"
    );
    fleet.run(3);
    fleet.until(|s| {
        let fronts = s["fronts"].as_array().cloned().unwrap_or_default();
        fronts.len() == 4 && fronts.iter().all(|f| f["version"] == 2)
    });
    fleet.kill(3);
    let whole = fleet.file("d.cue", "group: \"zone\"", "group: \"all\"");
    let (code, _) = fleet.ask(&["propose", &whole, "--wait", "0.5"]);
    assert_eq!(code, 4);
    let (code, not) = fleet.ask(&["dismiss", "nobody"]);
    assert_eq!(code, 3, "{not}");
    let (code, _) = fleet.ask(&["dismiss", "f3"]);
    assert_eq!(code, 0);
    fleet.until(|s| {
        let fronts = s["fronts"].as_array().cloned().unwrap_or_default();
        fronts.len() == 3 && fronts.iter().all(|f| f["version"] == 3)
    });
    // One that ends in peace is not waited for.
    let child = fleet.processes[2].as_mut().expect("it runs");
    kill_process(Pid::from_child(child), Signal::TERM).expect("it runs");
    child.wait().expect("it ends");
    fleet.processes[2] = None;
    let zone = fleet.folder.join("a.cue").display().to_string();
    let (code, done) = fleet.ask(&["propose", &zone]);
    assert_eq!(code, 0, "{done}");
}

#[test]
fn a_seat_whose_disk_fails_for_a_while_goes_on_by_itself() {
    // The one seat's writes and syncs fail for these seconds of its life, when all have found each other again.
    const FAILS: std::ops::Range<u64> = 14..17;
    let mut fleet = Fleet::start("disk", 3, 106);
    fleet.found();
    fleet.kill(0);
    let rules = ["write:ENOSPC", "sync:EIO"]
        .map(|r| format!("{r}:from={}:until={}", FAILS.start, FAILS.end));
    let began = Instant::now();
    fleet.run_with(0, |command| {
        command
            .env("LD_PRELOAD", tansy_soak::shim::library())
            .env("FAULT_RULES", rules.join(";"));
    });
    fleet.found();
    assert!(
        began.elapsed() < Duration::from_secs(FAILS.start),
        "too slow for this test"
    );
    while began.elapsed() < Duration::from_secs(FAILS.start) + Duration::from_millis(300) {
        std::thread::yield_now();
    }
    // What is taken on while the disk fails is still owed.
    let shorter = fleet.file("b.cue", "window: 30s", "window: 20s");
    let (code, asked) = fleet.ask(&["propose", &shorter, "--wait", "0.5", "--id", "5"]);
    // It is not refused, and not told in force before the disk that has to hold it is back.
    let back = began.elapsed() >= Duration::from_secs(FAILS.end);
    assert!(
        code == 4 || code == 0 && back,
        "code {code}, disk back: {back}: {asked}"
    );
    fleet.until(|s| {
        let fronts = s["fronts"].as_array().cloned().unwrap_or_default();
        fronts.len() == 3 && fronts.iter().all(|f| f["version"] == 2)
    });
    let (code, again) = fleet.ask(&["propose", &shorter, "--id", "5"]);
    assert_eq!((code, again["version"].as_u64()), (0, Some(2)), "{again}");
    // And what was told in force is there after a kill.
    fleet.kill(0);
    fleet.run(0);
    fleet.until(|s| {
        s["fronts"]
            .as_array()
            .is_some_and(|f| f.iter().any(|f| f["version"] == 2))
    });
}

#[test]
fn two_fleets_wired_to_each_other_stay_two() {
    let north = Fleet::start("north", 2, 103);
    let mut south = Fleet::start("south", 2, 104);
    north.found();
    // One of the south looks for its seat at the north's.
    south.kill(1);
    let text = std::fs::read_to_string(south.folder.join("a.cue")).expect("a file");
    let wrong = text.replace(
        &south.addresses[0].to_string(),
        &north.addresses[0].to_string(),
    );
    std::fs::write(south.folder.join("a.cue"), wrong).expect("a file");
    south.run(1);
    let shorter = north.file("b.cue", "window: 30s", "window: 20s");
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
fn a_seat_is_replaced_in_service_and_the_new_one_carries_on_from_its_file() {
    let mut fleet = Fleet::start("replaced", 4, 104);
    fleet.found();
    let (code, said) = fleet.ask(&["seat", "f1", "--instead", "f9"]);
    assert_eq!(code, 3, "{said}");
    assert!(
        said["error"]
            .as_str()
            .is_some_and(|e| e.contains("no seat")),
        "{said}"
    );
    let (code, said) = fleet.ask(&["seat", "f8", "--instead", "f0"]);
    assert_eq!(code, 3, "{said}");
    let (code, said) = fleet.ask(&["replace-voter", "f3", "--replaces", "f0"]);
    assert_eq!(code, 0, "{said}");
    let (_, seats) = fleet.ask(&["seats"]);
    let names: Vec<&str> = seats
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|s| s["name"].as_str())
        .collect();
    assert_eq!(names, ["f3"], "{seats}");
    // The old one is gone for good; a change goes through, and holds when the new one starts again.
    fleet.kill(0);
    let shorter = fleet.file("b.cue", "window: 30s", "window: 20s");
    let (code, done) = fleet.ask(&["propose", &shorter]);
    assert_eq!((code, done["is"].as_str()), (0, Some("in force")), "{done}");
    fleet.kill(3);
    fleet.run(3);
    fleet.found();
    fleet.until(|s| {
        let fronts = s["fronts"].as_array().cloned().unwrap_or_default();
        fronts.iter().all(|f| f["version"].as_u64() == Some(2))
    });
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one table or one history, read from top to bottom"
)]
fn functions_are_set_applied_shown_removed_and_refused_one_by_one() {
    let fleet = Fleet::start("scopes", 2, 105);
    fleet.found();
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
    // What is wrong is said; nothing of it is taken.
    let text =
        "functions: {c: {class: \"pay\", memory: 1GB}, d: {class: \"pay\", memory: 2GB, lanes: 2}}";
    let cases: [(&[&str], i32, &str); 6] = [
        (
            &["scope", "set", "e", "--class", "none", "--memory", "1GB"],
            3,
            "\"none\" is not there",
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
        (
            &[
                "scope",
                "apply",
                &fleet.text("wrong.cue", &text.replace("lanes: 2", "lanes: 0")),
            ],
            2,
            "lanes",
        ),
    ];
    for (asked, code, wanted) in cases {
        let (is, not) = fleet.ask(asked);
        assert!(
            is == code && not["error"].as_str().is_some_and(|e| e.contains(wanted)),
            "{asked:?}: {is} {not}"
        );
    }
    assert_eq!(show("c")["is"], "not there");
    // Many at once; one by its revision; away.
    let (code, done) = fleet.ask(&[
        "scope",
        "apply",
        &fleet.text("two.cue", text),
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
    fleet.until(|_| show("a.b")["is"] == "in force");
    let (code, done) = fleet.ask(&[&set[..], &["--lanes", "9", "--expect", &revision]].concat());
    assert_eq!(code, 0, "{done}");
    fleet.until(|_| show("c")["is"] == "in force" && show("d")["is"] == "in force");
    let (code, done) = fleet.ask(&["scope", "remove", "c", "d"]);
    assert_eq!(code, 0, "{done}");
    assert_eq!(
        (&show("c")["is"], &show("a.b")["fields"]["lanes"]),
        (&"not there".into(), &"9".into())
    );
}
