#![forbid(unsafe_code)]
//! Connects the router to a simulator: reads messages as JSON lines from standard input and writes commands as JSON
//! lines to standard output.
//!
//! The simulator drives one or several front ends, each with its own [`tansyrouter::Router`]. The adapter makes no
//! decisions and uses no network: it converts each message to a router event and each router action to a command.
//!
//! - [`wire`]: types of messages and commands.
//! - [`session`]: reads batches of messages and answers each when it is complete.
//! - [`front_end`]: the front ends and their name tables.
//! - [`event`], [`command`]: conversion of messages to router events and of router actions to commands.

mod command;
mod error;
mod event;
mod front_end;
mod session;
mod wire;

use std::process::ExitCode;

/// Size of the output buffer.
const OUTPUT_BUFFER_BYTES: usize = 1 << 16;

fn main() -> ExitCode {
    let mut input = std::io::stdin().lock();
    let stdout = std::io::stdout().lock();
    let mut output = std::io::BufWriter::with_capacity(OUTPUT_BUFFER_BYTES, stdout);
    match session::run(&mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tansyrouter-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
