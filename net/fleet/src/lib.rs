//! The network side of a front end's node in a fleet: it sends and receives messages over gRPC, persists a voter's log, and
//! serves operators. `tansy-fleet-node` makes all decisions; this crate feeds its state machine and executes its commands.
//!
//! The modules in layers, each of which uses only those above it:
//!
//! - [`client`]: sends a request and waits for the reply; peers and operators' tools use it.
//! - [`voter_storage`]: persists a voter's log on a separate thread, so that a slow sync does not block the event loop.
//! - [`config`]: the configuration of a node, and the errors of starting it.
//! - [`transport`]: feeds the node's state machine and executes its commands.
//! - `service`: the methods that peers and operators call.
//! - `start`: starts the storage, the server and the timers of a node.

pub mod client;
pub mod config;
mod events;
mod links;
mod pending;
mod service;
mod start;
pub mod transport;
pub mod voter_storage;

pub use config::{InvalidFields, StartError, TransportConfig};
pub use transport::{FleetTransport, TrafficCounters};
