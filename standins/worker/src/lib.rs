//! The stand-in worker: the Open Inference Protocol with functions that have memory, lanes and load times, and with
//! faults on demand. It computes nothing: every input tensor comes back as an output.
//!
//! - [`machine`]: what is loaded, who runs, who waits; no I/O.
//! - [`fault`]: what goes wrong, and how it is told to.
//! - [`serve`]: the protocol.

pub mod fault;
pub mod machine;
pub mod serve;

pub use fault::Faults;
pub use machine::{Function, Profile, WhenAbsent};
pub use serve::Standin;
