//! Why a front end on the platform can't start, or stops.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why the configuration of a front end on the platform can't be used.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    /// The file can't be read.
    #[error("{}: {source}", .path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file is no valid configuration.
    #[error("{}: {source}", .path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong, and where.
        source: tansy_platform::ConfigError,
    },
}

/// Why a front end on the platform can't start, or stops.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The event loop failed.
    #[error(transparent)]
    EventLoop(#[from] calloop::Error),
    /// Signals can't be added to the event loop.
    #[error("{0}")]
    Signals(String),
    /// The settings in the configuration make no sense.
    #[error("settings: {0}")]
    Settings(#[from] tansy_conf::SettingsError),
    /// The port can't be bound.
    #[error("listen {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The dispatcher rejects its configuration.
    #[error(transparent)]
    Dispatch(#[from] tansy_dispatch::ConfigError),
}
