//! `tansy-sim` also works under its former name `tansy-lab`.

use std::process::{Command, Output};

fn output_of(program: &str, arguments: &[&str]) -> Output {
    Command::new(program)
        .args(arguments)
        .output()
        .expect("the program starts")
}

#[test]
fn the_former_name_takes_the_same_command_line() {
    let lines: [&[&str]; 3] = [
        &["agree", "--front-ends", "7", "--seeds", "2", "--json"],
        &["roll", "--rolls", "1", "--null", "--json"],
        &["agree", "--front-ends", "7", "--no-such-flag"],
    ];
    for arguments in lines {
        let now = output_of(env!("CARGO_BIN_EXE_tansy-sim"), arguments);
        let former = output_of(env!("CARGO_BIN_EXE_tansy-lab"), arguments);
        assert_eq!(now.stdout, former.stdout, "{arguments:?}");
        assert_eq!(now.status.code(), former.status.code(), "{arguments:?}");
    }
}

#[test]
fn the_former_name_simulates_the_requested_seeds() {
    let arguments = ["agree", "--front-ends", "7", "--seeds", "2", "--json"];
    let output = output_of(env!("CARGO_BIN_EXE_tansy-lab"), &arguments);
    let text = String::from_utf8(output.stdout).expect("valid UTF-8");
    assert!(output.status.success(), "{text}");
    let summary: serde_json::Value = serde_json::from_str(&text).expect("one line of JSON");
    assert_eq!(summary["fronts"], 7);
    assert_eq!(summary["seeds"], 2);
    assert_eq!(summary["broken"], serde_json::json!([]));
}
