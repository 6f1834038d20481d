//! The holder's side of a lease.

use super::{LeaseGrant, LeaseRequest, LeaseTiming, Member, Time, Versioned};
use crate::revision::Revision;
use std::collections::VecDeque;

/// The number of requests that a holder remembers; a grant to an older one is of no use any more.
const REMEMBERED_REQUESTS: usize = 8;

/// A process that acts under a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder<S> {
    timing: LeaseTiming,
    member: Member,
    seq: u64,
    requests: VecDeque<SentRequest>,
    state: Option<S>,
    expiry: Option<Time>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SentRequest {
    seq: u64,
    sent_at: Time,
    answered: bool,
}

impl<S: Versioned> LeaseHolder<S> {
    /// A holder that knows no state and holds no lease.
    pub fn new(timing: LeaseTiming, member: Member) -> LeaseHolder<S> {
        LeaseHolder {
            timing,
            member,
            seq: 0,
            requests: VecDeque::new(),
            state: None,
            expiry: None,
        }
    }

    /// A holder that knows a state from before, and holds no lease for it.
    pub fn with_state(timing: LeaseTiming, member: Member, state: S) -> LeaseHolder<S> {
        LeaseHolder {
            state: Some(state),
            ..LeaseHolder::new(timing, member)
        }
    }

    /// The last known state, acted on or not.
    pub fn known_state(&self) -> Option<&S> {
        self.state.as_ref()
    }

    /// The state that it acts on at this time; none: it holds no live lease.
    pub fn active_state(&self, now: Time) -> Option<&S> {
        self.state.as_ref().filter(|_| self.remaining(now) > 0)
    }

    /// The time until its lease expires.
    pub fn remaining(&self, now: Time) -> i64 {
        self.expiry
            .map_or(0, |expiry| expiry.saturating_sub(now).max(0))
    }

    /// The revision of the last known state; zero before any.
    pub fn revision(&self) -> Revision {
        self.state.as_ref().map_or(Revision(0), Versioned::revision)
    }

    /// A request, to be sent at once. `oldest_below`: the oldest revision of a live lease that it granted itself, if any.
    pub fn request(&mut self, now: Time, oldest_below: Option<Revision>) -> LeaseRequest {
        self.seq += 1;
        self.requests.push_back(SentRequest {
            seq: self.seq,
            sent_at: now,
            answered: false,
        });
        if self.requests.len() > REMEMBERED_REQUESTS {
            self.requests.pop_front();
        }
        let known = self.revision();
        LeaseRequest {
            from: self.member,
            seq: self.seq,
            acknowledged: oldest_below.map_or(known, |oldest| oldest.min(known)),
            known,
            accepts_deltas: true,
        }
    }

    /// When the request of this number was sent, if it is remembered, and whether it was answered.
    pub fn sent_request(&self, seq: u64) -> Option<(Time, bool)> {
        self.requests
            .iter()
            .find(|request| request.seq == seq)
            .map(|request| (request.sent_at, request.answered))
    }

    /// Handles a grant. True: it now acts on, or knows of, a later revision than before.
    pub fn on_grant(&mut self, grant: LeaseGrant<S, S::Delta>) -> bool {
        if grant.to != self.member {
            return false;
        }
        let Some(request) = self.requests.iter_mut().find(|r| r.seq == grant.seq) else {
            return false;
        };
        request.answered = true;
        let sent_at = request.sent_at;
        let span = grant.span.min(self.timing.span);
        let later = grant.revision > self.revision();
        // A lease for a revision whose state is missing would be one for what the holder can't act on.
        if later && !self.update_state(grant) {
            return false;
        }
        let expiry = sent_at.saturating_add(self.timing.holder_span(span));
        self.expiry = Some(self.expiry.map_or(expiry, |known| known.max(expiry)));
        later
    }

    /// Moves on to the later revision of a grant. False: the grant does not lead there.
    fn update_state(&mut self, grant: LeaseGrant<S, S::Delta>) -> bool {
        let delta = grant.delta.as_ref();
        let snapshot = grant.state.filter(|s| s.revision() == grant.revision);
        match (snapshot, &mut self.state) {
            (Some(snapshot), Some(state)) => {
                state.replace_with_snapshot(snapshot, delta);
                true
            }
            (Some(snapshot), None) => {
                self.state = Some(snapshot);
                true
            }
            (None, Some(state)) => delta.is_some_and(|delta| {
                state.apply_delta(delta) && state.revision() >= grant.revision
            }),
            (None, None) => false,
        }
    }
}
