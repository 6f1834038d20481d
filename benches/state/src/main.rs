//! `tansy-bench-state`: see `--help`.

use clap::Parser;
use std::process::ExitCode;

/// Measures the cost of state and decisions by number of functions, instances and front ends.
#[derive(Parser)]
#[command(name = "tansy-bench-state", version)]
struct Arguments {
    #[command(flatten)]
    state: tansy_bench_state::Args,
}

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) if !error.use_stderr() => {
            let _ = error.print();
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("{}", tansy_bench_state::one_line(&error));
            return ExitCode::from(2);
        }
    };
    tansy_bench_state::main(&arguments.state)
}
