//! The granter's side of leases.

use super::{LeaseGrant, LeaseRequest, LeaseTiming, Member, Time, Versioned};
use crate::revision::Revision;
use std::collections::BTreeMap;

/// A request is answered again only if the span of its lease grows by at least the full span divided by this.
const EXTENSION_DIVISOR: i64 = 32;

/// Grants leases to other processes, and tracks which revisions these may act on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGranter {
    timing: LeaseTiming,
    children: BTreeMap<Member, Child>,
    /// Until this time, leases may be live that this granter doesn't know of.
    unknown_leases_until: Option<Time>,
    max_children: usize,
}

/// A holder of leases from this granter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Child {
    /// No live lease of this holder is for an earlier revision.
    acknowledged: Revision,
    /// When every lease granted to this holder has expired, whichever of the grants it received.
    expiry: Time,
    /// The number of the holder's last request, and the revision that the request says it knows.
    last_request: (u64, Revision),
    /// When the last request was first answered.
    answered_at: Time,
    /// The lease span last granted for that request.
    span: i64,
}

impl LeaseGranter {
    /// Creates a granter to at most `max_children` holders at a time. `unknown_leases_since` is the current time if
    /// leases may be live that this granter doesn't know of, because an earlier process or another leader granted them.
    pub fn new(
        timing: LeaseTiming,
        max_children: usize,
        unknown_leases_since: Option<Time>,
    ) -> LeaseGranter {
        let longest = timing.granter_span(timing.span);
        LeaseGranter {
            timing,
            children: BTreeMap::new(),
            unknown_leases_until: unknown_leases_since.map(|now| now.saturating_add(longest)),
            max_children,
        }
    }

    /// Answers a request. `remaining` is how long, by its own clock, the granter may still rely on its own lease.
    /// Returns `None` if that leaves nothing to grant, or if `max_children` others hold a lease.
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
        // The first grant to a holder is for the current revision, so it has no live lease for an earlier one. If
        // several grants were sent, the holder may have received only the first, so its acknowledged revision isn't
        // raised by a grant.
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

    /// Answers last requests again after the granter's own lease was extended, which now lasts for `remaining`. Only
    /// holders that know this revision and would gain a considerable span are answered. Holders count the lease from
    /// before the request, as with the first answer. Returns the holder, the request's number and the new span of each.
    pub fn extend_live_leases(
        &mut self,
        now: Time,
        revision: Revision,
        remaining: i64,
    ) -> Vec<(Member, u64, i64)> {
        let span = self.timing.sublease_span(remaining);
        let min_gain = (self.timing.span / EXTENSION_DIVISOR).max(1);
        let lease_span = self.timing.granter_span(span);
        let mut extended = Vec::new();
        for (member, child) in &mut self.children {
            let (seq, known) = child.last_request;
            let gains = span >= child.span.saturating_add(min_gain);
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

    /// Handles a report, without a request, that no live lease of `from` or of the holders below it is for an earlier
    /// revision.
    pub fn acknowledge(&mut self, from: Member, revision: Revision) {
        if let Some(child) = self.children.get_mut(&from) {
            child.acknowledged = child.acknowledged.max(revision);
        }
    }

    /// The oldest revision that a live lease of this granter may be for; `None` if there is no live lease.
    pub fn oldest_live_revision(&self, now: Time) -> Option<Revision> {
        self.live_children(now)
            .map(|(_, child)| child.acknowledged)
            .min()
    }

    /// Whether no live lease is for an earlier revision than this one. A change of rules waits for that.
    pub fn all_at_least(&self, now: Time, revision: Revision) -> bool {
        self.unknown_leases_until.is_none_or(|until| now >= until)
            && self
                .oldest_live_revision(now)
                .is_none_or(|oldest| oldest >= revision)
    }

    /// The members that may hold a live lease.
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
