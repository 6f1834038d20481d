//! The command-line program: measures each size in a child process and prints each run as one line of JSON.

use crate::campaign::campaign;
use crate::measure::OutputRecord;
use crate::{measure_in_process, Args, BenchError};
use serde_json::{json, Value};
use std::io::Write;
use std::process::{Command, ExitCode, Output, Stdio};

/// Entry point of the program. Prints errors on one line. Exit codes: 0 success, 1 a measurement failed, 2 the arguments
/// were rejected.
pub fn main(args: &Args) -> ExitCode {
    match run(args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Runs the requested measurements, prints a line for each run, and returns whether all of them succeeded.
pub fn run(args: &Args) -> Result<bool, BenchError> {
    if args.in_process {
        let mut output = measure_in_process(args)?;
        let mut command = vec![program_name()];
        command.extend(subcommand_words());
        command.extend(args.command_line());
        output.insert("command", json!(command.join(" ")));
        print_line(&output.json(true));
        return Ok(true);
    }
    if !args.all {
        print_line(&measure_in_child(args)?);
        return Ok(true);
    }
    Ok(run_campaign())
}

fn run_campaign() -> bool {
    let mut all_measured = true;
    for args in campaign() {
        match measure_in_child(&args) {
            Ok(line) => print_line(&line),
            Err(error) => {
                all_measured = false;
                print_line(&failed_run(&args, &error));
            }
        }
    }
    all_measured
}

/// The output line of a failed run.
fn failed_run(args: &Args, error: &BenchError) -> Value {
    let mut output = OutputRecord::default();
    output.insert("tool", json!("state"));
    output.insert("command", json!(args.command_line().join(" ")));
    output.insert("seed", json!(args.seed));
    output.add_note(error.to_string());
    output.json(false)
}

/// Measures one size in a child process and returns the line that it printed.
fn measure_in_child(args: &Args) -> Result<Value, BenchError> {
    args.check_size()?;
    let failed = |error| BenchError::failed("this program", error);
    let program = std::env::current_exe().map_err(failed)?;
    let mut words = subcommand_words();
    words.extend(args.command_line());
    let output = Command::new(program)
        .args(&words)
        .arg("--here")
        .stdin(Stdio::null())
        .stderr(Stdio::piped())
        .output()
        .map_err(failed)?;
    match last_line(&output) {
        Some(line) if output.status.success() => Ok(line),
        _ => Err(BenchError::failed(
            &words.join(" "),
            failure_reason(&output),
        )),
    }
}

fn last_line(output: &Output) -> Option<Value> {
    let text = String::from_utf8_lossy(&output.stdout);
    serde_json::from_str(text.lines().last()?).ok()
}

/// The first line on standard error, or the exit status if there is none.
fn failure_reason(output: &Output) -> String {
    let errors = String::from_utf8_lossy(&output.stderr);
    errors
        .lines()
        .next()
        .map_or_else(|| output.status.to_string(), str::to_string)
}

/// The arguments before the first option: the subcommand, if another program embeds this one as a subcommand.
fn subcommand_words() -> Vec<String> {
    std::env::args()
        .skip(1)
        .take_while(|word| !word.starts_with('-'))
        .collect()
}

fn program_name() -> String {
    let program = std::env::current_exe().unwrap_or_default();
    program
        .file_name()
        .map_or_else(String::new, |name| name.to_string_lossy().into_owned())
}

fn print_line(line: &Value) {
    let mut stdout = std::io::stdout();
    let _ = writeln!(stdout, "{line}").and_then(|()| stdout.flush());
}
