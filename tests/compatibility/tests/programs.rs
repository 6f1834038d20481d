//! What the programs print for programs has the keys, and the sorts of values, that it had.
//!
//! A fleet of one front end on loopback is asked as operators ask it. `fixtures/printed-keys.txt` has for each command its
//! exit code and the path and sort of every value that it printed, as the program of the day did.

use serde_json::Value;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tansy_compatibility_tests::fixture;
use tansy_test_support::address::ReservedAddress;

const SETTINGS: &str = r#"
classes: chat: {aim: 1s, deadline: 2s}
functions: chat: {class: "chat", memory: 1MB}
fleet: {name: "pool", seats: [{name: "f0", address: "SEAT"}]}
"#;
/// Time for the front end to begin to act.
const WITHIN: Duration = Duration::from_secs(30);

/// A running front end, which ends with this.
struct FrontEnd {
    folder: PathBuf,
    peers: SocketAddr,
    _reserved: ReservedAddress,
    http: SocketAddr,
    process: Child,
}

impl FrontEnd {
    fn start(name: &str) -> FrontEnd {
        let pid = std::process::id();
        let folder =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("programs-{pid}-{name}"));
        std::fs::create_dir_all(&folder).expect("a folder");
        let host = [127, 77, (pid % 250) as u8, 1 + (pid / 250 % 250) as u8];
        let reserved = ReservedAddress::on(host).expect("a port");
        let peers = reserved.address();
        let settings = folder.join("settings.cue");
        let text = SETTINGS.replace("SEAT", &peers.to_string());
        std::fs::write(&settings, text).expect("room on the disk");
        let mut process = Command::new(env!("CARGO_BIN_EXE_compatibility-gateway"))
            .arg("--settings")
            .arg(&settings)
            .args(["--name", "f0", "--peers", &peers.to_string()])
            .args(["--listen", "127.0.0.1:0", "--http", "127.0.0.1:0"])
            .args(["--log", "off", "--state"])
            .arg(folder.join("f0.redb"))
            .stdout(Stdio::piped())
            .spawn()
            .expect("it starts");
        let mut line = String::new();
        let out = process.stdout.take().expect("its output");
        BufReader::new(out).read_line(&mut line).expect("a line");
        let keys: Vec<&str> = line
            .split_whitespace()
            .map(|word| word.split('=').next().unwrap_or(word))
            .collect();
        assert_eq!(keys, ["ready", "grpc", "http", "peers"], "{line}");
        let http = line
            .split_whitespace()
            .find_map(|w| w.strip_prefix("http="));
        let http = http.and_then(|a| a.parse().ok()).expect("an address");
        let front_end = FrontEnd {
            folder,
            peers,
            _reserved: reserved,
            http,
            process,
        };
        front_end.wait_for_lease();
        front_end
    }

    fn wait_for_lease(&self) {
        self.until(&["status"], |status| {
            let front = &status["fronts"][0];
            front["lease_ms"].as_i64() > Some(0) && front["stay_s"].as_i64() > Some(0)
        });
    }

    /// Asks until the answer is as wanted.
    fn until(&self, arguments: &[&str], wanted: impl Fn(&Value) -> bool) {
        let end = Instant::now() + WITHIN;
        loop {
            let (_, value) = self.ask(arguments);
            if wanted(&value) {
                return;
            }
            assert!(Instant::now() < end, "{arguments:?}: {value}");
        }
    }

    /// The exit code and what is printed.
    fn ask(&self, arguments: &[&str]) -> (i32, Value) {
        let out = Command::new(env!("CARGO_BIN_EXE_compatibility-fleet"))
            .args(["--json", "--at", &self.peers.to_string()])
            .args(arguments)
            .current_dir(&self.folder)
            .output()
            .expect("it starts");
        let text = String::from_utf8_lossy(&out.stdout).into_owned();
        let value = serde_json::from_str(&text);
        let value = value.unwrap_or_else(|e| panic!("{arguments:?}: {e}: {text:?}"));
        (out.status.code().unwrap_or(-1), value)
    }

    fn get(&self, target: &str) -> String {
        let mut stream = TcpStream::connect(self.http).expect("the side port");
        let request = format!("GET {target} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).expect("a request");
        stream.set_read_timeout(Some(WITHIN)).expect("a time-out");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        answer
    }
}

impl Drop for FrontEnd {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The path and sort of every value within this one.
fn keys(path: &str, value: &Value, all: &mut BTreeSet<String>) {
    let sort = match value {
        Value::Null => "null",
        Value::Bool(_) => "bool",
        Value::Number(_) => "number",
        Value::String(_) => "string",
        Value::Array(_) => "array",
        Value::Object(_) => "object",
    };
    all.insert(format!("  {path} {sort}"));
    match value {
        Value::Array(items) => items
            .iter()
            .for_each(|v| keys(&format!("{path}[]"), v, all)),
        Value::Object(fields) => {
            for (name, v) in fields {
                keys(&format!("{path}.{name}"), v, all);
            }
        }
        _ => {}
    }
}

#[test]
fn what_the_programs_print_has_the_keys_that_it_had() {
    let front_end = FrontEnd::start("printed");
    let changed = SETTINGS
        .replace("SEAT", &front_end.peers.to_string())
        .replace("2s", "3s");
    std::fs::write(front_end.folder.join("changed.cue"), changed).expect("room on the disk");
    let mut printed = String::new();
    for arguments in [
        &["status"][..],
        &["propose", "changed.cue", "--dry-run"],
        &["propose", "changed.cue", "--why", "longer"],
        &["history"],
        &["diff", "1", "2"],
        &["seats"],
        &["scope", "set", "f", "--class", "chat", "--memory", "100MB"],
        &["scope", "show", "f", "g"],
        &["scope", "remove", "f"],
        &["abandon"],
        &["revert", "9"],
        &["dismiss", "nobody"],
        &["roll", "status"],
    ] {
        if arguments.starts_with(&["scope", "remove"]) {
            // A function may change again only once its last change is settled.
            front_end.until(&["scope", "show", "f"], |f| f[0]["is"] == "in force");
        }
        let (code, value) = front_end.ask(arguments);
        let mut all = BTreeSet::new();
        keys("", &value, &mut all);
        let lines: Vec<String> = all.into_iter().collect();
        printed += &format!(
            "{}: exit {code}\n{}\n",
            arguments.join(" "),
            lines.join("\n")
        );
    }
    assert_eq!(printed, fixture::text("printed-keys.txt"), "{printed}");
}

#[test]
fn the_side_port_answers_as_before() {
    let front_end = FrontEnd::start("side-port");
    let account = front_end.get("/account");
    let (head, body) = account.split_once("\r\n\r\n").expect("an answer");
    assert!(head.starts_with("HTTP/1.1 200 OK\r\n"), "{head}");
    let counts: Vec<(&str, Option<u64>)> = body
        .split_whitespace()
        .map(|word| word.split_once('=').expect("a count"))
        .map(|(name, count)| (name, count.parse().ok()))
        .collect();
    let names = [
        "taken",
        "served",
        "refused",
        "failed",
        "departed",
        "unknown",
        "attempts",
        "pieces",
        "loads",
        "vain",
        "asks",
        "unloads",
        "probes",
        "drops",
        "guarded",
        "contested",
        "open",
        "parked",
    ];
    assert_eq!(counts, names.map(|name| (name, Some(0))));
    assert!(front_end.get("/live").starts_with("HTTP/1.1 200 OK\r\n"));
    assert!(front_end
        .get("/other")
        .starts_with("HTTP/1.1 404 Not Found\r\n"));
}
