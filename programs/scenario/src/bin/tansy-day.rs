//! `tansy-day`: the former name of `tansy-scenario`, with the same command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    tansy_scenario::cli::main()
}
