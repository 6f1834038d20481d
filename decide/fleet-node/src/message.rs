//! What front ends send to each other.

use tansy_agreement::endpoints::EndpointRecord;
use tansy_agreement::lease::Member;
use tansy_agreement::lease_tree::LeaseMessage;
use tansy_agreement::log::FleetState;
use tansy_agreement::scope::StateDelta;
use tansy_agreement::session::{SessionGrant, SessionRequest};
use tansy_agreement::subscription::{SubscribeReply, SubscribeRequest};

/// The body of a message between two front ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageBody {
    /// A datagram of the membership protocol.
    Gossip(Vec<u8>),
    /// Leases and the state that they are for.
    Lease(LeaseMessage<FleetState, StateDelta>),
    /// A request for a session, with the front end's name and the digest of its drain table.
    SessionRequest(SessionRequest, String, u64),
    /// A session.
    SessionGrant(SessionGrant),
    /// To the leader: this process has stopped being active, for good.
    Departed(Member),
    /// Endpoints that are draining or gone; whether the receiver's whole table is wanted in return.
    Drains(Vec<EndpointRecord>, bool),
    /// The digest of the sender's drain table, for a receiver whose table differs to answer with it.
    DrainDigest(u64),
    /// From voter to voter.
    Consensus(Vec<u8>),
    /// To the leader: the scopes that the sender wants and holds.
    Subscribe(SubscribeRequest),
    /// The leader's answer.
    SubscribeReply(SubscribeReply),
    /// Nothing beyond the header, which every message has.
    HeaderOnly,
}

/// The voter that leads, and the term in which it does; the later term is the valid one. It is in the header of every
/// message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Leader {
    /// Increases with each change of the leader.
    pub term: u64,
    /// The front end's number.
    pub id: u64,
}
