//! The program `tansy-gateway`, for the tests of this package.

fn main() -> std::process::ExitCode {
    tansy_gateway::cli::main(std::env::args_os())
}
