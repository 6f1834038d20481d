//! `tansy-sim`: simulates fleets of front ends in virtual time.

use std::process::ExitCode;

fn main() -> ExitCode {
    tansy_simulation::cli::main()
}
