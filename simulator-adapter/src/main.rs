#![forbid(unsafe_code)]
//! Plays the router's decisions on a simulator's wire: standard input to standard output. Decides nothing.
#![allow(clippy::too_many_lines)] // docs/ROADMAP.md, "Readable code": still to be split.

mod table;
mod wire;

use std::io::{BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut input = std::io::stdin().lock();
    let mut output = std::io::BufWriter::with_capacity(1 << 16, std::io::stdout().lock());
    match run(&mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("tansyrouter-simulator-adapter: {fault}");
            ExitCode::FAILURE
        }
    }
}

/// Reads batches until the input ends; each is answered once it is complete.
fn run(input: &mut dyn BufRead, output: &mut dyn Write) -> Result<(), String> {
    let mut table = table::Table::default();
    let mut text = String::new();
    let mut number = 0u64;
    let mut batch: Option<u64> = None;
    loop {
        text.clear();
        let got = input
            .read_line(&mut text)
            .map_err(|e| format!("line {}: {e}", number + 1))?;
        number += 1;
        if got == 0 {
            return match batch {
                None => Ok(()),
                Some(seq) => Err(format!("line {number}: the input ends inside batch {seq}")),
            };
        }
        let at = |e: String| format!("line {number}: {e}");
        let line: wire::Line =
            serde_json::from_str(text.trim_end()).map_err(|e| at(e.to_string()))?;
        match line {
            wire::Line::Clock { moment_s, seq } => {
                if batch.is_some() {
                    return Err(at("a Clock inside a batch".into()));
                }
                batch = Some(seq);
                table.set_clock(moment_s);
            }
            wire::Line::Commit {} => {
                let seq = batch
                    .take()
                    .ok_or_else(|| at("a Commit outside a batch".into()))?;
                table
                    .reply(seq, output)
                    .map_err(|e| at(format!("writing the reply: {e}")))?;
            }
            _ if batch.is_none() => return Err(at("an event outside a batch".into())),
            event => table.take(event).map_err(at)?,
        }
    }
}
