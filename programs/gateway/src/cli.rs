//! The program's arguments, logs and exit codes.

use crate::{platform, Error, Gateway, Options, EMBEDDED};
use clap::{Parser, ValueEnum};
use std::ffi::OsString;
use std::io::{IsTerminal, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

/// A front end for gRPC inference calls of functions that are loaded on demand.
///
/// It takes calls by the Open Inference Protocol v2, decides where each goes, and streams the results back. Once it
/// serves it prints `ready grpc=ADDRESS http=ADDRESS` on standard output; logs go to standard error.
///
/// Exit codes: 0 after SIGTERM or SIGINT, 1 if it could not go on, 2 for wrong arguments or settings.
#[derive(Parser)]
#[command(name = "tansy-gateway", version)]
struct Arguments {
    /// The settings file.
    #[arg(long, required_unless_present_any = ["embedded", "platform"])]
    settings: Option<PathBuf>,
    /// Start four stand-in workers in this process, with built-in settings unless --settings names others.
    #[arg(long)]
    embedded: bool,
    /// Serve on the platform: all else comes from the file that EDGE_CONFIG names; no other port is opened.
    #[arg(long, conflicts_with_all = ["settings", "embedded", "workers", "listen", "http", "shared", "record", "me",
        "siblings"])]
    platform: bool,
    /// The file with the list of workers; it is read again when it changes.
    #[arg(long)]
    workers: Option<PathBuf>,
    /// This front end's number among its siblings, from 0; goes before the settings.
    #[arg(long)]
    me: Option<usize>,
    /// How many front ends there are; goes before the settings.
    #[arg(long)]
    siblings: Option<usize>,
    /// Address of the gRPC port; goes before the settings. Port 0: any free one.
    #[arg(long)]
    listen: Option<SocketAddr>,
    /// Address of the HTTP/1.1 side port (/live, /ready, /account); goes before the settings.
    #[arg(long)]
    http: Option<SocketAddr>,
    /// Let several processes take connections from the same ports (SO_REUSEPORT).
    #[arg(long)]
    shared: bool,
    /// Write every step of the ledger to this file, for replay.
    #[arg(long)]
    record: Option<PathBuf>,
    /// Check the settings, say what they hold, and end.
    #[arg(long)]
    check: bool,
    /// Form of the logs.
    #[arg(long, value_enum, default_value = "plain")]
    logs: Logs,
    /// What is logged: error, warn, info, debug (a line for each call), trace, or filters as `tansy_net_front=debug`.
    #[arg(long, default_value = "info")]
    log: String,
}

#[derive(Clone, Copy, ValueEnum)]
enum Logs {
    Plain,
    Json,
}

/// Runs the program with its arguments, the first its name.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let a = Arguments::parse_from(arguments);
    let filter = match EnvFilter::try_new(format!("calloop=error,{}", a.log)) {
        Ok(filter) => filter,
        Err(e) => return wrong(&format!("--log {:?}: {e}", a.log)),
    };
    let logs = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(std::io::stderr().is_terminal());
    match a.logs {
        Logs::Plain => logs.init(),
        Logs::Json => logs.json().init(),
    }
    if a.platform {
        return platform(a.check);
    }
    let (name, text) = match &a.settings {
        Some(path) => match std::fs::read_to_string(path) {
            Ok(text) => (path.display().to_string(), text),
            Err(e) => return wrong(&format!("--settings {}: {e}", path.display())),
        },
        None => ("embedded.cue".into(), EMBEDDED.to_string()),
    };
    let mut settings = match tansy_settings::settings(&name, &text) {
        Ok(settings) => settings,
        Err(e) => return wrong(&e.to_string()),
    };
    let module = &mut settings.front.settings;
    module.me = a.me.unwrap_or(module.me);
    module.siblings = a.siblings.unwrap_or(module.siblings.max(module.me + 1));
    if module.me >= module.siblings {
        return wrong(&format!(
            "--me {} of --siblings {}: want a number below it, from 0",
            module.me, module.siblings
        ));
    }
    settings.gateway.listen = a.listen.unwrap_or(settings.gateway.listen);
    settings.gateway.http = a.http.unwrap_or(settings.gateway.http);
    if a.check {
        let (classes, functions) = (settings.front.classes.len(), settings.front.functions.len());
        say(&format!("{name}: {classes} classes, {functions} functions"));
        return ExitCode::SUCCESS;
    }
    let options = Options { embedded: a.embedded, shared: a.shared, workers: a.workers, record: a.record };
    let gateway = match Gateway::start(settings, &options) {
        Ok(gateway) => gateway,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(1);
        }
    };
    ended(gateway.run(|g| say(&format!("ready grpc={} http={}", g.grpc(), g.http()))))
}

/// Serves on the platform.
fn platform(check: bool) -> ExitCode {
    let path = match std::env::var_os("EDGE_CONFIG") {
        Some(path) => PathBuf::from(path),
        None => return wrong("EDGE_CONFIG is not set: want the path of the configuration"),
    };
    let config = match platform::read(&path) {
        Ok(config) => config,
        Err(e) => return wrong(&e),
    };
    if check {
        let (classes, index) = (config.settings.classes.len(), config.known.index);
        say(&format!("{}: {classes} classes, list up to event {index}", path.display()));
        return ExitCode::SUCCESS;
    }
    ended(platform::Platform::start(&config).and_then(|p| p.run(&path)))
}

/// The program's end: the account, or why it could not go on.
fn ended(run: Result<String, Error>) -> ExitCode {
    match run {
        Ok(account) => {
            say(&format!("account {account}"));
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(1)
        }
    }
}

/// A line on standard output. A reader that went away is no reason to stop serving, nor to end in a panic.
fn say(line: &str) {
    let mut out = std::io::stdout();
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}

fn wrong(what: &str) -> ExitCode {
    eprintln!("{what}");
    ExitCode::from(2)
}
