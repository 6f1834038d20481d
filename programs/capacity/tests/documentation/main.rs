//! Runs the commands on this repository's documentation and on generated folders.

mod check;
mod definitions;
mod page;
mod record;
mod support;
