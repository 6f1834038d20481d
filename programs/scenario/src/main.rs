//! `tansy-scenario`: runs a scenario with real processes on loopback and audits what passed on the sockets.

use std::process::ExitCode;

fn main() -> ExitCode {
    tansy_scenario::cli::main()
}
