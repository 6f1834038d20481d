//! What a front end asks of its host.

use crate::message::MessageBody;
use crate::queued_entry::MAX_QUEUED_ENTRIES;
use std::net::SocketAddr;
use tansy_agreement::lease::Member;
use tansy_agreement::log::{ApplyOutcome, EntryRejection, Revision};
use tansy_membership::{MembershipEvent, RejectedDatagram};

/// What the host has to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
#[expect(
    clippy::large_enum_variant,
    reason = "nearly all are messages, and each lives for one turn of the loop"
)]
pub enum Command {
    /// Send to the front end at this address. The message may be lost, reordered or duplicated.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The message.
        body: MessageBody,
    },
    /// Send to the voter of this number, at [`FleetNode::address`](crate::FleetNode::address).
    SendToVoter {
        /// The voter's number.
        to: u64,
        /// The message, for [`MessageBody::Consensus`].
        bytes: Vec<u8>,
    },
    /// Write and sync a record, then call [`FleetNode::on_persisted`](crate::FleetNode::on_persisted); in order. A snapshot
    /// replaces all records up to and including this one.
    Persist {
        /// The record.
        record: Vec<u8>,
        /// The whole state, this record included.
        snapshot: Option<Vec<u8>>,
    },
    /// The outcome of a request for an entry.
    Respond {
        /// The request's number.
        request: u64,
        /// The result, or why there is none.
        outcome: Result<ApplyOutcome, RequestRejection>,
    },
    /// Report to the operator.
    Notify(FleetEvent),
}

/// What an operator may want to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// A front end came up or went down.
    Membership(MembershipEvent),
    /// This front end's revision changed: that of the log at a voter, else that of its lease. Revisions which change scopes
    /// alone are not reported.
    RevisionChanged {
        /// The revision.
        revision: Revision,
        /// The version in force there.
        in_force: u64,
        /// The version that is being introduced, if any.
        next: Option<u64>,
    },
    /// The lease expired, or there is one again.
    Lease {
        /// Whether there is one.
        is_live: bool,
    },
    /// The session expired, or there is one again.
    Session {
        /// Whether there is one.
        is_live: bool,
    },
    /// This voter started or stopped leading the fleet.
    Leadership {
        /// Whether it leads.
        is_live: bool,
    },
    /// A datagram of the membership protocol was rejected.
    DatagramRejected(RejectedDatagram),
    /// A change of strict fields did not complete in time and is abandoned.
    ChangeAbandoned {
        /// The version.
        version: u64,
        /// The members that were not known to have reached its revision.
        behind: Vec<Member>,
    },
    /// A learner did not catch up with the log in time, and does not become a voter.
    VoterReplacementAbandoned {
        /// The learner.
        new: u64,
    },
    /// Scopes in use were evicted, since more are called than one front end may hold.
    SubscriptionsEvicted {
        /// How many so far.
        total: u64,
        /// How many are held.
        subscribed: usize,
    },
    /// Changes of scopes did not complete in time and are abandoned.
    ScopeChangesAbandoned {
        /// The first of the scopes.
        scopes: Vec<String>,
        /// The first of the members that hold them and were not known to have reached the changes' revision.
        behind: Vec<Member>,
    },
    /// The voter's disk failed: it takes no entry until it is restarted.
    StorageFailed {
        /// The cause.
        cause: String,
    },
}

/// Why a request for an entry was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestRejection {
    /// The log rejects it.
    #[error("{0}")]
    Log(EntryRejection),
    /// Another front end leads.
    #[error("this front end does not lead the fleet: ask {leader}")]
    NotLeader {
        /// That one's address, as far as it is known.
        leader: SocketAddr,
    },
    /// Too many requests are queued.
    #[error("{} requests wait: try again later", MAX_QUEUED_ENTRIES)]
    Busy,
    /// The disk failed.
    #[error("the voter's disk does not accept it: {0}; repair it and restart the voter")]
    Storage(String),
    /// Another front end leads by now: whether the entry was committed is not known here.
    #[error("another front end leads by now: ask again with the same id to learn what came of it")]
    LeadershipLost,
}

/// Why a record of a voter's log could not be written, in the words of its storage.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct StorageFailure(pub String);
