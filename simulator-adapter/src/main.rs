#![forbid(unsafe_code)]
//! Plays the router's decisions on a simulator's wire: messages as JSON lines from standard input, commands as JSON lines
//! to standard output.
//!
//! It is for a simulator that drives one or several front ends, each with a [`tansyrouter::Router`] of its own. It is not
//! for calls over a network, and it decides nothing: each message becomes an event of a router, each action of a router
//! a command.
//!
//! - [`wire`]: the messages and commands as types.
//! - [`session`]: batches of messages, each answered once it is complete.
//! - [`front_end`]: the front ends and their tables of names.
//! - [`event`], [`command`]: messages as events of the router, actions of the router as commands.

mod command;
mod error;
mod event;
mod front_end;
mod session;
mod wire;

use std::process::ExitCode;

/// Bytes of commands that are kept before they are written.
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
