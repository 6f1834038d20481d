//! The granter's side of leases.

use super::{LeaseGrant, LeaseRequest, LeaseTiming, Member, Time, Versioned};
use crate::revision::Revision;
use std::collections::BTreeMap;

/// The part of a lease's length by which a granter's own lease has to grow before it answers a request once more.
const EXTENSION_FRACTION: i64 = 32;

/// A process that grants leases.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGranter {
    timing: LeaseTiming,
    children: BTreeMap<Member, Child>,
    /// Until then leases may live that were granted before, out of the same right, and that this granter knows nothing
    /// of.
    unknown_leases_until: Option<Time>,
    max_children: usize,
}

/// A holder of leases of this granter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Child {
    /// No live lease of it is for a revision before this one.
    acknowledged: Revision,
    /// When all of its leases have expired, whichever of the grants it received.
    expiry: Time,
    /// The number of its last request, and the revision that it had then.
    last_request: (u64, Revision),
    /// When that request was answered first.
    answered_at: Time,
    /// The length last granted for it.
    span: i64,
}

impl LeaseGranter {
    /// A granter to at most `max_children` holders at a time. `predecessor`: the present time, if leases may live that
    /// it knows nothing of, because an earlier process or another member granted out of the same right.
    pub fn new(
        timing: LeaseTiming,
        max_children: usize,
        predecessor: Option<Time>,
    ) -> LeaseGranter {
        let longest = timing.granter_span(timing.span);
        LeaseGranter {
            timing,
            children: BTreeMap::new(),
            unknown_leases_until: predecessor.map(|now| now.saturating_add(longest)),
            max_children,
        }
    }

    /// Answers a request out of a right that lasts for `remaining` more by its own clock. None: it has nothing to grant,
    /// or too many hold a lease already.
    pub fn grant<S: Versioned>(
        &mut self,
        now: Time,
        request: &LeaseRequest,
        state: &S,
        remaining: i64,
    ) -> Option<LeaseGrant<S, S::Delta>> {
        self.children.retain(|_, child| child.expiry > now);
        let span = self.timing.sublease_span(remaining);
        let full =
            self.children.len() >= self.max_children && !self.children.contains_key(&request.from);
        if span == 0 || full {
            return None;
        }
        self.record_grant(now, request, state.revision(), span);
        Some(answer(request, state, span))
    }

    fn record_grant(&mut self, now: Time, request: &LeaseRequest, revision: Revision, span: i64) {
        let expiry = now.saturating_add(self.timing.granter_span(span));
        // A lease of this granter is for this revision, so that a first one is for no earlier one; of several grants the
        // holder may have received the first alone.
        let child = self.children.entry(request.from).or_insert(Child {
            acknowledged: revision,
            expiry,
            last_request: (request.seq, request.known),
            answered_at: now,
            span,
        });
        child.acknowledged = child.acknowledged.max(request.acknowledged.min(revision));
        child.expiry = child.expiry.max(expiry);
        child.last_request = (request.seq, request.known);
        child.answered_at = now;
        child.span = span;
    }

    /// Its own right was extended and lasts for `remaining` more: answers once more the last requests that were granted
    /// much less, of the holders that have this revision. Such a lease is counted from before that request, as the first
    /// one was. Returns the holder, the request's number and the length of each.
    pub fn extend_live_leases(
        &mut self,
        now: Time,
        revision: Revision,
        remaining: i64,
    ) -> Vec<(Member, u64, i64)> {
        let span = self.timing.sublease_span(remaining);
        let least_gain = (self.timing.span / EXTENSION_FRACTION).max(1);
        let lease_span = self.timing.granter_span(span);
        let mut extended = Vec::new();
        for (member, child) in &mut self.children {
            let (seq, known) = child.last_request;
            let gains = span >= child.span.saturating_add(least_gain);
            if child.expiry <= now || known < revision || !gains {
                continue;
            }
            let expiry = child.answered_at.saturating_add(lease_span);
            child.expiry = child.expiry.max(expiry);
            child.span = span;
            extended.push((*member, seq, span));
        }
        extended
    }

    /// A member that may hold a lease reports, without a request, that none below it is for a revision before this one.
    pub fn acknowledge(&mut self, from: Member, revision: Revision) {
        if let Some(child) = self.children.get_mut(&from) {
            child.acknowledged = child.acknowledged.max(revision);
        }
    }

    /// The oldest revision for which a lease that it granted may live; none: there is no such lease.
    pub fn oldest_live_revision(&self, now: Time) -> Option<Revision> {
        self.live_children(now)
            .map(|(_, child)| child.acknowledged)
            .min()
    }

    /// Whether no lease may live for a revision before this one, which a change of rules waits for.
    pub fn all_at_least(&self, now: Time, revision: Revision) -> bool {
        self.unknown_leases_until.is_none_or(|until| now >= until)
            && self
                .oldest_live_revision(now)
                .is_none_or(|oldest| oldest >= revision)
    }

    /// The members that may hold a lease.
    pub fn children(&self, now: Time) -> impl Iterator<Item = Member> + '_ {
        self.live_children(now).map(|(member, _)| *member)
    }

    fn live_children(&self, now: Time) -> impl Iterator<Item = (&Member, &Child)> {
        self.children
            .iter()
            .filter(move |(_, child)| child.expiry > now)
    }
}

fn answer<S: Versioned>(request: &LeaseRequest, state: &S, span: i64) -> LeaseGrant<S, S::Delta> {
    let revision = state.revision();
    let behind = request.known < revision;
    let delta = if request.accepts_deltas && behind {
        state.delta_since(request.known)
    } else {
        None
    };
    let needs_snapshot = behind && (delta.is_none() || request.known < state.snapshot_revision());
    LeaseGrant {
        to: request.from,
        seq: request.seq,
        span,
        revision,
        state: needs_snapshot.then(|| state.without_history()),
        delta,
    }
}
