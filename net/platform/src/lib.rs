//! The platform's protocol on sockets: calls in over HTTP/1.1, attempts and orders out to workers over RESP, the list
//! of workers from a coordinator's long poll. All on one thread; what is done is decided by the ledger and its module.
//!
//! - [`hub`]: carries out what the ledger wants.
//! - [`clients`]: the listener. [`client`]: one client's connection, each a task. [`call`]: a call on its way.
//! - [`link`]: the connections to one worker. [`connection`]: one of them. [`outbox`]: what waits to leave on it.
//! - [`reasons`]: why connections were closed, requests refused, attempts repeated.
//! - [`coordinator`]: the poll. [`setup`]: the bounds.

pub mod call;
pub mod client;
pub mod clients;
pub mod connection;
pub mod coordinator;
pub mod hub;
pub mod link;
pub mod outbox;
pub mod reasons;
pub mod setup;

pub use hub::Hub;
pub use setup::Setup;
