//! The configuration of a fleet node, the host's callbacks, and the errors of starting a node.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tansy_agreement::compatibility::Fields;
use tansy_agreement::lease::Time;
use tansy_agreement::log::FleetState;
use tansy_consensus::CorruptState;
use tansy_fleet_node::{FleetNode, FleetNodeConfig};
use tansy_fleet_wire::pb;
use thiserror::Error;

/// The reason for which fields do not form valid settings.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct InvalidFields(pub String);

/// Validates all fields of a proposed version.
pub type ValidateVersion = Rc<dyn Fn(&Fields) -> Result<(), InvalidFields>>;

/// Validates the fields of one function against the classes that the given state defines.
pub type ValidateFunction = Rc<dyn Fn(&str, &Fields, &FleetState) -> Result<(), InvalidFields>>;

/// Applies the state that the node may act on now. Called before any message that follows from the state is sent. Returns the
/// reason if the state can't be applied.
pub type ApplyState = Rc<dyn Fn(&FleetNode, Time) -> Option<String>>;

/// Reads the front end's counters and its program's label. The transport fills in the node's name and state.
pub type ReadCounters = Rc<dyn Fn() -> pb::CountsReply>;

/// Sends a message other than through a link to its address. Returns false if it has no route to that address. Delivery need
/// not be reliable.
pub type MessageCarrier = Rc<dyn Fn(SocketAddr, &[u8]) -> bool>;

/// The configuration of a front end's node.
pub struct TransportConfig {
    /// The configuration of the state machine. Its own address is set from the listener.
    pub node: FleetNodeConfig,
    /// The fleet's name.
    pub fleet: String,
    /// A voter's file, and the fields of the first version of a new fleet.
    pub voter: Option<(PathBuf, Fields)>,
    /// Addresses to connect to instead of a front end's own address, by that address.
    pub proxies: HashMap<SocketAddr, SocketAddr>,
    /// Tried before a link, if many front ends in one process share their connections.
    pub carrier: Option<MessageCarrier>,
    /// Validates proposed versions.
    pub validate_version: ValidateVersion,
    /// Validates functions that have a scope of their own.
    pub validate_function: ValidateFunction,
    /// Reads the counters of calls.
    pub read_counters: ReadCounters,
}

/// An error of starting a node.
#[derive(Debug, Error)]
pub enum StartError {
    /// The listener or the event loop failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The voter's file can't be opened or read.
    #[error("{}: {source}", .path.display())]
    Storage {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: tansy_storage::store::Error,
    },
    /// The voter's file does not contain a valid state.
    #[error("{}: {source}", .path.display())]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: CorruptState,
    },
}
