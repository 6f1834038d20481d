//! The state machine of one node of the tree.

use super::source::{GrantedLease, LeaseSource};
use super::{LeaseMessage, LeaseTopology, Outbox, FAN_OUT, MAX_EXTRA_CHILDREN, REQUESTS_PER_SPAN};
use crate::lease::{
    LeaseGrant, LeaseGranter, LeaseHolder, LeaseRequest, LeaseTiming, Member, Time, Versioned,
};
use crate::revision::Revision;
use std::collections::BTreeMap;

/// The span of a lease divided by this is the delay between the renewal of the granter's own lease and the planned arrival
/// of a request, so that requests don't arrive before the renewal.
const RENEWAL_MARGIN_DIVISOR: i64 = 64;
/// Requests are sent earlier than their planned arrival by the round-trip time, but by at most the span of a lease divided
/// by this.
const MAX_LEAD_DIVISOR: i64 = 8;
/// The number of members whose incarnation is remembered before those without a live lease are dropped.
const MAX_INCARNATIONS: usize = 4 * MAX_EXTRA_CHILDREN;

/// A node of the tree: a front end, or the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseNode<S> {
    timing: LeaseTiming,
    member: Member,
    topology: LeaseTopology,
    source: LeaseSource<S>,
    granter: LeaseGranter,
    next_request: Time,
    /// The latest incarnation that requested a lease, by [`Member::id`]; requests of earlier ones are ignored.
    incarnations: BTreeMap<u64, u64>,
    /// The revision that this node last acknowledged to its granter.
    acknowledged: Revision,
    /// The time between the last answered request and its answer.
    round_trip: Time,
    /// The members that granted this node a lease within two spans of a lease, with the time of the last grant. Each of
    /// them waits for this node's acknowledgements until the lease that it granted expires.
    recent_granters: BTreeMap<u64, Time>,
}

impl<S: Versioned> LeaseNode<S> {
    /// Creates the node of a front end that knows no state.
    pub fn new(
        timing: LeaseTiming,
        member: Member,
        topology: LeaseTopology,
        now: Time,
    ) -> LeaseNode<S> {
        let holder = LeaseHolder::new(timing, member);
        LeaseNode::with_holder(timing, member, topology, holder, now)
    }

    /// Creates the node of a front end that was the leader until now and knows this state. The leases that it granted
    /// expire with its own lease as the leader, which the next leader waits for.
    pub fn with_state(
        timing: LeaseTiming,
        member: Member,
        topology: LeaseTopology,
        state: S,
        now: Time,
    ) -> LeaseNode<S> {
        let holder = LeaseHolder::with_state(timing, member, state);
        LeaseNode::with_holder(timing, member, topology, holder, now)
    }

    /// Creates the node of the leader, with the state of its log. An earlier process or leader may have granted leases;
    /// until all of these have expired, [`LeaseNode::all_at_least`] and [`LeaseNode::all_have_reached`] return false.
    pub fn leader(
        timing: LeaseTiming,
        member: Member,
        topology: LeaseTopology,
        state: S,
        until: Time,
        now: Time,
    ) -> LeaseNode<S> {
        let source = LeaseSource::Leader { state, until };
        LeaseNode::with_source(timing, member, topology, source, Some(now), now)
    }

    fn with_holder(
        timing: LeaseTiming,
        member: Member,
        topology: LeaseTopology,
        holder: LeaseHolder<S>,
        now: Time,
    ) -> LeaseNode<S> {
        let source = LeaseSource::Granted(GrantedLease::new(holder));
        LeaseNode::with_source(timing, member, topology, source, None, now)
    }

    fn with_source(
        timing: LeaseTiming,
        member: Member,
        topology: LeaseTopology,
        source: LeaseSource<S>,
        unknown_leases_since: Option<Time>,
        now: Time,
    ) -> LeaseNode<S> {
        LeaseNode {
            timing,
            member,
            topology,
            source,
            granter: LeaseGranter::new(timing, FAN_OUT + MAX_EXTRA_CHILDREN, unknown_leases_since),
            next_request: now,
            incarnations: BTreeMap::new(),
            acknowledged: Revision(0),
            round_trip: 0,
            recent_granters: BTreeMap::new(),
        }
    }

    /// The member that this node belongs to.
    pub fn member(&self) -> Member {
        self.member
    }

    /// Handles a change of the known members.
    pub fn update_topology(&mut self, topology: LeaseTopology) {
        if let LeaseSource::Granted(lease) = &mut self.source {
            if self.topology != topology {
                lease.reset_level();
            }
        }
        self.topology = topology;
    }

