//! The front end's sockets: calls of clients in, attempts to workers out, the ledger between.
//!
//! The path of a call: [`clients`] reads frames and messages and tells [`hub`] of a call; the hub gives the event to
//! the ledger (`tansy_dispatch`) and carries out its commands; [`attempts`] sends the request to a worker and tells
//! what comes back; the answer leaves through the call's [`sink`]. [`answers`] and [`trailers`] turn the ledger's
//! terms into gRPC's and back.

pub mod answers;
pub mod attempts;
pub mod clients;
pub mod hub;
pub mod side;
pub mod sink;
pub mod trailers;

pub use hub::{Hub, Looked, Lookup, Names, Setup, Worker};
