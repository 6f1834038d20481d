//! The commands on folders of documentation: the one of this repository, and made-up ones.

mod check;
mod definitions;
mod page;
mod record;
mod support;
