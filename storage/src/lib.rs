//! What must not be forgotten.
//!
//! A [`store::Store`] holds numbered entries after one snapshot, in one file, synced before anything is told; one recovery
//! path reads them back. [`seat::Records`] are what a seat of a fleet must not forget.

pub mod seat;
pub mod store;
