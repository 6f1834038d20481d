//! The source of a node's authority to act and to grant leases.

use super::{LeaseTopology, REQUESTS_PER_SPAN};
use crate::lease::{LeaseGrant, LeaseHolder, LeaseTiming, Member, Time, Versioned};

/// The number of consecutive unanswered requests after which a node turns to the next granter.
const MAX_UNANSWERED: u32 = 2;

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LeaseSource<S> {
    /// This node is the leader: the state of the log, and until when it leads.
    Leader { state: S, until: Time },
    /// A lease that another member has granted.
    Granted(GrantedLease<S>),
}

impl<S: Versioned> LeaseSource<S> {
    pub(super) fn known_state(&self) -> Option<&S> {
        match self {
            LeaseSource::Leader { state, .. } => Some(state),
            LeaseSource::Granted(lease) => lease.holder.known_state(),
        }
    }

    pub(super) fn active_state(&self, now: Time) -> Option<&S> {
        match self {
            LeaseSource::Leader { state, until } => Some(state).filter(|_| now < *until),
            LeaseSource::Granted(lease) => lease.holder.active_state(now),
        }
    }

    pub(super) fn remaining(&self, now: Time) -> i64 {
        match self {
            LeaseSource::Leader { until, .. } => until.saturating_sub(now).max(0),
            LeaseSource::Granted(lease) => lease.holder.remaining(now),
        }
    }
}

/// A lease granted by another member, and which member it is requested from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct GrantedLease<S> {
    pub(super) holder: LeaseHolder<S>,
    /// The level of the current granter above this node, as in [`LeaseTopology::ancestor`].
    level: u32,
    /// The number of consecutive requests that the current granter did not answer.
    unanswered: u32,
}

/// The effect of a grant on a node's lease.
pub(super) struct GrantEffect {
    /// Whether the grant came from the current granter.
    pub(super) from_chosen: bool,
    /// When the request that the grant answers was sent, and whether it was answered before.
    pub(super) request: Option<(Time, bool)>,
    /// Whether the known state moved on to a later revision.
    pub(super) later: bool,
    /// Whether the lease lasts longer than before.
    pub(super) extended: bool,
}

impl<S: Versioned> GrantedLease<S> {
    pub(super) fn new(holder: LeaseHolder<S>) -> GrantedLease<S> {
        GrantedLease {
            holder,
            level: 0,
            unanswered: 0,
        }
    }

    /// Returns to the parent as granter.
    pub(super) fn reset_level(&mut self) {
        self.level = 0;
        self.unanswered = 0;
    }

    /// Whether the current granter is above the parent.
    pub(super) fn bypasses_parent(&self) -> bool {
        self.level > 0
    }

    /// The member that the next request goes to; `None` if the topology has none. The request counts as unanswered
    /// until a grant arrives.
    pub(super) fn choose_granter(&mut self, topology: &LeaseTopology, member: u64) -> Option<u64> {
        if self.unanswered >= MAX_UNANSWERED {
            self.level = topology.next_level(member, self.level);
            self.unanswered = 0;
        }
        let granter = topology.ancestor(member, self.level)?;
        self.unanswered += 1;
        Some(granter)
    }

    pub(super) fn on_grant(
        &mut self,
        now: Time,
        from: u64,
        grant: LeaseGrant<S, S::Delta>,
        member: Member,
        topology: &LeaseTopology,
        timing: LeaseTiming,
    ) -> GrantEffect {
        let from_chosen = topology.ancestor(member.id, self.level) == Some(from);
        let before = self.holder.remaining(now);
        let request = self.holder.sent_request(grant.seq);
        let later = self.holder.on_grant(grant);
        let remaining = self.holder.remaining(now);
        let extended = remaining > before;
        // A lease that expires before the next answer can arrive is useless, and a grant from the parent doesn't count
        // for the current granter.
        if from_chosen && remaining >= timing.span / REQUESTS_PER_SPAN {
            self.unanswered = 0;
        }
        // If a lease is not extended any more, its granter's own lease isn't renewed, or leases are passed around a
        // cycle.
        let short = remaining < timing.span / 2;
        if short && !extended && from_chosen {
            self.level = topology.next_level(member.id, self.level);
        } else if !short && extended && topology.ancestor(member.id, 0) == Some(from) {
            self.level = 0;
        }
        GrantEffect {
            from_chosen,
            request,
            later,
            extended,
        }
    }
}
