//! Wrong arguments and settings: the program ends with exit code 2.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why the arguments, or the settings that they name, can't be used.
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
    #[error("--me {me} of --siblings {siblings}: want a number below it, from 0")]
    Number { me: usize, siblings: usize },
    #[error("--name, --peers, --state and --via are for a front end of a fleet: want fleet: {{...}} in the settings")]
    NoFleet,
    #[error(
        "--record: what a fleet's versions change is not recorded yet; leave out one of the two"
    )]
    RecordInFleet,
    #[error("fleet.me: the front end has no name in its fleet: want one, as --name a")]
    NoName,
    #[error("fleet.listen {listen}: the voter {name:?} is looked for at {address}: want the same address")]
    VoterAddress {
        listen: SocketAddr,
        name: String,
        address: SocketAddr,
    },
    #[error("EDGE_CONFIG is not set: want the path of the configuration")]
    NoPlatformConfig,
    #[error(transparent)]
    PlatformConfig(#[from] crate::platform::ConfigurationError),
}
