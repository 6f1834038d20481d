//! Errors in arguments and settings, for which the program exits with code 2.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// The reason why the arguments, or the settings that they name, can't be used.
#[derive(Debug, Error)]
pub(super) enum UsageError {
    #[error("--log {filter:?}: {source}")]
    LogFilter {
        filter: String,
        source: tracing_subscriber::filter::ParseError,
    },
    #[error("--settings {}: {source}", .path.display())]
    SettingsFile { path: PathBuf, source: io::Error },
    #[error(transparent)]
    Settings(#[from] tansy_settings::Errors),
    #[error("--me {me} with --siblings {siblings}: expected a number below it, from 0")]
    IndexOutOfRange { me: usize, siblings: usize },
    #[error(
        "--name, --peers, --state and --via need a fleet: expected fleet: {{...}} in the settings"
    )]
    NoFleet,
    #[error(
        "--record can't be used in a fleet, since changes of the fleet's settings are not recorded"
    )]
    RecordInFleet,
    #[error(
        "fleet.me: the front end has no name in its fleet: expected a name, for example --name a"
    )]
    NoName,
    #[error("fleet.listen {listen}: fleet.seats lists the voter {name:?} at {address}: expected the same address")]
    VoterAddress {
        listen: SocketAddr,
        name: String,
        address: SocketAddr,
    },
    #[error("EDGE_CONFIG is not set: expected the path of the configuration file")]
    NoPlatformConfig,
    #[error(transparent)]
    PlatformConfig(#[from] crate::platform::ConfigurationError),
}
