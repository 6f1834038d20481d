//! Checks the routing rules against recorded socket traffic.
//!
//! The auditor is independent of the gateway's own request table: it decodes the bytes that passed through a fault proxy
//! (HTTP/2 frames, header blocks, protobuf messages), matches a client's call with the attempts at workers by request id,
//! and reports violations. Events that sockets don't show, such as a changed endpoint list or a killed process, are
//! recorded as marks.
//!
//! - [`record`]: the entries of a recording.
//! - [`wire`]: decodes the bytes of a connection into stream events.
//! - [`rules`]: the parameters of the rules.
//! - [`report`]: the result of an audit.
//! - [`mod@auditor`]: reconstructs calls and attempts from stream events, and checks the rules.
//! - [`mod@contradictions`]: detects front ends that acted on contradicting settings at the same time.
//!
//! A recording is audited as a whole after the run; live traffic can't be audited.

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
