//! Child processes: the `ready` line, signals, exit status and output.

use std::process::Command;
use tansy_test_support::process::{ProcessError, ServerProcess};

fn shell(script: &str) -> Result<ServerProcess, ProcessError> {
    ServerProcess::start(Command::new("sh").args(["-c", script]))
}

#[test]
fn addresses_are_read_from_the_ready_line() {
    let script = "echo ready grpc=127.0.0.1:5 http=127.0.0.2:6; echo rest; exit 3";
    let mut process = shell(script).expect("a ready line");
    assert_eq!(process.address("http").expect("an address").port(), 6);
    assert_eq!(process.address("grpc").expect("an address").port(), 5);
    let error = process.address("peers").expect_err("no such address");
    assert!(matches!(error, ProcessError::NoAddress { ref name, .. } if name == "peers"));
    let (status, rest) = process.wait().expect("an exit status");
    assert_eq!((status.code(), rest.as_str()), (Some(3), "rest\n"));
    assert!(process.has_ended());
}

#[test]
fn a_program_without_a_ready_line_is_an_error() {
    for (script, output) in [("echo no", "no\n"), ("exit 0", "")] {
        let error = shell(script).expect_err("no ready line");
        assert!(matches!(error, ProcessError::NotReady { ref line, .. } if line == output));
    }
    let error = ServerProcess::start(&mut Command::new("/none")).expect_err("no such program");
    assert!(matches!(error, ProcessError::Start { .. }));
}

#[test]
fn a_process_ends_by_sigterm_and_is_killed_when_dropped() {
    let script =
        "trap 'echo last; exit 0' TERM; echo ready a=127.0.0.1:1; while :; do sleep 0.01; done";
    let mut process = shell(script).expect("a ready line");
    let (status, rest) = process.stop().expect("an exit status");
    assert_eq!((status.code(), rest.as_str()), (Some(0), "last\n"));
    let process = shell("echo ready a=127.0.0.1:1; exec sleep 60").expect("a ready line");
    let folder = format!("/proc/{}", process.id());
    assert!(std::path::Path::new(&folder).exists());
    drop(process);
    assert!(
        !std::path::Path::new(&folder).exists(),
        "the process still runs"
    );
}

#[test]
fn a_closed_output_is_not_read() {
    let script = "trap '' PIPE; echo ready a=127.0.0.1:1; read line; echo last; exit 4";
    let mut command = Command::new("sh");
    command
        .args(["-c", script])
        .stdin(std::process::Stdio::null());
    let mut process = ServerProcess::start(&mut command).expect("a ready line");
    process.close_output();
    let (status, rest) = process.wait().expect("an exit status");
    assert_eq!((status.code(), rest.as_str()), (Some(4), ""));
}
