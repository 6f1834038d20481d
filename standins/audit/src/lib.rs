//! Checks the routing rules against a recording of socket traffic alone.
//!
//! The crate shares no code with the gateway's request table: it reads the bytes that passed a relay (HTTP/2 frames, header
//! blocks, messages decoded in full), joins the two legs of a call by the request's id, and looks for violations. What the
//! sockets can't show (when an endpoint list was changed, when a process was killed) is recorded as marks.
//!
//! - [`record`]: what a relay records.
//! - [`wire`]: bytes to streams with headers, messages and ends.
//! - [`rules`]: the figures that the rules are checked with.
//! - [`report`]: what an audit gives.
//! - [`mod@auditor`]: streams to calls and attempts, and the rules checked on them, a module a rule.
//! - [`mod@contradictions`]: whether two front ends acted on contradicting settings, by rules that show in the bytes.
//!
//! It is not for live traffic: a recording is read whole, after the run.

pub mod auditor;
pub mod contradictions;
pub mod record;
pub mod report;
pub mod rules;
pub mod wire;

pub use auditor::{audit, audit_with_history};
pub use record::{Entry, Event, Link, Mark};
pub use report::{Audit, CallEnd, CallHistory, Violation};
pub use rules::{Effect, LoadBudget, Overload, Rules, SlowStart};
