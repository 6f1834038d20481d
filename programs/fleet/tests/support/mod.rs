//! What the tests with real processes share.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use tansy_test_support::fleet;

/// The gateway, built beside this program.
pub fn gateway() -> PathBuf {
    fleet::built_program("tansy-gateway").expect("cargo build -p tansy-gateway first")
}

/// Runs `tansy-fleet --json` against this front end: its exit code and its result.
pub fn ask(front_end: SocketAddr, arguments: &[&str]) -> (i32, serde_json::Value) {
    let mut program = Command::new(env!("CARGO_BIN_EXE_tansy-fleet"));
    fleet::run_operator_command(&mut program, front_end, arguments)
        .unwrap_or_else(|error| panic!("{error}"))
}
