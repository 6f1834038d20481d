//! A front end's node in the tree of leases: it holds a lease, grants leases to those below it, and knows the state that
//! it may act on.
//!
//! Parents are chosen without coordination: each member sorts the members that it knows by one hash, the leader first,
//! and requests its lease from the one at its own place divided by [`FAN_OUT`]. So the leader answers [`FAN_OUT`] front
//! ends however large the fleet is, and a revision reaches all over a few links. Topologies may differ between members:
//! a lease that goes round in a ring can only shrink, and a member whose lease shrinks, or that gets no answer, turns to
//! one nearer to the leader.

mod node;
mod source;
mod topology;

use crate::lease::{LeaseGrant, LeaseRequest, Member, Versioned};
use crate::revision::Revision;

pub use node::LeaseNode;
pub use topology::{LeaseTopology, RendezvousOrder};

/// The number of front ends that a member grants leases to.
pub const FAN_OUT: usize = 8;
/// The number of others that it admits beside them, while their own parents are away or topologies differ. They never
/// keep out a member's own children: a leader that could be filled by members without a parent would keep out the very
/// ones that are to be their parents.
const GUESTS: usize = 2 * FAN_OUT;
/// Requests in the length of a lease.
const REQUESTS_PER_SPAN: i64 = 4;

/// A message between two members. `D`: the delta between states, [`Versioned::Delta`] of `S`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaseMessage<S, D = ()> {
    /// A request for a lease.
    Request(LeaseRequest),
    /// A lease.
    Grant(LeaseGrant<S, D>),
    /// There is a new revision to request.
    Revision(Revision),
    /// To a former granter: what a request reports, without requesting a lease.
    Acknowledge {
        /// The sender.
        from: Member,
        /// No live lease below it, nor its own, is for a revision before this one.
        revision: Revision,
    },
}

/// Messages with the names that they are for.
type Outbox<S> = Vec<(u64, LeaseMessage<S, <S as Versioned>::Delta>)>;
