//! Errors of a gateway.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// The reason why a gateway can't start, or stops serving.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The event loop failed.
    #[error(transparent)]
    EventLoop(#[from] calloop::Error),
    /// The signal source can't be added to the event loop.
    #[error("{0}")]
    Signals(String),
    /// A port can't be bound.
    #[error("{setting} {address}: {source}")]
    Listen {
        /// The setting that contains the address.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A file can't be created or read.
    #[error("{}: {source}", .path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The dispatcher rejects its configuration.
    #[error(transparent)]
    Config(#[from] tansy_dispatch::ConfigError),
    /// The settings, a version of them, or the worker list are invalid.
    #[error(transparent)]
    Settings(#[from] tansy_settings::Errors),
    /// The fleet node can't start.
    #[error(transparent)]
    Fleet(#[from] tansy_net_fleet::StartError),
    /// A voter has no file for the replicated log.
    #[error("fleet.state: the voter {name:?} stores the replicated log and needs a file for it, for example --state voter.redb")]
    NoStateFile {
        /// The voter's name.
        name: String,
    },
}
