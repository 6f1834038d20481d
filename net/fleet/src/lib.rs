//! A front end's place in a fleet: its letters on the gRPC stack, a seat's log on disk, and what operators ask.
//!
//! - [`client`]: one request and its answer, for letters and for operators.
//! - [`disk`]: the seat's file, on a thread of its own, since what is synced takes as long as it takes.
//! - [`transport`]: gives what arrives to the state machine and carries out its commands.
//! - [`service`]: what is asked of this front end.

pub mod client;
pub mod disk;
pub mod service;
pub mod transport;

pub use transport::{FleetTransport, TrafficCounters, TransportConfig};
