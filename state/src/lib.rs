//! What must not be forgotten.
//!
//! A [`store::Store`] holds numbered entries after one snapshot, in one file, synced before anything is told; one recovery
//! path reads them back. A [`seat::Seat`] keeps the fleet's agreed log in it.

pub mod seat;
pub mod store;
