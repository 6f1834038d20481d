//! `tansy-scenario`: runs a scenario with real processes on loopback and audits the recorded network traffic.

use std::process::ExitCode;

fn main() -> ExitCode {
    tansy_scenario::cli::main()
}
