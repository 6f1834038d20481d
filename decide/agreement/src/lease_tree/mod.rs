//! A front end's node in the tree of leases: it holds a lease, grants leases to the nodes below it, and knows the state
//! that it may act on.
//!
//! Parents are chosen without coordination: each member sorts the members that it knows by one hash function, with the
//! leader first, and requests its lease from the member at its own index divided by [`FAN_OUT`]. The leader therefore
//! answers [`FAN_OUT`] front ends however large the fleet is, and a revision reaches all members in a number of hops
//! that is logarithmic in the size of the fleet. The topologies of members may differ. A lease that is passed around a
//! cycle can only shrink, and a member whose lease shrinks, or that gets no answer, turns to a member closer to the
//! leader.

mod node;
mod source;
mod topology;

use crate::lease::{LeaseGrant, LeaseRequest, Member, Versioned};
use crate::revision::Revision;

pub use node::LeaseNode;
pub use topology::{LeaseTopology, RendezvousOrder};

/// The largest number of children of a node in the topology.
pub const FAN_OUT: usize = 8;
/// The number of other members that a node grants leases to, while their own parents are unavailable or topologies
/// differ. They never take the place of a node's own children: if members without a parent could fill the leader, it
/// would refuse those that are to become their parents.
const MAX_EXTRA_CHILDREN: usize = 2 * FAN_OUT;
/// The number of requests that a node sends during the full span of a lease.
const REQUESTS_PER_SPAN: i64 = 4;

/// A message between two members. `D` is the delta between states, [`Versioned::Delta`] of `S`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaseMessage<S, D = ()> {
    /// Requests a lease.
    Request(LeaseRequest),
    /// Grants a lease.
    Grant(LeaseGrant<S, D>),
    /// Announces a new revision, which the receiver may request.
    Revision(Revision),
    /// Reports progress to a former granter without requesting a lease.
    Acknowledge {
        /// The sender.
        from: Member,
        /// No live lease of the sender or of the holders below it is for an earlier revision.
        revision: Revision,
    },
}

/// Messages with the [`Member::id`] that each is for.
type Outbox<S> = Vec<(u64, LeaseMessage<S, <S as Versioned>::Delta>)>;
