//! Command line arguments.

use clap::{Parser, ValueEnum};
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// A front end that dispatches gRPC inference calls to workers, which load functions on demand.
///
/// It accepts calls of the Open Inference Protocol v2, chooses a worker for each, and streams the results back. When it is
/// ready to serve, it prints `ready grpc=ADDRESS http=ADDRESS` to standard output; logs go to standard error.
///
/// Exit codes: 0 after SIGTERM or SIGINT, 1 if it can't start or fails, 2 for invalid arguments or settings.
#[derive(Parser)]
#[command(name = "tansy-gateway", version)]
pub(super) struct Arguments {
    /// The settings file.
    #[arg(long, required_unless_present_any = ["embedded", "platform"])]
    pub(super) settings: Option<PathBuf>,
    /// Start four stand-in workers in this process; without --settings, use built-in settings.
    #[arg(long)]
    pub(super) embedded: bool,
    /// Serve on the platform, with the configuration file that EDGE_CONFIG names; only its port is opened.
    #[arg(long, conflicts_with_all = ["settings", "embedded", "workers", "listen", "http", "shared", "record", "me",
        "siblings", "name", "peers", "state", "via"])]
    pub(super) platform: bool,
    /// The worker list file, which is read again when it changes.
    #[arg(long)]
    pub(super) workers: Option<PathBuf>,
    /// Index of this front end among all front ends, from 0; overrides the settings.
    #[arg(long)]
    pub(super) me: Option<usize>,
    /// Number of front ends; overrides the settings.
    #[arg(long)]
    pub(super) siblings: Option<usize>,
    /// Address of the gRPC port; overrides the settings. Port 0 selects a free port.
    #[arg(long)]
    pub(super) listen: Option<SocketAddr>,
    /// Address of the HTTP/1.1 side port (/live, /ready, /account); overrides the settings.
    #[arg(long)]
    pub(super) http: Option<SocketAddr>,
    /// Let several processes listen on the same ports (SO_REUSEPORT).
    #[arg(long)]
    pub(super) shared: bool,
    /// Record the dispatcher's inputs to this file, for replay.
    #[arg(long)]
    pub(super) record: Option<PathBuf>,
    /// Name of this front end in its fleet; overrides the settings.
    #[arg(long)]
    pub(super) name: Option<String>,
    /// Address at which the other front ends of the fleet reach this one; overrides the settings. A front end must keep its
    /// address when it restarts under the same name.
    #[arg(long)]
    pub(super) peers: Option<SocketAddr>,
    /// The file in which a voter stores the replicated log; overrides the settings.
    #[arg(long)]
    pub(super) state: Option<PathBuf>,
    /// Connect to the front end or worker at the first address through the second, for example
    /// `127.0.0.1:7001=127.0.0.1:9001`.
    #[arg(long, hide = true, value_parser = parse_proxy)]
    pub(super) via: Vec<(SocketAddr, SocketAddr)>,
    /// Check the settings, print a summary, and exit.
    #[arg(long)]
    pub(super) check: bool,
    /// Log format.
    #[arg(long, value_enum, default_value = "plain")]
    pub(super) logs: LogFormat,
    /// Log level (error, warn, info, debug with a line for each call, trace) or filters such as `tansy_net_inference=debug`.
    #[arg(long, default_value = "info")]
    pub(super) log: String,
}

/// The format of log lines.
#[derive(Clone, Copy, ValueEnum)]
pub(super) enum LogFormat {
    Plain,
    Json,
}

/// The value of `--via` is not a pair of addresses.
#[derive(Debug, Error)]
#[error("expected two addresses, for example 127.0.0.1:7001=127.0.0.1:9001")]
struct InvalidProxy;

fn parse_proxy(text: &str) -> Result<(SocketAddr, SocketAddr), InvalidProxy> {
    let (from, to) = text.split_once('=').ok_or(InvalidProxy)?;
    let from = from.parse().map_err(|_| InvalidProxy)?;
    let to = to.parse().map_err(|_| InvalidProxy)?;
    Ok((from, to))
}
