//! Judges the rules from the records of sockets alone.
//!
//! It shares no code with the gateway's ledger: it reads the bytes that passed a relay (HTTP/2 frames, header blocks,
//! messages decoded in full), joins the two legs of a call by the request's id, and looks for breaches. What the
//! sockets can't show (when a list of workers was changed, when a process was killed) are marks in the record.
//!
//! - [`record`]: what a relay writes down.
//! - [`wire`]: bytes to streams with headers, messages and ends.
//! - [`mod@judge`]: streams to calls, attempts, and breaches.
//! - [`mod@versions`]: whether two front ends acted on rules that contradict each other, by rules that show in the bytes.

pub mod judge;
pub mod record;
pub mod versions;
pub mod wire;

pub use judge::{audit, judge, Audit, Breach, History, Rules};
pub use record::{Entry, Link, Mark, What};
