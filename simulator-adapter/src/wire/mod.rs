//! Types of the lines on the wire. Each line is a JSON object whose `kind` names the message or command. Missing
//! optional values take their defaults.
//!
//! Items and fields have names of the domain; `serde` attributes give the names on the wire.

mod command;
mod message;
#[cfg(test)]
mod tests;

pub use command::Command;
pub use message::{
    Arrival, AttemptEnded, Entry, LoadEnded, Message, ProbeEnded, StartFrontEnd, StreamStarted,
    Timer, WorkerList,
};