    /// The state that this node may act on now. Without a live lease it is `None`, and the front end acts on
    /// [`crate::compatibility::rules_without_lease`] or [`crate::compatibility::rules_after_expiry`].
    pub fn active_state(&self, now: Time) -> Option<&S> {
        self.source.active_state(now)
    }

    /// The latest known state.
    pub fn known_state(&self) -> Option<&S> {
        self.source.known_state()
    }

    /// For how long the node may still act and grant leases.
    pub fn remaining(&self, now: Time) -> i64 {
        self.source.remaining(now)
    }

    /// Whether this is the leader's node, its state has this revision, and no live lease of the fleet is for an earlier
    /// one. The log may be ahead of the node; for later revisions of the log the result is false.
    pub fn all_at_least(&self, now: Time, revision: Revision) -> bool {
        matches!(&self.source, LeaseSource::Leader { state, .. } if state.revision() == revision)
            && self.granter.all_at_least(now, revision)
    }

    /// Like [`LeaseNode::all_at_least`], but also for revisions before the one that the leader's node has.
    pub fn all_have_reached(&self, now: Time, revision: Revision) -> bool {
        matches!(&self.source, LeaseSource::Leader { state, .. } if state.revision() >= revision)
            && self.granter.all_at_least(now, revision)
    }

    /// Extends the time until which the leader may act.
    pub fn extend_leader_lease(&mut self, now: Time, new_expiry: Time, outbox: &mut Outbox<S>) {
        match &mut self.source {
            LeaseSource::Leader { until, .. } if new_expiry > *until => *until = new_expiry,
            _ => return,
        }
        self.extend_subleases(now, outbox);
    }

    /// Handles a new state of the leader's log.
    pub fn on_state_change(&mut self, now: Time, new: S, outbox: &mut Outbox<S>) {
        if let LeaseSource::Leader { state, .. } = &mut self.source {
            *state = new;
        }
        self.announce_revision(now, outbox);
    }

    /// Sends a request when one is due.
    pub fn tick(&mut self, now: Time, outbox: &mut Outbox<S>) {
        if now >= self.next_request {
            self.send_request(now, outbox);
        }
    }

    /// When [`LeaseNode::tick`] has to be called next.
    pub fn next_deadline(&self) -> Time {
        match self.source {
            LeaseSource::Leader { .. } => Time::MAX,
            LeaseSource::Granted { .. } => self.next_request,
        }
    }

    /// Handles a message that the member `from` sent.
    pub fn on_message(
        &mut self,
        now: Time,
        from: u64,
        message: LeaseMessage<S, S::Delta>,
        outbox: &mut Outbox<S>,
    ) {
        match message {
            LeaseMessage::Request(request) if request.from.id == from => {
                self.on_request(now, request, outbox);
            }
            LeaseMessage::Acknowledge {
                from: member,
                revision,
            } if member.id == from => {
                self.granter.acknowledge(member, revision);
                self.acknowledge_upward(now, outbox);
            }
            // The sender claims to be another member.
            LeaseMessage::Request(_) | LeaseMessage::Acknowledge { .. } => {}
            LeaseMessage::Grant(grant) => self.on_grant(now, from, grant, outbox),
            LeaseMessage::Revision(revision) => {
                if self.known_state().is_none_or(|s| s.revision() < revision) {
                    self.send_request(now, outbox);
                }
            }
        }
    }

    fn on_request(&mut self, now: Time, request: LeaseRequest, outbox: &mut Outbox<S>) {
        if !self.is_latest_incarnation(now, request.from) || !self.admits(now, request.from) {
            return;
        }
        let remaining = self.remaining(now);
        let state = self.source.known_state();
        let grant = state.and_then(|state| self.granter.grant(now, &request, state, remaining));
        outbox.extend(grant.map(|grant| (request.from.id, LeaseMessage::Grant(grant))));
        self.acknowledge_upward(now, outbox);
    }

    /// Whether no later process of the same name has requested a lease. If there is none, records this process as the
    /// latest.
    fn is_latest_incarnation(&mut self, now: Time, member: Member) -> bool {
        let latest = self.incarnations.get(&member.id).copied().unwrap_or(0);
        if member.incarnation < latest {
            return false;
        }
        self.incarnations.insert(member.id, member.incarnation);
        if self.incarnations.len() > MAX_INCARNATIONS {
            let live: Vec<u64> = self.granter.children(now).map(|m| m.id).collect();
            self.incarnations.retain(|id, _| live.contains(id));
        }
        true
    }

