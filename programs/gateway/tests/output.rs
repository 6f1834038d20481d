//! Tests that a closed standard output does not affect the program.

use rustix::process::Signal;
use std::process::Command;
use tansy_test_support::fleet::ANY_PORT;
use tansy_test_support::process::ServerProcess;

#[test]
fn a_closed_standard_output_does_not_cause_a_panic() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tansy-gateway"));
    command
        .args(["--embedded", "--listen", ANY_PORT, "--http", ANY_PORT])
        .args(["--log", "warn"]);
    let mut gateway = ServerProcess::start(&mut command).expect("the gateway starts");
    let line = gateway.ready_line();
    assert!(line.starts_with("ready grpc=127.0.0.1:"), "{line}");
    // The account line that is printed at the shutdown can't be written.
    gateway.close_output();
    gateway.signal(Signal::TERM).expect("the gateway runs");
    let (status, _) = gateway.wait().expect("the gateway exits");
    assert_eq!(status.code(), Some(0));
}
