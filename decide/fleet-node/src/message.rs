//! Messages between front ends.

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
    /// A message of the lease tree.
    Lease(LeaseMessage<FleetState, StateDelta>),
    /// A request for a session, with the sender's name and the digest of its drain table.
    SessionRequest(SessionRequest, String, u64),
    /// The leader grants a session.
    SessionGrant(SessionGrant),
    /// Tells the leader that this process has shut down.
    Departed(Member),
    /// Endpoints that are draining or gone. The flag asks the receiver for its whole drain table.
    Drains(Vec<EndpointRecord>, bool),
    /// Digest of the sender's drain table. A receiver whose digest differs replies with its own table.
    DrainDigest(u64),
    /// A message between two replicas of the agreed log.
    Consensus(Vec<u8>),
    /// Tells the leader which scopes the sender requests and drops.
    Subscribe(SubscribeRequest),
    /// The leader's reply to a subscribe request, or its request for all subscriptions of the receiver.
    SubscribeReply(SubscribeReply),
    /// No content beyond the header that every message has.
    HeaderOnly,
}

/// The leader of the fleet and its term, sent in the header of every message. Of two, the one with the later term is
/// valid.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Leader {
    /// The term, which increases with each election.
    pub term: u64,
    /// Id of the front end that leads.
    pub id: u64,
}