    /// Whether the node grants leases to a member: to its children in the topology, and to others while there is room.
    fn admits(&self, now: Time, member: Member) -> bool {
        let is_child = |m: Member| self.topology.ancestor(m.id, 0) == Some(self.member.id);
        let other_extra_children = || {
            self.granter
                .children(now)
                .filter(|m| *m != member && !is_child(*m))
                .count()
        };
        is_child(member) || other_extra_children() < MAX_EXTRA_CHILDREN
    }

    fn on_grant(
        &mut self,
        now: Time,
        from: u64,
        grant: LeaseGrant<S, S::Delta>,
        outbox: &mut Outbox<S>,
    ) {
        let LeaseSource::Granted(lease) = &mut self.source else {
            return;
        };
        self.recent_granters.insert(from, now);
        let effect = lease.on_grant(now, from, grant, self.member, &self.topology, self.timing);
        match effect.request {
            Some((sent_at, false)) => self.round_trip = now - sent_at,
            // A repeated answer means that the granter's own lease was renewed just now. From now on, requests are
            // timed to arrive shortly after such renewals.
            Some((_, true)) if effect.extended && !effect.later && effect.from_chosen => {
                self.send_request(now, outbox);
                let lead = self
                    .round_trip
                    .clamp(0, self.timing.span / MAX_LEAD_DIVISOR);
                self.next_request += self.timing.span / RENEWAL_MARGIN_DIVISOR - lead;
            }
            _ => {}
        }
        if effect.later {
            self.announce_revision(now, outbox);
            // The granter waits for this node to reach the revision, which it now has.
            self.send_request(now, outbox);
        }
        if effect.extended {
            self.extend_subleases(now, outbox);
        }
    }

    /// Extends granted leases after this node's own lease was renewed. The nodes below request leases as often as this
    /// node does, so one that sent its request just before the renewal would get the shortest lease each time, and
    /// after several hops none at all.
    fn extend_subleases(&mut self, now: Time, outbox: &mut Outbox<S>) {
        let remaining = self.remaining(now);
        let Some(revision) = self.known_state().map(Versioned::revision) else {
            return;
        };
        for (to, seq, span) in self.granter.extend_live_leases(now, revision, remaining) {
            let grant = LeaseGrant {
                to,
                seq,
                span,
                revision,
                state: None,
                delta: None,
            };
            outbox.push((to.id, LeaseMessage::Grant(grant)));
        }
    }

    /// Announces the revision to the nodes below.
    fn announce_revision(&self, now: Time, outbox: &mut Outbox<S>) {
        if let Some(revision) = self.known_state().map(Versioned::revision) {
            let children = self.granter.children(now);
            outbox.extend(children.map(|m| (m.id, LeaseMessage::Revision(revision))));
        }
    }

    /// Sends a request to the current granter and an acknowledgement to other recent granters. A node whose
    /// current granter is above its parent also sends requests to the parent, and returns to the parent when the parent
    /// grants a lease that extends its own.
    fn send_request(&mut self, now: Time, outbox: &mut Outbox<S>) {
        let LeaseSource::Granted(lease) = &mut self.source else {
            return;
        };
        let retention = 2 * self.timing.span;
        self.recent_granters
            .retain(|_, at| now.saturating_sub(*at) < retention);
        self.next_request = now.saturating_add(self.timing.span / REQUESTS_PER_SPAN);
        let Some(granter) = lease.choose_granter(&self.topology, self.member.id) else {
            return;
        };
        let oldest_below = self.granter.oldest_live_revision(now);
        let request = lease.holder.request(now, oldest_below);
        self.acknowledged = request.acknowledged;
        outbox.push((granter, LeaseMessage::Request(request)));
        for other in self.recent_granters.keys().filter(|g| **g != granter) {
            let acknowledge = LeaseMessage::Acknowledge {
                from: request.from,
                revision: request.acknowledged,
            };
            outbox.push((*other, acknowledge));
        }
        let parent = self.topology.ancestor(self.member.id, 0);
        if let Some(parent) = parent.filter(|p| lease.bypasses_parent() && *p != granter) {
            let request = lease.holder.request(now, oldest_below);
            outbox.push((parent, LeaseMessage::Request(request)));
        }
    }

    /// Sends a request, which carries an acknowledgement, once this node and all nodes below have reached a later revision
    /// than the last acknowledged one. The granter waits for this acknowledgement.
    fn acknowledge_upward(&mut self, now: Time, outbox: &mut Outbox<S>) {
        let known = self.known_state().map_or(Revision(0), Versioned::revision);
        let reached = self
            .granter
            .oldest_live_revision(now)
            .map_or(known, |oldest| oldest.min(known));
        if reached > self.acknowledged {
            self.send_request(now, outbox);
        }
    }
}
