//! The program `tansy-fleet`.

fn main() -> std::process::ExitCode {
    tansy_fleet::main(std::env::args_os())
}
