//! Why a gateway can't start, or stops.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why a gateway can't start, or stops.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The event loop failed.
    #[error(transparent)]
    EventLoop(#[from] calloop::Error),
    /// Signals can't be added to the event loop.
    #[error("{0}")]
    Signals(String),
    /// A port can't be bound.
    #[error("{setting} {address}: {source}")]
    Listen {
        /// The setting that names the address.
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
    /// Settings, a version of them, or a list of workers are invalid.
    #[error(transparent)]
    Settings(#[from] tansy_settings::Errors),
    /// The node in the fleet can't start.
    #[error(transparent)]
    Fleet(#[from] tansy_net_fleet::StartError),
    /// A voter has no file for the agreed log.
    #[error("fleet.state: the voter {name:?} keeps the agreed log: want its file, as --state voter.redb")]
    NoStateFile {
        /// The voter's name.
        name: String,
    },
}
