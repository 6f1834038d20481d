//! Subscriptions: the scopes that a front end may act on, and whose changes wait for it.
//!
//! A front end **requests** a scope from the leader, which records the subscription and replies with the scope's record as
//! of a revision. The front end acts on it once it acts on that revision itself, and receives later changes with its
//! lease. It **unsubscribes** only from scopes that it has already ceased to act on. The leader's side is
//! [`crate::session::SessionTable`].
//!
//! The two must never differ such that the leader takes the front end for a subscriber of less than it is:
//!
//! - Requests are numbered, and the leader accepts them in that order only; it ignores those that arrive late.
//! - A reply counts for the scopes requested since a request that is no later than the one that it replies to.
//! - A request that lists all subscriptions lists pending ones too, since the reply to those may be under way.
//! - Whenever the leader has lost what it knew of this front end it takes it for a subscriber of everything, and begins a
//!   later [`ResyncEpoch`] with it. Requests and replies of another epoch are ignored, and a front end moves on to later
//!   epochs only.

mod replies;
mod requests;
mod subscriptions;

use crate::compatibility::Fields;
use crate::lease::{Member, Time};
use crate::revision::Revision;
use crate::scope::{ScopeRecord, MAX_NAME_BYTES};
use serde::{Deserialize, Serialize};

pub use subscriptions::ScopeSubscriptions;

/// The largest number of subscriptions of one front end, pending ones included.
pub const MAX_SUBSCRIPTIONS: usize = 4096;
/// The largest number of scopes requested at once.
pub const MAX_SCOPES_PER_REQUEST: usize = 256;
/// The largest number of scopes unsubscribed from at once.
pub const MAX_UNSUBSCRIBES_PER_REQUEST: usize = 4096;
/// A scope without calls for so long is unsubscribed from.
pub const IDLE_TIMEOUT: Time = 600_000_000;

/// Counts how often the leader began anew with a front end, knowing nothing of its subscriptions.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ResyncEpoch {
    /// The term of the leader.
    pub term: u64,
    /// Counts up within the term.
    pub count: u64,
}

impl ResyncEpoch {
    /// The epoch after this one.
    pub fn next(self) -> ResyncEpoch {
        ResyncEpoch {
            count: self.count.saturating_add(1),
            ..self
        }
    }
}

/// A front end informs the leader of new and ended subscriptions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscribeRequest {
    /// The front end.
    pub from: Member,
    /// The epoch of the request.
    pub epoch: ResyncEpoch,
    /// The number of the request; a front end's requests count up.
    pub seq: u64,
    /// It has acted on this revision since before it sent the request, and never acts on an earlier one again.
    pub revision: Revision,
    /// The scopes that it requests; at most [`MAX_SCOPES_PER_REQUEST`].
    pub scopes: Vec<String>,
    /// The numbers of the scopes that it unsubscribes from; at most [`MAX_UNSUBSCRIBES_PER_REQUEST`].
    pub unsubscribed: Vec<u64>,
    /// The numbers of all scopes that it may act on beside those that this request adds; at most [`MAX_SUBSCRIPTIONS`].
    pub full_list: Option<Vec<u64>>,
}

/// The leader's reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscribeReply {
    /// The front end.
    pub to: Member,
    /// The epoch of the reply.
    pub epoch: ResyncEpoch,
    /// The number of the accepted request; none: none was, since all subscriptions have to be listed first.
    pub seq: Option<u64>,
    /// The revision that the records are of.
    pub revision: Revision,
    /// The scopes whose subscription is recorded; none: there is no such function.
    pub scopes: Vec<(String, Option<ScopeRecord>)>,
}

/// What a front end does with a call of a function.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// No function is changed as a scope: the versions define all.
    Unscoped,
    /// It is served under these settings of its function.
    Admit(Fields),
    /// There is no such function.
    Unknown,
    /// It is rejected.
    Reject(RejectReason),
    /// The scope is being requested: the call waits for the reply.
    Wait,
}

/// Why a call is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectReason {
    /// Its function's settings are being changed.
    #[error("the function's settings are being changed: try again in a second")]
    Changing,
    /// This front end has no session.
    #[error("this front end has had no contact with the fleet for long: try another")]
    NoSession,
    /// No function has a name of this length.
    #[error("the function's name is over {MAX_NAME_BYTES} bytes long, which none is")]
    NameTooLong,
    /// Too many functions are being requested.
    #[error("{MAX_SUBSCRIPTIONS} functions are asked for at once here: try again in a second")]
    TooManyPending,
}

/// The limits of one front end's subscriptions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubscriptionLimits {
    /// The number of scopes, pending ones included; at most [`MAX_SUBSCRIPTIONS`].
    pub max_subscriptions: usize,
    /// A scope without calls for so long is unsubscribed from, microseconds.
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
