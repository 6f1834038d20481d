//! The program's arguments.

use clap::{Parser, ValueEnum};
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// A front end for gRPC inference calls of functions that are loaded on demand.
///
/// It takes calls by the Open Inference Protocol v2, decides where each goes, and streams the results back. Once it
/// serves it prints `ready grpc=ADDRESS http=ADDRESS` on standard output; logs go to standard error.
///
/// Exit codes: 0 after SIGTERM or SIGINT, 1 if it could not go on, 2 for wrong arguments or settings.
#[derive(Parser)]
#[command(name = "tansy-gateway", version)]
pub(super) struct Arguments {
    /// The settings file.
    #[arg(long, required_unless_present_any = ["embedded", "platform"])]
    pub(super) settings: Option<PathBuf>,
    /// Start four stand-in workers in this process, with built-in settings unless --settings names others.
    #[arg(long)]
    pub(super) embedded: bool,
    /// Serve on the platform: all else comes from the file that EDGE_CONFIG names; no other port is opened.
    #[arg(long, conflicts_with_all = ["settings", "embedded", "workers", "listen", "http", "shared", "record", "me",
        "siblings", "name", "peers", "state", "via"])]
    pub(super) platform: bool,
    /// The file with the list of workers; it is read again when it changes.
    #[arg(long)]
    pub(super) workers: Option<PathBuf>,
    /// This front end's number among its siblings, from 0; goes before the settings.
    #[arg(long)]
    pub(super) me: Option<usize>,
    /// How many front ends there are; goes before the settings.
    #[arg(long)]
    pub(super) siblings: Option<usize>,
    /// Address of the gRPC port; goes before the settings. Port 0: any free one.
    #[arg(long)]
    pub(super) listen: Option<SocketAddr>,
    /// Address of the HTTP/1.1 side port (/live, /ready, /account); goes before the settings.
    #[arg(long)]
    pub(super) http: Option<SocketAddr>,
    /// Let several processes take connections from the same ports (SO_REUSEPORT).
    #[arg(long)]
    pub(super) shared: bool,
    /// Record the dispatcher's inputs in this file, for replay.
    #[arg(long)]
    pub(super) record: Option<PathBuf>,
    /// This front end's name in the fleet that its settings name; goes before the settings.
    #[arg(long)]
    pub(super) name: Option<String>,
    /// Address at which its siblings reach it; goes before the settings. A name keeps its address.
    #[arg(long)]
    pub(super) peers: Option<SocketAddr>,
    /// The file in which a voter keeps the agreed log; goes before the settings.
    #[arg(long)]
    pub(super) state: Option<PathBuf>,
    /// Reach the sibling or worker at the first address through the second, as `127.0.0.1:7001=127.0.0.1:9001`.
    #[arg(long, hide = true, value_parser = proxy)]
    pub(super) via: Vec<(SocketAddr, SocketAddr)>,
    /// Check the settings, say what they hold, and end.
    #[arg(long)]
    pub(super) check: bool,
    /// Form of the logs.
    #[arg(long, value_enum, default_value = "plain")]
    pub(super) logs: LogFormat,
    /// What is logged: error, warn, info, debug (a line for each call), trace, or filters as `tansy_net_inference=debug`.
    #[arg(long, default_value = "info")]
    pub(super) log: String,
}

/// The form of the log lines.
#[derive(Clone, Copy, ValueEnum)]
pub(super) enum LogFormat {
    Plain,
    Json,
}

/// The value of `--via` is not two addresses.
#[derive(Debug, Error)]
#[error("want two addresses, as 127.0.0.1:7001=127.0.0.1:9001")]
struct InvalidProxy;

fn proxy(text: &str) -> Result<(SocketAddr, SocketAddr), InvalidProxy> {
    let (from, to) = text.split_once('=').ok_or(InvalidProxy)?;
    let from = from.parse().map_err(|_| InvalidProxy)?;
    let to = to.parse().map_err(|_| InvalidProxy)?;
    Ok((from, to))
}
