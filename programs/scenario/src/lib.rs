//! Scenarios with real processes on loopback, judged from what passed on the sockets.
//!
//! A scenario starts gateways and stand-in workers as processes, leads all traffic between them and their clients through a fault proxy,
//! injects faults at moments that the seed decides, and gives the recording to the auditor of `tansy-audit`. It shows what the whole
//! system does; it is not for measuring throughput, and not for faults in virtual time (`tansy-simulation`).
//!
//! - [`faults`]: every fault in turn; a zone that comes back cold.
//! - [`agreement`]: versions of settings under load, through faults between front ends.
//! - [`rollout`]: a new program in stages, through faults; [`defect`]: what may be wrong with it.
//! - [`load`]: the clients.
//! - [`fault_proxy`], [`process`], [`endpoint_list`]: what the scenarios are made of.
//! - [`audit`]: what the auditor is given, and how violations are printed.
//! - [`cli`]: the command line.
//!
//! ```
//! use tansy_scenario::audit::record_marks;
//! use tansy_audit::Mark;
//!
//! // What forbids something is recorded once it is in effect.
//! let events = std::cell::RefCell::new(Vec::new());
//! let drain = Mark::Draining { front: 0, worker: 1 };
//! record_marks(
//!     &[drain],
//!     |_| Ok::<(), std::io::Error>(events.borrow_mut().push("recorded")),
//!     || Ok(events.borrow_mut().push("list written")),
//! )?;
//! assert_eq!(events.into_inner(), ["list written", "recorded"]);
//! # Ok::<(), std::io::Error>(())
//! ```

pub mod agreement;
pub mod audit;
pub mod cli;
pub mod defect;
pub mod endpoint_list;
mod error;
pub mod fault_proxy;
pub mod faults;
mod fleet;
pub mod load;
pub mod process;
pub mod rollout;
#[cfg(test)]
mod testing;

pub use error::ScenarioError;
