//! What the program prints, and to whom.

use rustix::process::Signal;
use std::process::Command;
use tansy_test_support::fleet::ANY_PORT;
use tansy_test_support::process::ServerProcess;

#[test]
fn a_reader_that_has_gone_is_no_reason_to_end_in_a_panic() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tansy-gateway"));
    command
        .args(["--embedded", "--listen", ANY_PORT, "--http", ANY_PORT])
        .args(["--log", "warn"]);
    let mut gateway = ServerProcess::start(&mut command).expect("the gateway starts");
    let line = gateway.ready_line();
    assert!(line.starts_with("ready grpc=127.0.0.1:"), "{line}");
    // From here on the account has nowhere to go.
    gateway.close_output();
    gateway.signal(Signal::TERM).expect("it runs");
    let (status, _) = gateway.wait().expect("it ends");
    assert_eq!(status.code(), Some(0));
}
