//! The stand-in worker: the Open Inference Protocol with functions that have memory, lanes and load times, and with
//! faults on demand. It computes nothing: every input tensor comes back as an output.
//!
//! - [`profile`]: what a worker is configured as.
//! - [`state`]: what is loaded, which calls run, which wait; no I/O and no clock.
//! - [`fault`]: injected faults, and the words that set them.
//! - [`standin`]: a worker on a listener, with its control port and its timers.
//! - `serve`, `infer` and `answer`: the protocol's methods and messages.
//!
//! It is for tests and demonstrations, not for models.

mod answer;
pub mod fault;
mod infer;
pub mod profile;
mod serve;
pub mod standin;
pub mod state;

pub use fault::{FaultError, Faults};
pub use profile::{Function, MissPolicy, Profile};
pub use standin::Standin;
