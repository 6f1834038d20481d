//! The `tansy-worker` program; see `--help`.

fn main() -> std::process::ExitCode {
    tansy_worker::main(std::env::args_os())
}
