//! A front end's place in a fleet: its letters on the gRPC stack, a seat's log on disk, and what operators ask.
//!
//! - [`ask`]: one request and its answer, for letters and for operators.
//! - [`disk`]: the seat's file, on a thread of its own, since what is synced takes as long as it takes.
//! - [`hub`]: gives what arrives to the state machine and carries out its commands.
//! - [`serve`]: what is asked of this front end.

pub mod ask;
pub mod disk;
pub mod hub;
pub mod serve;

pub use hub::{Letters, Peers, Setup};
