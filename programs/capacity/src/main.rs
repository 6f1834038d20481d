//! The command-line program `tansy-capacity`.

use clap::Parser;

/// Records benchmark runs and generates the capacity page from them.
#[derive(Parser)]
#[command(name = "tansy-capacity", version)]
struct Arguments {
    #[command(subcommand)]
    command: tansy_capacity::Command,
}

fn main() -> std::process::ExitCode {
    Arguments::parse().command.run()
}
