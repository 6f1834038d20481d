//! Tracks the leader of the fleet, and starts and ends this voter's own leadership.

use super::FleetNode;
use crate::change_controller::ChangeController;
use crate::command::{Command, FleetEvent};
use crate::message::Leader;
use tansy_agreement::lease::Time;
use tansy_agreement::lease_tree::LeaseNode;
use tansy_agreement::log::{FleetState, Log};

impl FleetNode {
    /// Starts, extends or ends this voter's leadership according to its leader lease.
    pub(super) fn update_leadership(&mut self, now: Time, commands: &mut Vec<Command>) {
        let Some(controller) = &self.controller else {
            return;
        };
        let state = controller.log().map(Log::state);
        match (controller.leader_lease(now), state) {
            (Some(expiry), Some(state)) if !self.is_leader => {
                let state = state.clone();
                self.begin_leadership(now, state, expiry, commands);
            }
            (Some(expiry), Some(state)) => {
                let known = self.lease_node.known_state();
                let has_changed = known.is_none_or(|known| known.revision != state.revision);
                let changed_state = has_changed.then(|| state.clone());
                self.extend_leadership(now, changed_state, expiry, commands);
            }
            _ if self.is_leader => self.end_leadership(now, commands),
            _ => {}
        }
        let controller = self.controller.as_ref();
        if let Some((term, id)) = controller.and_then(ChangeController::leader) {
            if id != self.config.node.id {
                self.on_leader(now, Leader { term, id });
            }
        }
    }

    /// Follows the leader that a message names, if its term is later. The leader need not be a voter known here, since a
    /// front end without a leader lease grants nothing.
    pub(super) fn on_leader(&mut self, now: Time, leader: Leader) {
        if leader > self.leader && leader.id != self.config.node.id && !self.is_leader {
            self.leader = leader;
            let topology = self.nodes.topology(leader.id);
            self.lease_node.update_topology(topology);
            self.subscriptions.on_new_leader(now);
        }
    }

    fn begin_leadership(
        &mut self,
        now: Time,
        state: FleetState,
        expiry: Time,
        commands: &mut Vec<Command>,
    ) {
        let Some(controller) = &mut self.controller else {
            return;
        };
        let member = self.config.node.member();
        let term = controller.leader().map_or(0, |(term, _)| term);
        controller.begin_leadership(now);
        self.is_leader = true;
        self.leader = Leader {
            term,
            id: member.id,
        };
        let topology = self.nodes.topology(member.id);
        self.lease_node =
            LeaseNode::leader(self.config.lease, member, topology, state, expiry, now);
        self.next_session_request = now;
        self.subscriptions.on_new_leader(now);
        commands.push(Command::Notify(FleetEvent::Leadership { is_live: true }));
    }

    fn extend_leadership(
        &mut self,
        now: Time,
        changed_state: Option<FleetState>,
        expiry: Time,
        commands: &mut Vec<Command>,
    ) {
        let mut messages = Vec::new();
        if let Some(state) = changed_state {
            self.lease_node.on_state_change(now, state, &mut messages);
        }
        self.lease_node
            .extend_leader_lease(now, expiry, &mut messages);
        self.send_leases(messages, commands);
    }

    fn end_leadership(&mut self, now: Time, commands: &mut Vec<Command>) {
        if let Some(controller) = &mut self.controller {
            controller.end_leadership(commands);
        }
        self.is_leader = false;
        let member = self.config.node.member();
        let topology = self.nodes.topology(self.leader.id);
        self.lease_node = match self.lease_node.known_state().cloned() {
            Some(state) => LeaseNode::with_state(self.config.lease, member, topology, state, now),
            None => LeaseNode::new(self.config.lease, member, topology, now),
        };
        commands.push(Command::Notify(FleetEvent::Leadership { is_live: false }));
    }
}
