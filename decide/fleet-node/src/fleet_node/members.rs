//! Tracks which front ends are up, and updates the lease tree when that changes.

use super::{FleetNode, RETRY_INTERVAL};
use crate::command::{Command, FleetEvent};
use crate::known_nodes::{Directory, KnownNodes};
use crate::message::MessageBody;
use std::sync::Arc;
use tansy_agreement::lease::Time;
use tansy_agreement::lease_tree::LeaseMessage;
use tansy_agreement::log::FleetState;
use tansy_agreement::scope::StateDelta;
use tansy_membership::NodeId;

/// Time between two checks whether to join while other front ends are known, as a multiple of [`RETRY_INTERVAL`].
const JOIN_INTERVAL_FACTOR: Time = 10;

impl FleetNode {
    /// Replaces the membership protocol, or the previous directory, with a directory that the caller provides.
    pub fn update_members(&mut self, directory: Arc<Directory>) {
        self.nodes = KnownNodes::Given {
            id: self.config.node.id,
            directory,
        };
        let topology = self.nodes.topology(self.leader.id);
        self.lease_node.update_topology(topology);
    }

    /// Announces this front end to the other voters if no other front end is known, and schedules the next check.
    pub(super) fn join(&mut self, now: Time) {
        let is_alone = self.nodes.count() == 0;
        if is_alone {
            for (id, address) in &self.config.voters {
                if *id != self.config.node.id {
                    // The incarnation of the voter's process is not known.
                    self.nodes.join(now, NodeId::new(*id, 0, *address));
                }
            }
        }
        self.next_join = now + RETRY_INTERVAL * if is_alone { 1 } else { JOIN_INTERVAL_FACTOR };
    }

    /// Sends the datagrams of the membership protocol and handles its events.
    pub(super) fn flush_membership(&mut self, now: Time, commands: &mut Vec<Command>) {
        let (datagrams, events) = self.nodes.take();
        for datagram in datagrams {
            commands.push(Command::Send {
                to: datagram.to.address,
                body: MessageBody::Gossip(datagram.bytes),
            });
        }
        if !events.is_empty() {
            let topology = self.nodes.topology(self.leader.id);
            self.lease_node.update_topology(topology);
            self.tick_leases(now, commands);
        }
        for event in events {
            commands.push(Command::Notify(FleetEvent::Membership(event)));
        }
    }

    pub(super) fn tick_leases(&mut self, now: Time, commands: &mut Vec<Command>) {
        let mut messages = Vec::new();
        self.lease_node.tick(now, &mut messages);
        self.send_leases(messages, commands);
    }

    /// Sends messages of the lease tree. Messages to a front end whose address is not known are dropped.
    pub(super) fn send_leases(
        &mut self,
        messages: Vec<(u64, LeaseMessage<FleetState, StateDelta>)>,
        commands: &mut Vec<Command>,
    ) {
        for (id, message) in messages {
            if let Some(to) = self.address(id) {
                commands.push(Command::Send {
                    to,
                    body: MessageBody::Lease(message),
                });
            }
        }
    }
}
