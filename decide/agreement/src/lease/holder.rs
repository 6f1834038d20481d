//! The holder's side of a lease.

use super::{LeaseGrant, LeaseRequest, LeaseTiming, Member, Time, Versioned};
use crate::revision::Revision;
use std::collections::VecDeque;

/// The number of requests that are remembered; a grant for an older request is ignored.
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
    /// Creates a holder without a state or a lease.
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

    /// Creates a holder that knows a state, and holds no lease for it.
    pub fn with_state(timing: LeaseTiming, member: Member, state: S) -> LeaseHolder<S> {
        LeaseHolder {
            state: Some(state),
            ..LeaseHolder::new(timing, member)
        }
    }

    /// The latest known state, whether or not the holder may act on it.
    pub fn known_state(&self) -> Option<&S> {
        self.state.as_ref()
    }

    /// The state that the holder may act on now; `None` without a live lease.
    pub fn active_state(&self, now: Time) -> Option<&S> {
        self.state.as_ref().filter(|_| self.remaining(now) > 0)
    }

    /// The time until the lease expires; zero without a live lease.
    pub fn remaining(&self, now: Time) -> i64 {
        self.expiry
            .map_or(0, |expiry| expiry.saturating_sub(now).max(0))
    }

    /// The revision of the latest known state; zero if none is known.
    pub fn revision(&self) -> Revision {
        self.state.as_ref().map_or(Revision(0), Versioned::revision)
    }

    /// Creates a request, which is to be sent at once. `oldest_below` is the oldest revision of the live leases that
    /// this process has granted itself.
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

    /// When the request of this number was sent and whether it was answered, if it is still remembered.
    pub fn sent_request(&self, seq: u64) -> Option<(Time, bool)> {
        self.requests
            .iter()
            .find(|request| request.seq == seq)
            .map(|request| (request.sent_at, request.answered))
    }

    /// Handles a grant. Returns whether the known state moved on to a later revision.
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
        // A lease counts only if the state of its revision is known.
        if later && !self.update_state(grant) {
            return false;
        }
        let expiry = sent_at.saturating_add(self.timing.holder_span(span));
        self.expiry = Some(self.expiry.map_or(expiry, |known| known.max(expiry)));
        later
    }

    /// Moves on to the later revision of a grant. Returns false if the grant does not contain what is needed for that.
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
