//! The wire's lines as types. Each line is a JSON object whose `kind` names its form; absent optional values take the wire
//! page's defaults.
//!
//! Items and fields have the field's usual names; `serde` attributes give those of the wire.

mod command;
mod message;
#[cfg(test)]
mod tests;

pub use command::Command;
pub use message::{
    Arrival, AttemptEnded, Entry, LoadEnded, Message, ProbeEnded, StartFrontEnd, StreamStarted,
    Timer, WorkerList,
};
