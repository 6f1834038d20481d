//! The state machine of a front end: its interface, and the order in which its parts are advanced.

mod leadership;
mod members;
mod messages;
mod scopes;
mod session;

use crate::change_controller::{ChangeBlockers, ChangeController};
use crate::command::{Command, FleetEvent, RequestRejection, StorageFailure};
use crate::config::{FleetNodeConfig, RecoveredState};
use crate::drain_gossip::DrainGossip;
use crate::known_nodes::KnownNodes;
use crate::message::{Leader, MessageBody};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tansy_agreement::compatibility::Compatibility;
use tansy_agreement::endpoints::{DrainTable, EndpointRecord};
use tansy_agreement::lease::Time;
use tansy_agreement::lease_tree::LeaseNode;
use tansy_agreement::log::{FleetState, Log, LogEntry, Revision};
use tansy_agreement::session::Session;
use tansy_agreement::subscription::{ScopeSubscriptions, SubscriptionLimits};
use tansy_consensus::{CorruptState, Replica, ReplicaConfig};
use tansy_membership::{Membership, NodeId};

/// Time between two attempts to find the fleet, and between two requests for a first session.
const RETRY_INTERVAL: Time = 200_000;

/// The state that a front end applies, and for how long it may.
#[derive(Clone, Copy, Debug)]
pub struct ActiveState<'a> {
    /// The last state that it knows; none: it has not received one.
    pub state: Option<&'a FleetState>,
    /// What remains of its lease, microseconds.
    pub lease_remaining: Time,
    /// What remains of its session, microseconds.
    pub session_remaining: Time,
}

/// What the host was notified of last.
#[derive(Clone, Copy, Default)]
struct Notified {
    versions_revision: Revision,
    has_lease: bool,
    has_session: bool,
}

/// A front end.
pub struct FleetNode {
    config: FleetNodeConfig,
    nodes: KnownNodes,
    lease_node: LeaseNode<FleetState>,
    session: Session,
    next_session_request: Time,
    next_join: Time,
    /// At a voter.
    controller: Option<ChangeController>,
    leader: Leader,
    is_leader: bool,
    /// Requests for a session in a row that nobody answered.
    unanswered_requests: usize,
    drains: DrainGossip,
    subscriptions: ScopeSubscriptions,
    /// The revision that it stated in its last request for a session.
    reported_revision: Revision,
    /// Evictions are not reported again before this time.
    next_eviction_report: Time,
    reported_evictions: u64,
    /// Addresses of front ends that sent something, for those that are not known as members yet.
    sender_addresses: BTreeMap<u64, SocketAddr>,
    notified: Notified,
    /// When it first had a lease and a session.
    active_since: Option<Time>,
}

impl FleetNode {
    /// A front end that starts without state; a voter continues from what its disk holds.
    pub fn new(
        config: FleetNodeConfig,
        recovered: Option<RecoveredState>,
        now: Time,
    ) -> Result<FleetNode, CorruptState> {
        let member = config.node.member();
        let membership = Membership::new(
            config.fleet,
            config.node.clone(),
            config.gossip,
            config.seed,
        );
        let nodes = KnownNodes::Discovered(Box::new(membership));
        let leader = Leader {
            term: 0,
            id: config.voters.first().map_or(0, |voter| voter.0),
        };
        let controller = match recovered {
            Some(recovered) => Some(new_controller(&config, recovered, now)?),
            None => None,
        };
        Ok(FleetNode {
            lease_node: LeaseNode::new(config.lease, member, nodes.topology(leader.id), now),
            nodes,
            session: Session::new(config.session, member),
            next_session_request: now,
            next_join: now,
            controller,
            leader,
            is_leader: false,
            unanswered_requests: 0,
            drains: DrainGossip::new(config.seed, now),
            subscriptions: ScopeSubscriptions::new(member, SubscriptionLimits::default(), now),
            reported_revision: Revision(0),
            next_eviction_report: now,
            reported_evictions: 0,
            sender_addresses: BTreeMap::new(),
            notified: Notified::default(),
            active_since: None,
            config,
        })
    }

    /// What it was started with.
    pub fn config(&self) -> &FleetNodeConfig {
        &self.config
    }

