//! How the front ends of a fleet act on numbered versions of settings such that no two act on rules that contradict
//! each other.
//!
//! Its parts, none of which knows a socket or a clock:
//!
//! - [`compatibility`]: what a field's change means for calls: `free`, `joint` (while both versions are about, the stricter value
//!   holds) or `strict` (never both: the calls that the field touches are refused meanwhile).
//! - [`log`]: the agreed order of proposals and of the steps by which a version takes force: told, joint, in force.
//! - [`lease`]: who may act on which step until when. A front end holds a lease from its parent, which is a seat or a
//!   front end that relays; leases nest, so that a parent's answer for its children is all that its own parent needs.
//! - [`lease_tree`]: a front end's part: whom it asks, to whom it lends, what it acts on.
//! - [`session`]: long leases, by which strict fields are acted on; changes of these wait for every front end.
//! - [`scope`]: settings of functions that are agreed on one by one, beside the versions.
//! - [`subscription`]: which of these a front end holds, so that changes of them wait for it and of others do not.
//! - [`endpoints`]: the list of workers, merged from sources that disagree and lag; drains first.
//!
//! The whole rests on this: **a step that changes rules is taken only when no front end with a live lease is behind the
//! step before it**, so that what two of them act on is one step of a change apart at most, and such steps never
//! contradict. `lease` keeps the first half, `log` the second. A front end whose lease ran out acts by [`compatibility::rules_after_expiry`],
//! which contradicts no version at all.
//!
//! Times are microseconds of the caller's own monotonic clock. Clocks need not agree; their rates must, within a stated
//! bound.

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
