//! The platform's protocol on sockets: calls in over HTTP/1.1, attempts and orders out to workers over RESP, the list
//! of workers from a coordinator's long poll. All on one thread; what is done is decided by the ledger and its module.
//!
//! - [`hub`]: carries out what the ledger wants.
//! - [`clients`]: the listener, and one task for each client's connection.
//! - [`link`]: the connections to one worker.
//! - [`coordinator`]: the poll.

pub mod clients;
pub mod coordinator;
pub mod hub;
pub mod link;

pub use hub::{Hub, Setup};
