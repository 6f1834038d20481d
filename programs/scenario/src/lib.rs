//! End-to-end scenarios with real processes on loopback, audited from the recorded network traffic.
//!
//! A scenario starts gateways and stand-in workers as processes, routes all traffic between them and their clients through a fault proxy,
//! injects faults from a script, and passes the recorded traffic to the auditor of `tansy-audit`. Scenarios test the behaviour of the
//! whole system; they are not throughput benchmarks, and `tansy-simulation` tests faults in virtual time.
//!
//! - [`faults`]: every fault in turn, and a cold restart of a zone.
//! - [`agreement`]: changes of the fleet's settings under load, with faults between front ends.
//! - [`rollout`]: a staged rollout of a new program, with faults; [`defect`]: the defects that the program may have.
//! - [`load`]: the load generator.
//! - [`fault_proxy`], [`process`], [`endpoint_list`]: parts that the scenarios share.
//! - [`audit`]: the auditor's rules, and the text of violations.
//! - [`cli`]: the command line.
//!
//! ```
//! use tansy_scenario::audit::record_marks;
//! use tansy_audit::Mark;
//!
//! // A mark that forbids something is recorded after it has taken effect.
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
