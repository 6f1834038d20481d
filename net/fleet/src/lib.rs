//! The network side of a front end's node in a fleet: it carries messages over gRPC, keeps a voter's log on disk, and answers
//! operators. Decisions are those of `tansy-fleet-node`; this crate feeds it and carries out its commands.
//!
//! In layers, each of which uses only those above it:
//!
//! - [`client`]: a request and its reply, for messages and for operators.
//! - [`voter_storage`]: a voter's log on a thread of its own, since a sync takes as long as it takes.
//! - [`config`]: what a node is started with, and why it can't be.
//! - [`transport`]: feeds the node and carries out its commands.
//! - `service`: the methods that peers and operators call.
//! - `start`: starts all of it on a listener.

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
