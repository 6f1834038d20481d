//! The program works under its former name, `tansy-day`.

use std::process::{Command, Output};

fn output_of(program: &str, arguments: &[&str]) -> Output {
    Command::new(program)
        .args(arguments)
        .output()
        .expect("the program starts")
}

#[test]
fn the_former_name_accepts_the_same_command_line() {
    let lines: [&[&str]; 5] = [
        &["--workers", "3"],
        &["--scenario", "agree", "--rounds", "0"],
        &["--scenario", "agree", "--seats", "2"],
        &["--scenario", "roll", "--front-ends", "7", "--least", "2"],
        &["--scenario", "no-such-scenario"],
    ];
    for arguments in lines {
        let current = output_of(env!("CARGO_BIN_EXE_tansy-scenario"), arguments);
        let former = output_of(env!("CARGO_BIN_EXE_tansy-day"), arguments);
        assert!(!former.status.success(), "{arguments:?}");
        assert_eq!(current.status.code(), former.status.code(), "{arguments:?}");
        assert_eq!(current.stdout, former.stdout, "{arguments:?}");
        assert_eq!(current.stderr, former.stderr, "{arguments:?}");
    }
}

#[test]
fn the_former_name_runs_a_scenario_with_its_own_processes() {
    let arguments = ["--quiet", "--seconds", "2", "--rate", "50", "--seed", "4"];
    let output = output_of(env!("CARGO_BIN_EXE_tansy-day"), &arguments);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(0), "{text}");
    assert!(text.contains("clients: begun 100 served "), "{text}");
    assert!(
        text.ends_with("verdict: no rule broken, no call with two attempts open\n"),
        "{text}"
    );
}
