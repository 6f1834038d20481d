//! The operators' program of a fleet, for the tests of this package.

fn main() -> std::process::ExitCode {
    tansy_fleet::main(std::env::args_os())
}
