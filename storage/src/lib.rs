//! What must not be forgotten.
//!
//! A [`store::Store`] holds numbered entries after one snapshot, in one file, synced before anything is told; one recovery
//! path reads them back. [`voter_log::LogStorage`] is the write-ahead log of a voter.

pub mod store;
pub mod voter_log;
