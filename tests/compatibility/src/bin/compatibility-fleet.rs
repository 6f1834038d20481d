//! The operator's program `tansy-fleet`, for the tests of this package.

fn main() -> std::process::ExitCode {
    tansy_fleet::main(std::env::args_os())
}
