//! How the front ends of a fleet act on numbered versions of settings such that no two act on contradictory rules.
//!
//! The crate consists of state machines that know neither sockets nor clocks nor disks: time is an argument, messages
//! are returned to the caller, and durable order is the caller's concern (a consensus group, or a single durable log).
//!
//! - [`compatibility`]: what the change of a field means for calls: `free`, `joint` (while both versions are in use, the
//!   stricter value holds) or `strict` (never both: the calls that the field affects are rejected in the meantime).
//! - [`log`]: the agreed order of entries, and the phases of a version: announced, joint, in force.
//! - [`lease`]: which process may act on which revision, and until when. A front end is granted a lease by its parent,
//!   the leader or another front end; leases nest, so that a parent's request for its own lease covers its children.
//! - [`lease_tree`]: a front end's node in the tree of leases: from which member it requests its lease, to which it
//!   grants, and the state that it acts on.
//! - [`session`]: long leases for strict fields; changes of these wait for every front end.
//! - [`scope`]: settings of single functions that are agreed on one by one, beside the versions.
//! - [`subscription`]: the scopes that a front end acts on, so that their changes wait for it and those of others do not.
//! - [`endpoints`]: the drains of workers, merged from lists that disagree and lag.
//!
//! The whole rests on this: **a step that changes rules is taken only when no front end with a live lease is behind the
//! revision before it**, so that what two of them act on is at most one step of a change apart, and such steps never
//! contradict each other. `lease` ensures the first half, `log` the second. A front end whose lease has expired acts by
//! [`compatibility::rules_after_expiry`], which contradicts no version at all.
//!
//! Times are microseconds of the caller's own monotonic clock. Clocks need not agree; their rates must, within a stated
//! bound.
//!
//! # Example
//!
//! A version is proposed, announced, joint and in force; each [`log::LogEntry::Advance`] would wait for the leases.
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
