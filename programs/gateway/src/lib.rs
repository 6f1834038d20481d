//! The gateway as a library: a front end that is started from its settings and serves inference calls.
//!
//! - [`cli`]: command line, logging and exit codes of the program.
//! - `gateway`: the event loop, the ports, startup and shutdown.
//! - [`fleet`]: membership in a fleet, if the settings name one.
//! - [`platform`]: a front end on the platform, which reads everything from one configuration file.
//! - [`logs`]: log output to standard error that never blocks the event loop.

pub mod cli;
mod embedded;
mod error;
pub mod fleet;
mod gateway;
pub mod logs;
pub mod platform;
mod worker_list;

use std::path::PathBuf;

pub use error::GatewayError;
pub use gateway::Gateway;

/// The settings that `--embedded` uses by default.
pub const EMBEDDED_SETTINGS: &str = include_str!("embedded.cue");

/// Options of a gateway that are not part of its settings.
#[derive(Debug, Default)]
pub struct Options {
    /// Start stand-in workers in this process.
    pub embedded: bool,
    /// Let several processes listen on the same ports (`SO_REUSEPORT`).
    pub shared: bool,
    /// The worker list file, which is polled for changes.
    pub workers: Option<PathBuf>,
    /// The file to which the dispatcher's inputs are recorded.
    pub record: Option<PathBuf>,
    /// The gateway's placement in the fleet that its settings name.
    pub fleet: Option<fleet::FleetPlacement>,
}
