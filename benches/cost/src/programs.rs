//! Starts workers, proxies and gateways, and writes gateway settings.

use crate::arguments::Arguments;
use crate::error::{system_error, BenchError};
use crate::process::MeasuredProcess;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

/// Lanes per instance of `echo`: more than any measurement has open calls, so that calls never queue.
pub const UNLIMITED_LANES: usize = 4096;

/// Returns a command that runs a subcommand of this program.
pub fn own_command(subcommand: &str) -> Result<Command, BenchError> {
    let program =
        std::env::current_exe().map_err(system_error("finding the path of this program"))?;
    let mut command = Command::new(program);
    command.arg(subcommand);
    Ok(command)
}

/// Starts a worker process.
pub fn worker(arguments: &[&str]) -> Result<MeasuredProcess, BenchError> {
    MeasuredProcess::start(own_command("worker")?.args(arguments))
}

/// Starts two worker processes with one port each.
pub fn worker_pair(arguments: &[&str]) -> Result<[MeasuredProcess; 2], BenchError> {
    Ok([worker(arguments)?, worker(arguments)?])
}

/// Starts a pass-through proxy for these workers.
pub fn proxy(workers: &[SocketAddr]) -> Result<MeasuredProcess, BenchError> {
    let addresses = workers.iter().map(SocketAddr::to_string);
    MeasuredProcess::start(own_command("proxy")?.args(addresses))
}

/// Starts a gateway for these workers whose only function is `echo`.
pub fn gateway(
    arguments: &Arguments,
    workers: &[SocketAddr],
) -> Result<MeasuredProcess, BenchError> {
    gateway_with_functions(arguments, workers, 1, UNLIMITED_LANES)
}

/// Starts a gateway for these workers with `functions` functions of `lanes` lanes each.
pub fn gateway_with_functions(
    arguments: &Arguments,
    workers: &[SocketAddr],
    functions: usize,
    lanes: usize,
) -> Result<MeasuredProcess, BenchError> {
    let settings = settings_text(
        &function_names(functions),
        lanes,
        "max_held: 100000, streams: 100000, connections: 50000",
        workers,
    );
    let path = std::env::temp_dir().join(format!("tansy-bench-{}.cue", std::process::id()));
    write_file(&path, &settings)?;
    let process = gateway_with_settings(arguments, &path, "warn", &[]);
    // A leftover temporary file is harmless.
    let _ = std::fs::remove_file(path);
    process
}

/// Starts a gateway with a settings file and additional arguments.
pub fn gateway_with_settings(
    arguments: &Arguments,
    settings: &Path,
    log_level: &str,
    extra_arguments: &[String],
) -> Result<MeasuredProcess, BenchError> {
    let mut command = Command::new(&arguments.gateway);
    command.args(["--listen", "127.0.0.1:0", "--http", "127.0.0.1:0"]);
    command.args(["--log", log_level, "--settings"]);
    command.arg(settings).args(extra_arguments);
    MeasuredProcess::start(&mut command)
}

/// Returns gateway settings for these workers; `front` holds the fields of the section `front`.
pub fn settings_text(
    functions: &[String],
    lanes: usize,
    front: &str,
    workers: &[SocketAddr],
) -> String {
    let functions: Vec<String> = functions
        .iter()
        .map(|name| {
            format!("{name}: {{class: \"c\", lanes: {lanes}, memory: 1MB, load_time: 5ms}}")
        })
        .collect();
    let workers: Vec<String> = workers
        .iter()
        .enumerate()
        .map(|(index, address)| format!("{{name: \"w{index}\", address: \"{address}\"}}"))
        .collect();
    format!(
        "classes: c: {{aim: 60s, deadline: 120s}}\nfunctions: {{{}}}\nfront: {{{front}}}\nworkers: [{}]\n",
        functions.join(", "),
        workers.join(", ")
    )
}

/// Returns `count` function names: `echo` for a single function, otherwise `f0`, `f1` and so on.
pub fn function_names(count: usize) -> Vec<String> {
    if count == 1 {
        return vec!["echo".to_string()];
    }
    (0..count).map(|index| format!("f{index}")).collect()
}

/// Writes a text file, such as a settings file.
pub fn write_file(path: &Path, text: &str) -> Result<(), BenchError> {
    std::fs::write(path, text).map_err(system_error(path.display().to_string()))
}
