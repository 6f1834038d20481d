//! Which front ends of a fleet are up, as each of them sees it.
//!
//! Joining, suspicion, refutation and leaving follow SWIM, as `foca` implements it without I/O. This crate adds the
//! identity of nodes, time as an argument, bounds, and the fleet's number in every datagram. The result is the input of
//! [`tansy_agreement::lease_tree::LeaseTopology`]: membership decides who asks whom for a lease and never who may be active.
//! A view that is wrong costs time, not safety.
//!
//! A process is identified by its front end's number and an incarnation. A front end that restarts is a new process which
//! starts without state and replaces the former one wherever both are known. A process that was taken for down although it
//! runs goes on with a further life.
//!
//! ```
//! use tansy_membership::{GossipTiming, Membership, NodeId};
//!
//! let first = NodeId::new(1, 1, ([127, 0, 0, 1], 7000).into());
//! let second = NodeId::new(2, 1, ([127, 0, 0, 1], 7001).into());
//! let mut at_first = Membership::new(7, first.clone(), GossipTiming::default(), 1);
//! let mut at_second = Membership::new(7, second, GossipTiming::default(), 2);
//! at_second.join(0, first);
//! for datagram in at_second.take_datagrams() {
//!     at_first.on_datagram(0, &datagram.bytes)?;
//! }
//! assert_eq!(at_first.other_member_count(), 1);
//! # Ok::<(), tansy_membership::RejectedDatagram>(())
//! ```

mod datagram;
mod membership;
mod node_id;

pub use datagram::{Datagram, RejectedDatagram, FORMAT_VERSION, MAX_DATAGRAM_BYTES};
pub use membership::{GossipTiming, Membership, MembershipEvent};
pub use node_id::NodeId;
