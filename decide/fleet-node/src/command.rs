//! Commands that a fleet node gives its host, and the events and errors that they carry.

use crate::message::MessageBody;
use crate::queued_entry::MAX_QUEUED_ENTRIES;
use std::net::SocketAddr;
use tansy_agreement::lease::Member;
use tansy_agreement::log::{ApplyOutcome, EntryRejection, Revision};
use tansy_membership::{MembershipEvent, RejectedDatagram};

/// A command to the host, which carries commands out in the order given.
#[derive(Clone, Debug, PartialEq)]
#[expect(
    clippy::large_enum_variant,
    reason = "nearly all commands are messages, and they are short-lived"
)]
pub enum Command {
    /// Send a message to a front end. It may be lost, reordered or duplicated.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        body: MessageBody,
    },
    /// Send a message to a voter, at [`FleetNode::address`](crate::FleetNode::address).
    SendToVoter {
        /// Id of the voter.
        to: u64,
        /// The content of a [`MessageBody::Consensus`].
        bytes: Vec<u8>,
    },
    /// Write and sync a record, then call [`FleetNode::on_persisted`](crate::FleetNode::on_persisted). Records are written
    /// in order. A snapshot replaces all records up to and including this one.
    Persist {
        /// The record.
        record: Vec<u8>,
        /// The whole state as of this record.
        snapshot: Option<Vec<u8>>,
    },
    /// Pass on the outcome of a [`FleetNode::request`](crate::FleetNode::request).
    Respond {
        /// Number of the request.
        request: u64,
        /// The result of applying the entry, or why it was rejected.
        outcome: Result<ApplyOutcome, RequestRejection>,
    },
    /// Report an event to the operator.
    Notify(FleetEvent),
}

/// An event of interest to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// A front end came up or went down.
    Membership(MembershipEvent),
    /// This front end learnt of a state whose versions changed. Revisions that change only scopes are not reported.
    RevisionChanged {
        /// The revision of the state.
        revision: Revision,
        /// The version in force.
        in_force: u64,
        /// The version that is being introduced, if any.
        next: Option<u64>,
    },
    /// The lease expired or was acquired.
    Lease {
        /// Whether this front end holds a lease.
        is_live: bool,
    },
    /// The session expired or was established.
    Session {
        /// Whether this front end holds a session.
        is_live: bool,
    },
    /// This voter started or stopped leading the fleet.
    Leadership {
        /// Whether this voter leads.
        is_live: bool,
    },
    /// A datagram of the membership protocol was rejected.
    DatagramRejected(RejectedDatagram),
    /// A change of strict fields timed out and was abandoned.
    ChangeAbandoned {
        /// The version that was being introduced.
        version: u64,
        /// The members not known to have reached the change's revision.
        behind: Vec<Member>,
    },
    /// The replacement of a voter was cancelled because the learner did not catch up with the log in time.
    VoterReplacementAbandoned {
        /// Id of the learner.
        new: u64,
    },
    /// Subscriptions to scopes in use were evicted, because the calls at this front end need more scopes than one front
    /// end may subscribe to.
    SubscriptionsEvicted {
        /// Evictions since the start of the process.
        total: u64,
        /// Current number of subscriptions.
        subscribed: usize,
    },
    /// Changes of scopes timed out and were abandoned.
    ScopeChangesAbandoned {
        /// Some of the scopes.
        scopes: Vec<String>,
        /// Some of the subscribers not known to have reached the changes' revision.
        behind: Vec<Member>,
    },
    /// The voter's storage failed, or its log holds an entry that this program can't decode. The voter accepts no entry
    /// until it is restarted.
    StorageFailed {
        /// The cause.
        cause: String,
    },
}

/// Why a request for an entry was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestRejection {
    /// The entry is not valid for the current log.
    #[error("{0}")]
    Log(EntryRejection),
    /// This front end does not lead the fleet.
    #[error("this front end does not lead the fleet: ask {leader}")]
    NotLeader {
        /// Address of the last known leader.
        leader: SocketAddr,
    },
    /// Too many requests are queued.
    #[error("{} requests are queued: try again later", MAX_QUEUED_ENTRIES)]
    Busy,
    /// The voter's storage failed.
    #[error("the voter's storage failed: {0}; resolve the cause and restart the voter")]
    Storage(String),
    /// Leadership was lost before the entry was applied, so this front end does not know whether it was committed.
    #[error(
        "leadership was lost before the outcome was known: repeat the request with the same id"
    )]
    LeadershipLost,
}

/// The storage's error message for a record that could not be written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct StorageFailure(pub String);
