//! The state machine: its interface, and the order in which its parts are advanced.

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

/// Time between two attempts to join while no other front end is known, and between two session requests while there is
/// no session or the last request is unanswered.
const RETRY_INTERVAL: Time = 200_000;

/// The state that a front end applies, and the time for which it may.
#[derive(Clone, Copy, Debug)]
pub struct ActiveState<'a> {
    /// The last known state; `None` until the front end has received one.
    pub state: Option<&'a FleetState>,
    /// Microseconds until the lease expires; 0 without a lease.
    pub lease_remaining: Time,
    /// Microseconds until the session expires; 0 without a session.
    pub session_remaining: Time,
}

/// The state that was last reported in [`Command::Notify`].
#[derive(Clone, Copy, Default)]
struct Notified {
    versions_revision: Revision,
    has_lease: bool,
    has_session: bool,
}

/// The fleet node of one front end.
pub struct FleetNode {
    config: FleetNodeConfig,
    nodes: KnownNodes,
    lease_node: LeaseNode<FleetState>,
    session: Session,
    next_session_request: Time,
    next_join: Time,
    /// `None` unless this front end is a voter or may become one.
    controller: Option<ChangeController>,
    leader: Leader,
    is_leader: bool,
    /// Session requests sent since the last grant.
    unanswered_requests: usize,
    drains: DrainGossip,
    subscriptions: ScopeSubscriptions,
    /// The revision reported in the last session request.
    reported_revision: Revision,
    /// Earliest time of the next report of evictions.
    next_eviction_report: Time,
    reported_evictions: u64,
    /// Addresses of senders by id, for front ends that are not known as members yet.
    sender_addresses: BTreeMap<u64, SocketAddr>,
    notified: Notified,
    /// When this front end first held both a lease and a session.
    active_since: Option<Time>,
}

impl FleetNode {
    /// Creates a node that knows no state. A voter passes the state recovered from its disk.
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

    /// The configuration that the node was created with.
    pub fn config(&self) -> &FleetNodeConfig {
        &self.config
    }

    /// The state that the front end may apply now. It changes when the lease or the session expires.
    pub fn active_state(&self, now: Time) -> ActiveState<'_> {
        ActiveState {
            state: self.lease_node.known_state(),
            lease_remaining: self.lease_node.remaining(now),
            session_remaining: self.session.remaining(now),
        }
    }

    /// The time since the front end first held both a lease and a session.
    pub fn active_for(&self, now: Time) -> Time {
        self.active_since.map_or(0, |since| (now - since).max(0))
    }

    /// The other front ends that are up.
    pub fn other_members(&self) -> impl Iterator<Item = &NodeId> {
        self.nodes.iter()
    }

    /// The agreed log; `None` unless this front end leads.
    pub fn log(&self) -> Option<&Log> {
        self.controller
            .as_ref()
            .filter(|_| self.is_leader)
            .and_then(ChangeController::log)
    }

    /// The index of the last applied entry and the log as of it; `None` unless this front end has a replica of the log.
    pub fn applied_log(&self) -> Option<(u64, &Log)> {
        let controller = self.controller.as_ref()?;
        Some((controller.applied(), controller.log()?))
    }

    /// The last known leader.
    pub fn leader(&self) -> Leader {
        self.leader
    }

    /// Address of the last known leader.
    pub fn leader_address(&self) -> SocketAddr {
        let first_voter = || self.config.voters.first().map(|voter| voter.1);
        self.address(self.leader.id)
            .or_else(first_voter)
            .unwrap_or(self.config.node.address)
    }

    /// Ids and addresses of the voters by the applied log, or else by the configuration.
    pub fn voters(&self) -> Vec<(u64, SocketAddr)> {
        match self.applied_log() {
            Some((_, log)) => {
                let voters = log.voters().iter();
                voters.map(|(id, address)| (*id, *address)).collect()
            }
            None => self.config.voters.clone(),
        }
    }

    /// Address of a front end. The log is looked up first, then the configuration, membership, and addresses of senders.
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

    /// What the changes in progress wait for; `None` if there are none or this front end does not lead.
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

    /// Handles everything that is due by now.
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

    /// Merges the drains of an endpoint list that this front end read, and sends new ones to others.
    pub fn update_endpoints(
        &mut self,
        now: Time,
        records: Vec<EndpointRecord>,
        commands: &mut Vec<Command>,
    ) {
        self.drains
            .on_records(now, records, self.nodes.iter(), commands);
    }

    /// The endpoints that are draining or gone, as known in the fleet.
    pub fn drains(&self) -> &DrainTable {
        self.drains.table()
    }

    /// Counts the changes of [`FleetNode::drains`].
    pub fn drain_changes(&self) -> u64 {
        self.drains.changes()
    }

    /// Requests an entry of the log. [`Command::Respond`] with this request number gives the outcome.
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

    /// Reports the result of the oldest [`Command::Persist`] that was not reported yet.
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

    /// Announces that this front end shuts down, so that others need not detect it and no change waits for it.
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

    /// Whether a version that changes strict fields is being introduced.
    fn has_strict_change(&self, state: &FleetState) -> bool {
        state
            .conflicting_fields(&self.config.schema)
            .iter()
            .any(|conflict| conflict.compatibility == Compatibility::Strict)
    }

    /// Runs after every event: applies a new state, advances the leader's changes, and sends requests and notifications.
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
        // The leader advances a strict change only once all session holders have reported its revision, and a front end
        // without a session can't serve.
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
