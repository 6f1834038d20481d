//! Programs that the integration tests run.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use tansy_test_support::fleet;

/// Path of the gateway, built in the same target folder.
pub fn gateway() -> PathBuf {
    fleet::built_program("tansy-gateway").expect("run `cargo build -p tansy-gateway` first")
}

/// Runs `tansy-fleet --json` against this front end and returns its exit code and output.
pub fn ask(front_end: SocketAddr, arguments: &[&str]) -> (i32, serde_json::Value) {
    let mut program = Command::new(env!("CARGO_BIN_EXE_tansy-fleet"));
    fleet::run_operator_command(&mut program, front_end, arguments)
        .unwrap_or_else(|error| panic!("{error}"))
}
