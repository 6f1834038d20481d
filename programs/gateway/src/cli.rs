//! The program's arguments, logs and exit codes.

use crate::fleet::Place;
use crate::logs::LossyStderr;
use crate::{platform, Error, Gateway, Options, EMBEDDED};
use clap::{Parser, ValueEnum};
use std::ffi::OsString;
use std::io::{IsTerminal, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tansy_agreement::compatibility::Value;
use tansy_settings::agree;
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
        "siblings", "name", "peers", "state", "via"])]
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
    /// This front end's name in the fleet that its settings name; goes before the settings.
    #[arg(long)]
    name: Option<String>,
    /// Address at which its siblings reach it; goes before the settings. A name keeps its address.
    #[arg(long)]
    peers: Option<SocketAddr>,
    /// The file in which a seat keeps the agreed log; goes before the settings.
    #[arg(long)]
    state: Option<PathBuf>,
    /// Reach the sibling or worker at the first address through the second, as `127.0.0.1:7001=127.0.0.1:9001`.
    #[arg(long, hide = true, value_parser = pair)]
    via: Vec<(SocketAddr, SocketAddr)>,
    /// Check the settings, say what they hold, and end.
    #[arg(long)]
    check: bool,
    /// Form of the logs.
    #[arg(long, value_enum, default_value = "plain")]
    logs: Logs,
    /// What is logged: error, warn, info, debug (a line for each call), trace, or filters as `tansy_net_inference=debug`.
    #[arg(long, default_value = "info")]
    log: String,
}

fn pair(text: &str) -> Result<(SocketAddr, SocketAddr), String> {
    let read = text
        .split_once('=')
        .and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
    read.ok_or_else(|| "want two addresses, as 127.0.0.1:7001=127.0.0.1:9001".to_string())
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
        .with_writer(LossyStderr::new)
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
    let fleet = match place(&a, &name, &text, &mut settings) {
        Ok(fleet) => fleet,
        Err(why) => return wrong(&why),
    };
    let options = Options {
        embedded: a.embedded,
        shared: a.shared,
        workers: a.workers,
        record: a.record,
        fleet,
    };
    let gateway = match Gateway::start(settings, &options) {
        Ok(gateway) => gateway,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(1);
        }
    };
    ended(gateway.run(|g| {
        let peers = g.peers().map_or(String::new(), |p| format!(" peers={p}"));
        say(&format!("ready grpc={} http={}{peers}", g.grpc(), g.http()));
    }))
}

/// The place in a fleet, if the settings name one.
fn place(
    a: &Arguments,
    name: &str,
    text: &str,
    settings: &mut tansy_settings::Settings,
) -> Result<Option<Place>, String> {
    let given = a.name.is_some() || a.peers.is_some() || a.state.is_some() || !a.via.is_empty();
    let Some(fleet) = &mut settings.fleet else {
        let why = "--name, --peers, --state and --via are for a front end of a fleet: want fleet: {...} in the settings";
        return if given { Err(why.into()) } else { Ok(None) };
    };
    if a.record.is_some() {
        return Err(
            "--record: what a fleet's versions change is not recorded yet; leave out one of the two".into()
        );
    }
    fleet.me = a.name.clone().unwrap_or(fleet.me.clone());
    fleet.listen = a.peers.unwrap_or(fleet.listen);
    fleet.state = a.state.clone().or(fleet.state.clone());
    if fleet.me.is_empty() {
        return Err(
            "fleet.me: the front end has no name in its fleet: want one, as --name a".into(),
        );
    }
    if let Some(seat) = fleet
        .seats
        .iter()
        .find(|s| s.name == fleet.me && s.address != fleet.listen)
    {
        return Err(format!(
            "fleet.listen {}: the seat {:?} is looked for at {}: want the same address",
            fleet.listen, seat.name, seat.address
        ));
    }
    let mut own = agree::fields(name, text).map_err(|e| e.to_string())?;
    let count = |n: usize| Value::Int(i64::try_from(n).unwrap_or(i64::MAX));
    own.insert("front.me".into(), count(settings.front.settings.me));
    own.insert(
        "front.listen".into(),
        Value::Text(settings.gateway.listen.to_string()),
    );
    own.insert(
        "front.http".into(),
        Value::Text(settings.gateway.http.to_string()),
    );
    let first = agree::version(name, text).map_err(|e| e.to_string())?;
    let zone = match own.get("front.zone") {
        Some(Value::Text(zone)) => zone.clone(),
        _ => String::new(),
    };
    Ok(Some(Place {
        own,
        first,
        via: a.via.iter().copied().collect(),
        zone,
    }))
}

/// Serves on the platform.
fn platform(check: bool) -> ExitCode {
    let signals = match platform::Signals::new() {
        Ok(signals) => signals,
        Err(e) => return ended(Err(e)),
    };
    let path = match std::env::var_os("EDGE_CONFIG") {
        Some(path) => PathBuf::from(path),
        None => return wrong("EDGE_CONFIG is not set: want the path of the configuration"),
    };
    let config = match platform::read_first(&path) {
        Ok(config) => config,
        Err(e) => return wrong(&e),
    };
    if check {
        let (classes, index) = (config.settings.classes.len(), config.known.index);
        say(&format!(
            "{}: {classes} classes, list up to event {index}",
            path.display()
        ));
        return ExitCode::SUCCESS;
    }
    ended(platform::Platform::start(&config).and_then(|p| p.run(&path, signals)))
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
