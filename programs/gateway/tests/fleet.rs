//! Tests that invalid fleet settings and arguments are rejected, and that a front end on the platform accepts no fleet arguments.

use std::process::{Command, Output};
use tansy_test_support::fleet::ANY_PORT;
use tansy_test_support::folder::TestFolder;

const FLEET: &str = r#"
classes: chat: {aim: 1s, deadline: 2s}
functions: echo: {class: "chat", memory: 100MB}
fleet: {name: "north", seats: [{name: "a", address: "127.0.0.1:7001"}]}
"#;

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tansy-gateway"));
    command
        .args(arguments)
        .env_remove("EDGE_CONFIG")
        .output()
        .expect("the program starts")
}

fn errors(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn fleet_arguments_are_rejected_on_the_platform() {
    for [option, value] in [
        ["--peers", "127.0.0.1:0"],
        ["--name", "a"],
        ["--state", "/nowhere/seat.redb"],
        ["--via", "127.0.0.1:1=127.0.0.1:2"],
        ["--settings", "fleet.cue"],
    ] {
        let output = run(&["--platform", option, value]);
        let errors = errors(&output);
        assert_eq!(output.status.code(), Some(2), "{option} {value}: {errors}");
        assert!(
            errors.contains("cannot be used with"),
            "{option} {value}: {errors}"
        );
    }
}

#[test]
fn invalid_fleet_arguments_are_rejected_with_the_expected_value() {
    let folder = TestFolder::new("gateway-fleet").expect("a folder");
    let settings = |name: &str, text: &str| {
        let path = folder.write(name, text).expect("a file");
        path.display().to_string()
    };
    let fleet = settings("whole.cue", FLEET);
    let alone = settings("alone.cue", &FLEET.replace("fleet:", "// fleet:"));
    let two_voters = FLEET.replace(
        "\"127.0.0.1:7001\"}",
        "\"127.0.0.1:7001\"}, {name: \"b\", address: \"127.0.0.1:7002\"}",
    );
    let two_voters = settings("two.cue", &two_voters);
    let cases: [(&str, &[&str], &str); 5] = [
        (&fleet, &[], "expected a name, for example --name a"),
        (&fleet, &["--name", "a"], "expected the same address"),
        (
            &fleet,
            &["--name", "b", "--record", "/tmp/none"],
            "--record",
        ),
        (
            &alone,
            &["--name", "b"],
            "expected fleet: {...} in the settings",
        ),
        (
            &two_voters,
            &["--name", "b"],
            "expected 1, 3, 5 or 7 front ends that store the replicated log",
        ),
    ];
    for (file, arguments, message) in cases {
        let output = run(&[&["--settings", file][..], arguments].concat());
        let errors = errors(&output);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {errors}");
        assert!(errors.contains(message), "{arguments:?}: {errors}");
    }
    // A voter can't start without the file of its log.
    let voter = ["--settings", &fleet, "--name", "a", "--peers"];
    let ports = ["127.0.0.1:7001", "--listen", ANY_PORT, "--http", ANY_PORT];
    let output = run(&[voter, ports].concat());
    let errors = errors(&output);
    assert_eq!(output.status.code(), Some(1), "{errors}");
    assert!(
        errors.contains("--state") || errors.contains("in use"),
        "{errors}"
    );
}
