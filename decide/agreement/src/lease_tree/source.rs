//! What a node's right to act and to grant leases comes from.

use super::{LeaseTopology, REQUESTS_PER_SPAN};
use crate::lease::{LeaseGrant, LeaseHolder, LeaseTiming, Member, Time, Versioned};

/// The number of unanswered requests after which a node turns to the next granter.
const MAX_UNANSWERED: u32 = 2;

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LeaseSource<S> {
    /// The leader's own: the state of the log, for as long as it leads.
    Leader { state: S, until: Time },
    /// A lease granted by another member.
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
    /// Which granter is asked, as [`LeaseTopology::ancestor`] counts them.
    level: u32,
    /// Requests in a row that the chosen granter did not answer.
    unanswered: u32,
}

/// What a grant did to a node's lease.
pub(super) struct GrantEffect {
    /// Whether it came from the granter of the present choice.
    pub(super) from_chosen: bool,
    /// When the request that it answers was sent, and whether that was answered before.
    pub(super) request: Option<(Time, bool)>,
    /// Whether it leads to a later revision.
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

    /// Starts over with the own parent.
    pub(super) fn reset_level(&mut self) {
        self.level = 0;
        self.unanswered = 0;
    }

    /// Whether a granter beyond the own parent is chosen.
    pub(super) fn bypasses_parent(&self) -> bool {
        self.level > 0
    }

    /// The granter that the next request goes to, which counts as unanswered until a grant arrives; none: the topology
    /// has none.
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
        // A lease that expires before the next answer is none, nor does a grant of the own parent count for the chosen
        // granter.
        if from_chosen && remaining >= timing.span / REQUESTS_PER_SPAN {
            self.unanswered = 0;
        }
        // A lease that is not extended any more is granted out of one that isn't renewed, or goes round in a ring.
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
