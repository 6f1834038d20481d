//! `tansy-lab`: the former name of `tansy-sim`, with the same command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    tansy_simulation::cli::main()
}
