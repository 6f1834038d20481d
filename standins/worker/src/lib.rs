//! A stand-in worker for tests and demonstrations.
//!
//! It serves the Open Inference Protocol, and simulates functions with memory, lanes and load times. No model is run: the
//! response contains each input tensor as an output. Faults can be injected while it runs.
//!
//! - [`profile`]: the worker's configuration.
//! - [`state`]: loaded instances, running calls and waiting calls, without I/O or a clock.
//! - [`fault`]: injected faults and their names on the control port.
//! - [`standin`]: the server with its control port and timers.
//! - `serve`, `infer` and `answer`: the protocol's methods and messages.

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
