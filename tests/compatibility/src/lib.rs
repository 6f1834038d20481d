//! Helpers for compatibility tests with stored data and messages of earlier versions.
//!
//! The files under `fixtures/` were written by the version that was current when they were added. A fixture is never regenerated: a
//! version that can't read it can't replace the one that wrote it. A new format gets an additional file. `examples/record.rs` writes
//! missing fixtures and never overwrites one.

pub mod entries;
pub mod fixture;
pub mod fleet;
pub mod inference;
pub mod json;
pub mod membership;
pub mod run;
pub mod shape;
pub mod steps;
pub mod voters;
