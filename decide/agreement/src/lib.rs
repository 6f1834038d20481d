//! Agreement of a fleet's front ends on numbered versions of the settings, such that no two of them act on
//! contradictory rules.
//!
//! The crate consists of state machines without sockets, clocks or disks: the caller passes the time as an argument,
//! sends the messages that are returned, and makes the order of the log's entries durable (with a consensus group or a
//! single durable log).
//!
//! - [`compatibility`]: how a changed field may take effect: `free` (old and new value may be used side by side),
//!   `joint` (while both versions are in use, the stricter value applies) or `strict` (never both: affected calls are
//!   rejected until the change is complete).
//! - [`log`]: the agreed order of entries, and the phases of a version: announced, joint, in force.
//! - [`lease`]: which process may act on which revision, and until when. A front end is granted a lease by its parent,
//!   which is the leader or another front end. Leases nest: what a parent reports with the request for its own lease
//!   covers its children.
//! - [`lease_tree`]: a front end's node in the tree of leases: the member that it requests its lease from, the members
//!   that it grants leases to, and the state that it acts on.
//! - [`session`]: long leases for strict fields. A change of a strict field waits for every front end of the roster.
//! - [`scope`]: settings of single functions, which are agreed on one by one, separately from the versions.
//! - [`subscription`]: the scopes that a front end acts on. A change of a scope waits for its subscribers only.
//! - [`endpoints`]: the workers that are draining or gone, merged from worker lists that disagree and lag.
//!
//! Safety rests on one invariant: **a step that changes rules is taken only when no front end with a live lease is
//! behind the current revision**. The revisions that two front ends act on are then at most one step of a change apart,
//! and two such revisions never contradict each other. `lease` ensures the first half, `log` the second. A front end
//! whose lease has expired acts on [`compatibility::rules_without_lease`] while its session is live, and after that on
//! [`compatibility::rules_after_expiry`]; neither contradicts a version that may be in force.
//!
//! Times are microseconds of the caller's own monotonic clock. Clocks of different machines need not agree, but the
//! error of their rates must be within [`lease::LeaseTiming::drift_ppm`].
//!
//! # Example
//!
//! A version is proposed and announced, becomes joint, and comes in force. In a fleet, each [`log::LogEntry::Advance`]
//! is entered only when the leases allow it.
//!
//! ```
//! use tansy_agreement::compatibility::{Fields, Value};
//! use tansy_agreement::log::{ApplyOutcome, EntryRejection, Log, LogEntry, Version};
//!
//! # fn main() -> Result<(), EntryRejection> {
//! let window = |size| Fields::from([("classes.chat.window".to_string(), Value::Int(size))]);
//! let mut log = Log::new(window(10), []);
//! let proposal = LogEntry::Propose {
//!     id: 7,
//!     base: log.state().latest(),
//!     fields: window(20),
//!     reason: "more load".to_string(),
//! };
//! assert_eq!(log.apply(proposal)?, ApplyOutcome::Announced(Version(2)));
//! while log.has_version_change() {
//!     let from = log.state().versions_revision;
//!     log.apply(LogEntry::Advance { from })?;
//! }
//! assert_eq!(log.state().in_force.fields, window(20));
//! # Ok(())
//! # }
//! ```

pub mod compatibility;
pub mod endpoints;
pub mod lease;
pub mod lease_tree;
pub mod log;
mod member;
mod rejection;
mod revision;
pub mod scope;
pub mod session;
pub mod subscription;
