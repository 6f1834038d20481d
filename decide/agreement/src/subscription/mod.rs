//! Subscriptions: the scopes that a front end may act on, and whose changes therefore wait for it.
//!
//! A front end **requests** a scope from the leader, which records the subscription and replies with the scope's record
//! as of a revision. The front end acts on the scope once it acts on that revision itself, and receives later changes
//! with its lease. It **unsubscribes** only from scopes that it no longer acts on. The leader's side is
//! [`crate::session::SessionTable`].
//!
//! The leader must never assume fewer subscriptions than the front end has:
//!
//! - Requests are numbered, and the leader ignores those that arrive out of order.
//! - A reply provides a scope's record only if the request that it answers is not earlier than the first one that
//!   contained the scope.
//! - A request that lists all subscriptions includes the pending ones, since the reply to those may be in transit.
//! - When the leader has lost its record of a front end's subscriptions, it considers the front end a subscriber of all
//!   scopes and begins a later [`ResyncEpoch`] with it. Requests and replies of other epochs are ignored, except that a
//!   reply of a later epoch moves the front end on to that epoch.

mod replies;
mod requests;
mod subscriptions;

use crate::compatibility::Fields;
use crate::lease::{Member, Time};
use crate::revision::Revision;
use crate::scope::{ScopeRecord, MAX_NAME_BYTES};
use serde::{Deserialize, Serialize};

pub use subscriptions::ScopeSubscriptions;

/// The largest number of subscriptions of one front end, including pending ones.
pub const MAX_SUBSCRIPTIONS: usize = 4096;
/// The largest number of scopes in one request.
pub const MAX_SCOPES_PER_REQUEST: usize = 256;
/// The largest number of scopes that one request unsubscribes from.
pub const MAX_UNSUBSCRIBES_PER_REQUEST: usize = 4096;
/// The default time without calls after which a scope is unsubscribed from.
pub const IDLE_TIMEOUT: Time = 600_000_000;

/// Identifies an exchange of subscriptions that begins with the leader knowing none of a front end's subscriptions.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ResyncEpoch {
    /// The leader's term.
    pub term: u64,
    /// The number of the epoch within the term.
    pub count: u64,
}

impl ResyncEpoch {
    /// The next epoch of the same term.
    pub fn next(self) -> ResyncEpoch {
        ResyncEpoch {
            count: self.count.saturating_add(1),
            ..self
        }
    }
}

/// Reports new and ended subscriptions of a front end to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscribeRequest {
    /// The front end.
    pub from: Member,
    /// The epoch of the request.
    pub epoch: ResyncEpoch,
    /// The number of the request; a front end's request numbers increase.
    pub seq: u64,
    /// The revision that the front end acts on. The front end has acted on it since before it sent the request, and
    /// never acts on an earlier one again.
    pub revision: Revision,
    /// The names of the requested scopes, at most [`MAX_SCOPES_PER_REQUEST`].
    pub scopes: Vec<String>,
    /// The numbers of the scopes that the front end unsubscribes from, at most [`MAX_UNSUBSCRIBES_PER_REQUEST`].
    pub unsubscribed: Vec<u64>,
    /// The numbers of all scopes that the front end may act on, except for those that this request adds; at most
    /// [`MAX_SUBSCRIPTIONS`]. `None` if the leader already knows them.
    pub full_list: Option<Vec<u64>>,
}

/// The leader's reply to a [`SubscribeRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscribeReply {
    /// The front end.
    pub to: Member,
    /// The epoch of the reply.
    pub epoch: ResyncEpoch,
    /// The number of the accepted request; `None` if no request was accepted because all subscriptions have to be
    /// listed first.
    pub seq: Option<u64>,
    /// The revision of the records.
    pub revision: Revision,
    /// The scopes whose subscription is recorded, with their records; the record is `None` if there is no such
    /// function.
    pub scopes: Vec<(String, Option<ScopeRecord>)>,
}

/// How a front end handles a call of a function.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// No function is changed as a scope; the versions define all functions.
    Unscoped,
    /// The call is served with these settings of its function.
    Admit(Fields),
    /// There is no such function.
    Unknown,
    /// The call is rejected.
    Reject(RejectReason),
    /// The scope has been requested, and the call waits for the reply.
    Wait,
}

/// Why a call is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectReason {
    /// The settings of its function are being changed.
    #[error("the function's settings are being changed: try again in a second")]
    Changing,
    /// The front end has no session.
    #[error("this front end has no session with the fleet: try another front end")]
    NoSession,
    /// The function's name is longer than any name can be.
    #[error("the function's name is longer than {MAX_NAME_BYTES} bytes")]
    NameTooLong,
    /// The limit of subscriptions is reached and all of them are pending.
    #[error("too many functions are being requested at this front end (at most {MAX_SUBSCRIPTIONS}): try again in a second")]
    TooManyPending,
}

/// The limits of one front end's subscriptions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubscriptionLimits {
    /// The largest number of scopes, including pending ones; at most [`MAX_SUBSCRIPTIONS`].
    pub max_subscriptions: usize,
    /// The time without calls, in microseconds, after which a scope is unsubscribed from.
    pub idle_timeout: Time,
}

impl Default for SubscriptionLimits {
    fn default() -> SubscriptionLimits {
        SubscriptionLimits {
            max_subscriptions: MAX_SUBSCRIPTIONS,
            idle_timeout: IDLE_TIMEOUT,
        }
    }
}
