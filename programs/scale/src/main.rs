//! `tansy-scale`: measures the cost of a fleet of front ends at a given size.

use std::process::ExitCode;

fn main() -> ExitCode {
    tansy_scale::main(std::env::args_os())
}
