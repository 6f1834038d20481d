//! Membership: each front end's view of which front ends of the fleet are up.
//!
//! Joining, failure detection, refutation and leaving follow the SWIM protocol, as implemented by `foca`. This crate adds
//! node identities, explicit time, bounds, and a fleet id in every datagram. The view determines the
//! [`tansy_agreement::lease_tree::LeaseTopology`], that is, from which member a front end requests its lease. It does not
//! decide which front ends may be active, so a wrong view affects availability but not safety.
//!
//! A process is identified by its front end's id and an incarnation. A restarted front end is a new process without state,
//! which replaces the former process wherever both are known. A process that was declared down although it runs renews its
//! identity.
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
