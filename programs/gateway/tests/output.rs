//! What the program prints, and to whom.

use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

#[test]
fn a_reader_that_has_gone_is_no_reason_to_end_in_a_panic() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_tansy-gateway"))
        .args([
            "--embedded",
            "--listen",
            "127.0.0.1:0",
            "--http",
            "127.0.0.1:0",
            "--log",
            "warn",
        ])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the gateway starts");
    let mut line = String::new();
    BufReader::new(child.stdout.take().expect("its output"))
        .read_line(&mut line)
        .expect("a line");
    assert!(line.starts_with("ready grpc=127.0.0.1:"), "{line}");
    // The reader is gone here; the account has nowhere to go.
    kill_process(Pid::from_child(&child), Signal::TERM).expect("it runs");
    assert_eq!(child.wait().expect("it ends").code(), Some(0));
}
