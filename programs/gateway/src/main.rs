//! `tansy-gateway`: see `--help`.

fn main() -> std::process::ExitCode {
    tansy_gateway::cli::main(std::env::args_os())
}
