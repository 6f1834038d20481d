//! What the tests with real processes share.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The gateway, built beside this program.
pub fn gateway() -> PathBuf {
    let dir = Path::new(env!("CARGO_BIN_EXE_tansy-fleet"))
        .parent()
        .expect("a directory");
    let path = dir.join("tansy-gateway");
    assert!(
        path.exists(),
        "cargo build -p tansy-gateway first: {} is not there",
        path.display()
    );
    path
}

/// Runs `tansy-fleet --json` against this front end: its exit code and its result.
pub fn ask(at: SocketAddr, arguments: &[&str]) -> (i32, serde_json::Value) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tansy-fleet"));
    command
        .args(["--json", "--at", &at.to_string()])
        .args(arguments);
    let out = command.output().expect("it starts");
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    let value =
        serde_json::from_str(&text).unwrap_or_else(|e| panic!("{arguments:?}: {e}: {text:?}"));
    (out.status.code().unwrap_or(-1), value)
}
