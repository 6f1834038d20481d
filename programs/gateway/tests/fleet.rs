//! The gateway's place in a fleet: what it is told it must be told right, and on the platform it has none.

use std::path::PathBuf;
use std::process::{Command, Output};

const FLEET: &str = r#"
classes: chat: {aim: 1s, deadline: 2s}
functions: echo: {class: "chat", memory: 100MB}
fleet: {name: "north", seats: [{name: "a", address: "127.0.0.1:7001"}]}
"#;

fn settings(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!(
        "tansy-gateway-fleet-{}-{name}.cue",
        std::process::id()
    ));
    std::fs::write(&path, text).expect("a file");
    path
}

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tansy-gateway"));
    command
        .args(arguments)
        .env_remove("EDGE_CONFIG")
        .output()
        .expect("it starts")
}

#[test]
fn on_the_platform_there_is_no_fleet() {
    for wanted in [
        ["--peers", "127.0.0.1:0"],
        ["--name", "a"],
        ["--state", "/nowhere/seat.redb"],
        ["--via", "127.0.0.1:1=127.0.0.1:2"],
        ["--settings", "fleet.cue"],
    ] {
        let out = run(&["--platform", wanted[0], wanted[1]]);
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(2), "{wanted:?}: {text}");
        assert!(text.contains("cannot be used with"), "{wanted:?}: {text}");
    }
}

#[test]
fn a_place_in_a_fleet_that_makes_no_sense_is_refused_with_what_would() {
    let fleet = settings("whole", FLEET);
    let alone = settings("alone", &FLEET.replace("fleet:", "// fleet:"));
    let two = FLEET.replace(
        "\"127.0.0.1:7001\"}",
        "\"127.0.0.1:7001\"}, {name: \"b\", address: \"127.0.0.1:7002\"}",
    );
    let two = settings("two", &two);
    let at = |path: &PathBuf| path.display().to_string();
    let cases: [(&PathBuf, &[&str], &str); 5] = [
        (&fleet, &[], "want one, as --name a"),
        (&fleet, &["--name", "a"], "want the same address"),
        (
            &fleet,
            &["--name", "b", "--record", "/tmp/none"],
            "--record",
        ),
        (
            &alone,
            &["--name", "b"],
            "want fleet: {...} in the settings",
        ),
        (
            &two,
            &["--name", "b"],
            "want 1, 3, 5 or 7 front ends that keep the agreed log",
        ),
    ];
    for (file, more, wanted) in cases {
        let mut arguments = vec!["--settings".to_string(), at(file)];
        arguments.extend(more.iter().map(|a| a.to_string()));
        let out = run(&arguments.iter().map(String::as_str).collect::<Vec<_>>());
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(2), "{more:?}: {text}");
        assert!(text.contains(wanted), "{more:?}: {text}");
    }
    // The seat without its file can't begin.
    let seat = [
        "--settings",
        &at(&fleet),
        "--name",
        "a",
        "--peers",
        "127.0.0.1:7001",
        "--listen",
        "127.0.0.1:0",
    ];
    let out = run(&[&seat[..], &["--http", "127.0.0.1:0"]].concat());
    let text = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(1), "{text}");
    assert!(
        text.contains("--state") || text.contains("in use"),
        "{text}"
    );
    for path in [fleet, alone, two] {
        let _ = std::fs::remove_file(path);
    }
}
