//! The machine-readable output of the programs keeps its keys and the types of its values.
//!
//! The tests run operators' commands against a fleet of one front end. `fixtures/printed-keys.txt` has for each command the exit code,
//! and the path and type of every value in the output of the version that was recorded.

use serde_json::Value;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::Command;
use std::time::Duration;
use tansy_compatibility_tests::fixture;
use tansy_test_support::address::ReservedAddress;
use tansy_test_support::fleet::{
    self, front_end_command, holds_lease_and_session, reserve_addresses,
};
use tansy_test_support::folder::TestFolder;
use tansy_test_support::process::ServerProcess;
use tansy_test_support::wait::poll_until;

const SETTINGS: &str = r#"
classes: chat: {aim: 1s, deadline: 2s}
functions: chat: {class: "chat", memory: 1MB}
fleet: {name: "pool", seats: [{name: "f0", address: "VOTER"}]}
"#;
/// Limit on waiting for the front end.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A running front end, which is killed when this value is dropped.
struct FrontEnd {
    process: ServerProcess,
    address: ReservedAddress,
    folder: TestFolder,
}

impl FrontEnd {
    fn start(name: &str) -> FrontEnd {
        let folder = TestFolder::new(&format!("programs-{name}")).expect("a folder");
        let address = reserve_addresses(77, 1).expect("a port").remove(0);
        let text = settings(address.address());
        let settings = folder.write("settings.cue", &text).expect("a file");
        let gateway = Path::new(env!("CARGO_BIN_EXE_compatibility-gateway"));
        let mut command = front_end_command(gateway, &settings, "f0", address.address());
        command.arg("--state").arg(folder.file("f0.redb"));
        let process = ServerProcess::start(&mut command).expect("a front end");
        let line = process.ready_line();
        let keys: Vec<&str> = line
            .split_whitespace()
            .map(|word| word.split('=').next().unwrap_or(word))
            .collect();
        assert_eq!(keys, ["ready", "grpc", "http", "peers"], "{line}");
        let front_end = FrontEnd {
            process,
            address,
            folder,
        };
        front_end.wait_for(&["status"], |status| {
            holds_lease_and_session(&status["fronts"][0])
        });
        front_end
    }

    /// Repeats a command until its result is as expected.
    fn wait_for(&self, arguments: &[&str], is_expected: impl Fn(&Value) -> bool) {
        poll_until(TIMEOUT, || {
            let (_, value) = self.run_command(arguments);
            if is_expected(&value) {
                Ok(())
            } else {
                Err(format!("{arguments:?}: {value}"))
            }
        });
    }

    /// Runs an operator's command. Returns its exit code and its output.
    fn run_command(&self, arguments: &[&str]) -> (i32, Value) {
        let mut program = Command::new(env!("CARGO_BIN_EXE_compatibility-fleet"));
        program.current_dir(self.folder.path());
        let result = fleet::run_operator_command(&mut program, self.address.address(), arguments);
        result.unwrap_or_else(|error| panic!("{error}"))
    }

    fn get(&self, target: &str) -> String {
        let mut stream = TcpStream::connect(self.process.address("http").expect("an address"))
            .expect("a connection");
        let request = format!("GET {target} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).expect("a request");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        answer
    }
}

fn settings(voter: SocketAddr) -> String {
    SETTINGS.replace("VOTER", &voter.to_string())
}

/// Collects the path and type of a value and of all values in it.
fn collect_keys(path: &str, value: &Value, all: &mut BTreeSet<String>) {
    let kind = match value {
        Value::Null => "null",
        Value::Bool(_) => "bool",
        Value::Number(_) => "number",
        Value::String(_) => "string",
        Value::Array(_) => "array",
        Value::Object(_) => "object",
    };
    all.insert(format!("  {path} {kind}"));
    match value {
        Value::Array(items) => items
            .iter()
            .for_each(|v| collect_keys(&format!("{path}[]"), v, all)),
        Value::Object(fields) => {
            for (name, field) in fields {
                collect_keys(&format!("{path}.{name}"), field, all);
            }
        }
        _ => {}
    }
}

#[test]
fn the_keys_of_printed_values_are_unchanged() {
    let front_end = FrontEnd::start("printed");
    let changed = settings(front_end.address.address()).replace("2s", "3s");
    let changed = front_end.folder.write("changed.cue", &changed);
    changed.expect("a file");
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
            // A function can change again only once its last change is in force.
            front_end.wait_for(&["scope", "show", "f"], |f| f[0]["is"] == "in force");
        }
        let (code, value) = front_end.run_command(arguments);
        let mut all = BTreeSet::new();
        collect_keys("", &value, &mut all);
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
fn the_http_port_answers_as_before() {
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
