//! What a node in a fleet is started with, the host's functions that it calls, and why it can't be started.

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

/// Why fields make no valid settings.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct InvalidFields(pub String);

/// Checks the fields of a version as a whole.
pub type ValidateVersion = Rc<dyn Fn(&Fields) -> Result<(), InvalidFields>>;

/// Checks the fields of a function by themselves, with the classes of this state.
pub type ValidateFunction = Rc<dyn Fn(&str, &Fields, &FleetState) -> Result<(), InvalidFields>>;

/// Applies the state that the node may act on by now. It is called before any message that follows from the state is sent;
/// it returns why the state can't be applied, if so.
pub type ApplyState = Rc<dyn Fn(&FleetNode, Time) -> Option<String>>;

/// Reads the front end's counters and its program's label; the node's name and state are filled in.
pub type ReadCounters = Rc<dyn Fn() -> pb::CountsReply>;

/// Carries a message by another way than a link to its address; false: it knows no way there. Nothing depends on a message's
/// arrival.
pub type MessageCarrier = Rc<dyn Fn(SocketAddr, &[u8]) -> bool>;

/// The configuration of a front end's node.
pub struct TransportConfig {
    /// That of the state machine; its own address is filled in.
    pub node: FleetNodeConfig,
    /// The fleet's name in words.
    pub fleet: String,
    /// A voter's file, and the fields of the first version of a new fleet.
    pub voter: Option<(PathBuf, Fields)>,
    /// Front ends that are reached through another address than their own.
    pub proxies: HashMap<SocketAddr, SocketAddr>,
    /// Tried before a link, where many front ends of one process share their connections.
    pub carrier: Option<MessageCarrier>,
    /// Of proposed versions.
    pub validate_version: ValidateVersion,
    /// Of functions that are agreed on one by one.
    pub validate_function: ValidateFunction,
    /// Of calls.
    pub read_counters: ReadCounters,
}

/// Why a node can't be started.
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
    /// The voter's file holds no valid state.
    #[error("{}: {source}", .path.display())]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: CorruptState,
    },
}
