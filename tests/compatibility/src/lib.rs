//! Stored data and messages that earlier programs wrote, and what the tests share to read them.
//!
//! The files under `fixtures/` are what a program of their day wrote. A fixture is never regenerated: a program that can't
//! read one can't be started in the place of the one that wrote it. A new form gets a new file beside the old one.
//! `examples/record.rs` writes those that are not there; it never writes over a file.

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
