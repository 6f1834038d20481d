//! Sessions: long leases for strict fields, of which two values must never be in use at once.
//!
//! A front end that loses its lease uses the stricter value of joint fields, which costs little. For strict fields
//! there is no stricter value: the front end would have to reject every call that they affect, and some of them affect
//! all calls, so a leader that is unreachable for a second would interrupt the whole service. Strict fields are
//! therefore used under a session, which is long and granted by the leader itself, and a change of a strict field waits
//! for every front end on the roster. If a front end is cut off, such a change waits until the front end's session
//! expires, the front end restarts under the same name, or an operator removes it.
//!
//! With each session the leader records the scopes that its holder subscribes to ([`crate::subscription`]), so that a
//! change of a scope waits only for its subscribers. A member that has not declared its subscriptions counts as a
//! subscriber of all scopes.
//!
//! The span of a session is counted like that of a lease: by the holder from before it sent the request, by the leader
//! from when it granted the session.

mod table;

use crate::lease::{LeaseTiming, Member, Time};
use crate::revision::Revision;
use std::collections::VecDeque;

pub use table::{SessionTable, SubscribeOutcome};

/// The number of requests that a holder remembers; a grant for an older request is ignored.
const REMEMBERED_REQUESTS: usize = 4;

/// A request for a session, which also reports the revision that the holder acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionRequest {
    /// The holder.
    pub from: Member,
    /// The number of the request; a holder's request numbers increase.
    pub seq: u64,
    /// The revision that the holder acts on. The holder has acted on it since before it sent the request, and never
    /// acts on an earlier one again.
    pub revision: Revision,
    /// Whether the holder supports scopes, and acts only on those that it subscribes to. Programs that predate scopes
    /// do not.
    pub supports_scopes: bool,
}

/// The leader's answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionGrant {
    /// The holder.
    pub to: Member,
    /// The number of the request.
    pub seq: u64,
    /// The length of the session in microseconds, which the holder counts from before it sent the request.
    pub span: i64,
}

/// The session of a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Session {
    timing: LeaseTiming,
    member: Member,
    seq: u64,
    /// The number of each remembered request, and when it was sent.
    requests: VecDeque<(u64, Time)>,
    expiry: Option<Time>,
}

impl Session {
    /// Creates a session that has not been granted yet. `timing.span` is the length of a session.
    pub fn new(timing: LeaseTiming, member: Member) -> Session {
        Session {
            timing,
            member,
            seq: 0,
            requests: VecDeque::new(),
            expiry: None,
        }
    }

    /// Creates a request, which is to be sent at once.
    pub fn request(&mut self, now: Time, revision: Revision) -> SessionRequest {
        self.seq += 1;
        self.requests.push_back((self.seq, now));
        if self.requests.len() > REMEMBERED_REQUESTS {
            self.requests.pop_front();
        }
        SessionRequest {
            from: self.member,
            seq: self.seq,
            revision,
            supports_scopes: true,
        }
    }

    /// Handles a grant. Grants for other members and for requests that are not remembered are ignored.
    pub fn on_grant(&mut self, grant: SessionGrant) {
        let request = self.requests.iter().find(|(seq, _)| *seq == grant.seq);
        let (Some((_, sent_at)), true) = (request, grant.to == self.member) else {
            return;
        };
        let span = grant.span.min(self.timing.span);
        let expiry = sent_at.saturating_add(self.timing.holder_span(span));
        self.expiry = Some(self.expiry.map_or(expiry, |known| known.max(expiry)));
    }

    /// The time until the session expires; zero if it is not live.
    pub fn remaining(&self, now: Time) -> i64 {
        self.expiry
            .map_or(0, |expiry| expiry.saturating_sub(now).max(0))
    }
}
