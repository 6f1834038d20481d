//! Why a front end on the platform can't start, or stops.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// The reason why the configuration of a front end on the platform can't be used.
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
    /// The file is not a valid configuration.
    #[error("{}: {source}", .path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The error and its place.
        source: tansy_platform::ConfigError,
    },
}

/// The reason why a front end on the platform can't start, or stops serving.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The event loop failed.
    #[error(transparent)]
    EventLoop(#[from] calloop::Error),
    /// The signal source can't be added to the event loop.
    #[error("{0}")]
    Signals(String),
    /// The settings in the configuration are invalid.
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
