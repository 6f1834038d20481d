//! The state machine of one node of the tree.

use super::source::{GrantedLease, LeaseSource};
use super::{LeaseMessage, LeaseTopology, Outbox, FAN_OUT, GUESTS, REQUESTS_PER_SPAN};
use crate::lease::{
    LeaseGrant, LeaseGranter, LeaseHolder, LeaseRequest, LeaseTiming, Member, Time, Versioned,
};
use crate::revision::Revision;
use std::collections::BTreeMap;

/// The part of a lease's length by which a request follows the renewal of the granter's own lease, so that it does not
/// arrive before that now and then.
const RENEWAL_MARGIN: i64 = 64;
/// The number of names whose incarnation is remembered before those without a live lease are dropped.
const MAX_INCARNATIONS: usize = 4 * GUESTS;

/// A node of the tree: a front end, or the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseNode<S> {
    timing: LeaseTiming,
    member: Member,
    topology: LeaseTopology,
    source: LeaseSource<S>,
    granter: LeaseGranter,
    next_request: Time,
    /// The latest incarnation that requested a lease, by name; requests of earlier ones are ignored.
    incarnations: BTreeMap<u64, u64>,
    /// The revision that it last acknowledged to its granter.
    acknowledged: Revision,
    /// The time from its last answered request to the answer.
    round_trip: Time,
    /// The members that granted it a lease lately, and when last: until that lease expires they wait for what this node
    /// acknowledges.
    recent_granters: BTreeMap<u64, Time>,
}

impl<S: Versioned> LeaseNode<S> {
    /// A front end that knows no state.
    pub fn new(
        timing: LeaseTiming,
        member: Member,
        topology: LeaseTopology,
        now: Time,
    ) -> LeaseNode<S> {
        let holder = LeaseHolder::new(timing, member);
        LeaseNode::with_holder(timing, member, topology, holder, now)
    }

    /// A front end that was the leader until now and knows this state. Leases that it granted expire with its right as
    /// the leader, which the next leader waits for.
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

    /// The leader, with the state of its log. It takes no step that changes rules before all leases that an earlier
    /// process or leader may have granted have expired.
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
        predecessor: Option<Time>,
        now: Time,
    ) -> LeaseNode<S> {
        LeaseNode {
            timing,
            member,
            topology,
            source,
            granter: LeaseGranter::new(timing, FAN_OUT + GUESTS, predecessor),
            next_request: now,
            incarnations: BTreeMap::new(),
            acknowledged: Revision(0),
            round_trip: 0,
            recent_granters: BTreeMap::new(),
        }
    }

    /// The member that this node is.
    pub fn member(&self) -> Member {
        self.member
    }

    /// The known members changed.
    pub fn update_topology(&mut self, topology: LeaseTopology) {
        if let LeaseSource::Granted(lease) = &mut self.source {
            if self.topology != topology {
                lease.reset_level();
            }
        }
        self.topology = topology;
    }

    /// The state that it acts on at this time; none: it holds no live lease, and acts by
    /// [`crate::compatibility::rules_after_expiry`].
    pub fn active_state(&self, now: Time) -> Option<&S> {
        self.source.active_state(now)
    }

    /// The last known state.
    pub fn known_state(&self) -> Option<&S> {
        self.source.known_state()
    }

    /// The time for which it may still act, and grant leases.
    pub fn remaining(&self, now: Time) -> i64 {
        self.source.remaining(now)
    }

    /// Whether no live lease of the fleet is for a revision before this one. Only the leader can tell, and only of the
    /// revision that it acts on itself: its log may be ahead of it.
    pub fn all_at_least(&self, now: Time, revision: Revision) -> bool {
        matches!(&self.source, LeaseSource::Leader { state, .. } if state.revision() == revision)
            && self.granter.all_at_least(now, revision)
    }

    /// The same for what does not wait for the last revision: the leader acts on this revision or a later one itself.
    pub fn all_have_reached(&self, now: Time, revision: Revision) -> bool {
        matches!(&self.source, LeaseSource::Leader { state, .. } if state.revision() >= revision)
            && self.granter.all_at_least(now, revision)
    }

    /// The leader may act until a later time.
    pub fn extend_leader_lease(&mut self, now: Time, to: Time, outbox: &mut Outbox<S>) {
        match &mut self.source {
            LeaseSource::Leader { until, .. } if to > *until => *until = to,
            _ => return,
        }
        self.extend_subleases(now, outbox);
    }

    /// The leader's log has a new state.
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

    /// When [`LeaseNode::tick`] has something to do.
    pub fn next_deadline(&self) -> Time {
        match self.source {
            LeaseSource::Leader { .. } => Time::MAX,
            LeaseSource::Granted { .. } => self.next_request,
        }
    }

    /// Handles a message from the member of this name.
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
            // Sent in the name of another.
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

    /// Whether no later process of its name has requested a lease; it is then remembered as the latest.
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

    /// Whether a member is a child in the topology, or there is room for a guest.
    fn admits(&self, now: Time, member: Member) -> bool {
        let is_child = |m: Member| self.topology.ancestor(m.id, 0) == Some(self.member.id);
        let other_guests = || {
            self.granter
                .children(now)
                .filter(|m| *m != member && !is_child(*m))
                .count()
        };
        is_child(member) || other_guests() < GUESTS
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
            // The granter's own lease was renewed just now: from here on requests follow shortly after that.
            Some((_, true)) if effect.extended && !effect.later && effect.from_chosen => {
                self.send_request(now, outbox);
                let lead = self.round_trip.clamp(0, self.timing.span / 8);
                self.next_request += self.timing.span / RENEWAL_MARGIN - lead;
            }
            _ => {}
        }
        if effect.later {
            self.announce_revision(now, outbox);
            // The granter waits for this node to reach the revision, which it has now.
            self.send_request(now, outbox);
        }
        if effect.extended {
            self.extend_subleases(now, outbox);
        }
    }

    /// Its own right was renewed. Those below send requests as often as it does, so that one that did so just before
    /// would get the shortest lease each time, and after several links none at all: they are granted the rest.
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

    /// Notifies those below that there is a revision to request.
    fn announce_revision(&self, now: Time, outbox: &mut Outbox<S>) {
        if let Some(revision) = self.known_state().map(Versioned::revision) {
            let children = self.granter.children(now);
            outbox.extend(children.map(|m| (m.id, LeaseMessage::Revision(revision))));
        }
    }

    /// Sends a request to the chosen granter and an acknowledgement to recent ones. A node that has turned to a granter
    /// beyond its own parent goes on sending requests to that parent, and returns to it once it grants.
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

    /// When the last one below has come as far as this node, the granter, which waits for that, is sent it at once.
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
