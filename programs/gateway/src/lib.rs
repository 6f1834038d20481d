//! The gateway as a library: a front end that serves, made of its settings. The program around it reads arguments and waits for
//! signals.
//!
//! - [`cli`]: arguments, logs and exit codes.
//! - `gateway`: the event loop, the ports, startup and shutdown.
//! - [`fleet`]: the gateway's place in a fleet, if its settings name one.
//! - [`platform`]: the same for the platform, where all comes from one configuration file.
//! - [`logs`]: standard error that never blocks the service.

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

/// The built-in settings of `--embedded`.
pub const EMBEDDED_SETTINGS: &str = include_str!("embedded.cue");

/// The options of a run beside its settings.
#[derive(Debug, Default)]
pub struct Options {
    /// Start workers in this process.
    pub embedded: bool,
    /// Several processes may listen on the ports.
    pub shared: bool,
    /// The file with the list of workers; it is polled for changes.
    pub workers: Option<PathBuf>,
    /// Where the dispatcher's inputs are recorded.
    pub record: Option<PathBuf>,
    /// Its placement in the fleet that its settings name.
    pub fleet: Option<fleet::FleetPlacement>,
}
