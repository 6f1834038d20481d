//! Sessions: long leases for settings of which no two values may ever be in use at once.
//!
//! A front end that loses its lease takes the stricter side of joint fields, which costs little. Strict fields have no
//! stricter side but to reject every call that they affect, and some affect all: a leader that is unreachable for a
//! second would stop the whole service. So a front end acts on strict fields under a session instead, which is long, and
//! which the leader itself grants; and a change of a strict field waits for every front end on the roster. The price is
//! that such changes wait for a front end that is cut off, until its session expires, it restarts under its name, or an
//! operator removes it.
//!
//! With each session the leader knows the scopes that its holder subscribes to ([`crate::subscription`]), so that the
//! change of a scope waits for its subscribers alone; a member that has not declared its scopes counts as a subscriber
//! of all.
//!
//! The time is counted as for leases: by the holder from before it sent the request, by the leader from when it granted.

mod table;

use crate::lease::{LeaseTiming, Member, Time};
use crate::revision::Revision;
use std::collections::VecDeque;

pub use table::{SessionTable, SubscribeOutcome};

/// The number of requests that a holder remembers.
const REMEMBERED_REQUESTS: usize = 4;

/// A holder's request for a session, which also reports the revision that it acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionRequest {
    /// The holder.
    pub from: Member,
    /// The number of the request; a holder's requests count up.
    pub seq: u64,
    /// It has acted on this revision since before it sent the request, and never acts on an earlier one again.
    pub revision: Revision,
    /// It supports scopes, and acts on none that it does not subscribe to. Programs from before there were any do not.
    pub supports_scopes: bool,
}

/// The leader's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionGrant {
    /// The holder.
    pub to: Member,
    /// The number of the request.
    pub seq: u64,
    /// The length of the session, counted from before that request was sent.
    pub span: i64,
}

/// A holder's session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Session {
    timing: LeaseTiming,
    member: Member,
    seq: u64,
    /// The number of each remembered request and when it was sent.
    requests: VecDeque<(u64, Time)>,
    expiry: Option<Time>,
}

impl Session {
    /// A session that has not been granted yet. `timing.span`: the length of a session.
    pub fn new(timing: LeaseTiming, member: Member) -> Session {
        Session {
            timing,
            member,
            seq: 0,
            requests: VecDeque::new(),
            expiry: None,
        }
    }

    /// A request, to be sent at once.
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

    /// Handles a grant.
    pub fn on_grant(&mut self, grant: SessionGrant) {
        let request = self.requests.iter().find(|(seq, _)| *seq == grant.seq);
        let (Some((_, sent_at)), true) = (request, grant.to == self.member) else {
            return;
        };
        let span = grant.span.min(self.timing.span);
        let expiry = sent_at.saturating_add(self.timing.holder_span(span));
        self.expiry = Some(self.expiry.map_or(expiry, |known| known.max(expiry)));
    }

    /// The time until it expires.
    pub fn remaining(&self, now: Time) -> i64 {
        self.expiry
            .map_or(0, |expiry| expiry.saturating_sub(now).max(0))
    }
}