    /// The state that it may apply now. The caller has to ask again once the lease or the session has expired.
    pub fn active_state(&self, now: Time) -> ActiveState<'_> {
        ActiveState {
            state: self.lease_node.known_state(),
            lease_remaining: self.lease_node.remaining(now),
            session_remaining: self.session.remaining(now),
        }
    }

    /// How long it has been active: since it first had a lease and a session.
    pub fn active_for(&self, now: Time) -> Time {
        self.active_since.map_or(0, |since| (now - since).max(0))
    }

    /// The other front ends that are up.
    pub fn other_members(&self) -> impl Iterator<Item = &NodeId> {
        self.nodes.iter()
    }

    /// The agreed log, at the leader.
    pub fn log(&self) -> Option<&Log> {
        self.controller
            .as_ref()
            .filter(|_| self.is_leader)
            .and_then(ChangeController::log)
    }

    /// At any voter: the index of the last applied entry, and the log.
    pub fn applied_log(&self) -> Option<(u64, &Log)> {
        let controller = self.controller.as_ref()?;
        Some((controller.applied(), controller.log()?))
    }

    /// The leader, as far as it is known.
    pub fn leader(&self) -> Leader {
        self.leader
    }

    /// The leader's address.
    pub fn leader_address(&self) -> SocketAddr {
        let first_voter = || self.config.voters.first().map(|voter| voter.1);
        self.address(self.leader.id)
            .or_else(first_voter)
            .unwrap_or(self.config.node.address)
    }

    /// The voters and their addresses, as far as they are known here.
    pub fn voters(&self) -> Vec<(u64, SocketAddr)> {
        match self.applied_log() {
            Some((_, log)) => {
                let voters = log.voters().iter();
                voters.map(|(id, address)| (*id, *address)).collect()
            }
            None => self.config.voters.clone(),
        }
    }

    /// The address of a front end: by the log, then by the settings, then by membership, then by what it sent.
    pub fn address(&self, id: u64) -> Option<SocketAddr> {
        let log = self.applied_log().map(|(_, log)| log);
        let voter = log.and_then(|log| log.voters().get(&id).copied());
        let learner = || {
            log.and_then(Log::voter_replacement)
                .filter(|replacement| replacement.new == id)
                .map(|replacement| replacement.address)
        };
        let configured = || {
            let voter = self.config.voters.iter().find(|voter| voter.0 == id);
            voter.map(|voter| voter.1)
        };
        let own = || (self.config.node.id == id).then_some(self.config.node.address);
        voter
            .or_else(learner)
            .or_else(configured)
            .or_else(own)
            .or_else(|| self.nodes.address(id))
            .or_else(|| self.sender_addresses.get(&id).copied())
    }

    /// What the change that is being introduced waits for, at the leader.
    pub fn change_blockers(&self, now: Time) -> Option<ChangeBlockers> {
        self.controller
            .as_ref()?
            .blockers(now, &self.lease_node, &self.config.schema)
    }

    /// When [`FleetNode::tick`] is due next.
    pub fn next_deadline(&self) -> Time {
        let controller = self.controller.as_ref();
        let deadlines = [
            self.nodes.next_deadline(),
            self.lease_node.next_deadline(),
            self.next_session_request,
            self.next_join,
            controller.map_or(Time::MAX, ChangeController::next_deadline),
            self.drains.next_deadline(),
            self.subscriptions.next_deadline(),
        ];
        deadlines.into_iter().min().unwrap_or(Time::MAX)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time, commands: &mut Vec<Command>) {
        self.nodes.tick(now);
        if let Some(controller) = &mut self.controller {
            controller.tick(now, commands);
        }
        if now >= self.next_join {
            self.join(now);
        }
        self.update_leadership(now, commands);
        self.flush_membership(now, commands);
        self.tick_leases(now, commands);
        if now >= self.next_session_request {
            self.request_session(now, commands);
        }
        self.drains.tick(now, &self.nodes, commands);
        self.advance(now, commands);
    }

    /// A list of endpoints was read here: those that drain are made known to the others.
    pub fn update_endpoints(
        &mut self,
        now: Time,
        records: Vec<EndpointRecord>,
        commands: &mut Vec<Command>,
    ) {
        self.drains
            .on_records(now, records, self.nodes.iter(), commands);
    }

    /// The endpoints that drain, by all that the fleet made known.
    pub fn drains(&self) -> &DrainTable {
        self.drains.table()
    }

    /// Increases with each change of [`FleetNode::drains`].
    pub fn drain_changes(&self) -> u64 {
        self.drains.changes()
    }

    /// Asks for an entry; [`Command::Respond`] carries this number.
    pub fn request(
        &mut self,
        now: Time,
        request: u64,
        entry: LogEntry,
        commands: &mut Vec<Command>,
    ) {
        self.update_leadership(now, commands);
        match &mut self.controller {
            Some(controller) if self.is_leader => controller.request(request, entry, commands),
            _ => {
                let outcome = Err(RequestRejection::NotLeader {
                    leader: self.leader_address(),
                });
                commands.push(Command::Respond { request, outcome });
            }
        }
        self.advance(now, commands);
    }

    /// The first record that was to be persisted is synced, or could not be written.
    pub fn on_persisted(
        &mut self,
        now: Time,
        result: Result<(), StorageFailure>,
        commands: &mut Vec<Command>,
    ) {
        let Some(controller) = &mut self.controller else {
            return;
        };
        controller.on_persisted(now, result, commands);
        self.update_leadership(now, commands);
        self.advance(now, commands);
    }

    /// It stops being active: the others need not detect it, and no change waits for it.
    pub fn leave(&mut self, now: Time, commands: &mut Vec<Command>) {
        let member = self.config.node.member();
        match &mut self.controller {
            Some(controller) if self.is_leader => controller.on_departed(member),
            _ => commands.push(Command::Send {
                to: self.leader_address(),
                body: MessageBody::Departed(member),
            }),
        }
        self.advance(now, commands);
        self.nodes.leave(now);
        self.flush_membership(now, commands);
    }

    /// Whether a change of strict fields is being introduced.
    fn has_strict_change(&self, state: &FleetState) -> bool {
        state
            .conflicting_fields(&self.config.schema)
            .iter()
            .any(|conflict| conflict.compatibility == Compatibility::Strict)
    }

    /// Does what follows from an event: the leader's entries, requests to the leader, and notifications.
    fn advance(&mut self, now: Time, commands: &mut Vec<Command>) {
        self.apply_known_state(now);
        let known = self.lease_node.known_state();
        let versions_revision = known.map_or(Revision(0), |state| state.versions_revision);
        if versions_revision != self.notified.versions_revision {
            self.on_versions_changed(now, commands);
        }
        self.update_subscriptions(now, commands);
        if let Some(controller) = self.controller.as_mut().filter(|_| self.is_leader) {
            controller.advance(now, &self.lease_node, &self.config.schema, commands);
        }
        self.apply_known_state(now);
        self.notify_lease_and_session(now, commands);
        self.notified.versions_revision = versions_revision;
    }

    fn on_versions_changed(&mut self, now: Time, commands: &mut Vec<Command>) {
        let mut is_strict = false;
        if let Some(state) = self.lease_node.known_state() {
            commands.push(Command::Notify(FleetEvent::RevisionChanged {
                revision: state.revision,
                in_force: state.in_force.version.0,
                next: state.next.as_ref().map(|(next, _)| next.version.0),
            }));
            is_strict = self.has_strict_change(state);
        }
        // The leader waits for all sessions before a strict change goes on; and a first session is urgent.
        if is_strict || self.session.remaining(now) == 0 {
            self.request_session(now, commands);
        }
    }

    fn notify_lease_and_session(&mut self, now: Time, commands: &mut Vec<Command>) {
        let active = self.active_state(now);
        let has_lease = active.lease_remaining > 0;
        let has_session = active.session_remaining > 0;
        if has_lease != self.notified.has_lease {
            commands.push(Command::Notify(FleetEvent::Lease { is_live: has_lease }));
        }
        if has_session != self.notified.has_session {
            commands.push(Command::Notify(FleetEvent::Session {
                is_live: has_session,
            }));
        }
        if has_lease && has_session {
            self.active_since.get_or_insert(now);
        }
        self.notified.has_lease = has_lease;
        self.notified.has_session = has_session;
    }
}

fn new_controller(
    config: &FleetNodeConfig,
    recovered: RecoveredState,
    now: Time,
) -> Result<ChangeController, CorruptState> {
    let replica_config = ReplicaConfig {
        id: config.node.id,
        incarnation: config.node.incarnation,
        voters: config.voters.iter().copied().collect(),
        timing: config.lease,
        initial_fields: recovered.initial_fields,
        seed: config.seed,
    };
    let replica = Replica::new(replica_config, &recovered.persistent, now)?;
    Ok(ChangeController::new(replica, config.session, now))
}
