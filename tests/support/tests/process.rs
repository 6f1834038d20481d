//! Programs that say where they serve.

use std::process::Command;
use tansy_test_support::process::{ProcessError, ServerProcess};

fn shell(script: &str) -> Result<ServerProcess, ProcessError> {
    ServerProcess::start(Command::new("sh").args(["-c", script]))
}

#[test]
fn addresses_are_read_from_the_ready_line() {
    let script = "echo ready grpc=127.0.0.1:5 http=127.0.0.2:6; echo rest; exit 3";
    let mut process = shell(script).expect("it says that it is ready");
    assert_eq!(process.address("http").expect("it is there").port(), 6);
    assert_eq!(process.address("grpc").expect("it is there").port(), 5);
    let error = process.address("peers").expect_err("it is not there");
    assert!(matches!(error, ProcessError::NoAddress { ref name, .. } if name == "peers"));
    let (status, rest) = process.wait().expect("it ends");
    assert_eq!((status.code(), rest.as_str()), (Some(3), "rest\n"));
    assert!(process.has_ended());
}

#[test]
fn a_program_without_a_ready_line_did_not_start() {
    for (script, said) in [("echo no", "no\n"), ("exit 0", "")] {
        let error = shell(script).expect_err("it is not ready");
        assert!(matches!(error, ProcessError::NotReady { ref line, .. } if line == said));
    }
    let error = ServerProcess::start(&mut Command::new("/none")).expect_err("there is none");
    assert!(matches!(error, ProcessError::Start { .. }));
}

#[test]
fn it_ends_by_sigterm_and_with_its_value() {
    let script =
        "trap 'echo last; exit 0' TERM; echo ready a=127.0.0.1:1; while :; do sleep 0.01; done";
    let mut process = shell(script).expect("it says that it is ready");
    let (status, rest) = process.stop().expect("it ends");
    assert_eq!((status.code(), rest.as_str()), (Some(0), "last\n"));
    let process = shell("echo ready a=127.0.0.1:1; exec sleep 60").expect("it is ready");
    let folder = format!("/proc/{}", process.id());
    assert!(std::path::Path::new(&folder).exists());
    drop(process);
    assert!(!std::path::Path::new(&folder).exists(), "it is killed");
}

#[test]
fn an_output_that_is_closed_is_not_read() {
    let script = "trap '' PIPE; echo ready a=127.0.0.1:1; read line; echo last; exit 4";
    let mut command = Command::new("sh");
    command
        .args(["-c", script])
        .stdin(std::process::Stdio::null());
    let mut process = ServerProcess::start(&mut command).expect("it is ready");
    process.close_output();
    let (status, rest) = process.wait().expect("it ends");
    assert_eq!((status.code(), rest.as_str()), (Some(4), ""));
}
