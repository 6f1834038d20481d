//! Handling of messages from other front ends.

use super::FleetNode;
use crate::command::{Command, FleetEvent};
use crate::message::{Leader, MessageBody};
use std::net::SocketAddr;
use tansy_agreement::lease::{Member, Time};
use tansy_agreement::lease_tree::LeaseMessage;
use tansy_agreement::log::FleetState;
use tansy_agreement::scope::StateDelta;
use tansy_agreement::session::{SessionGrant, SessionRequest};
use tansy_membership::NodeId;

/// Maximum number of senders whose addresses are kept.
const MAX_SENDER_ADDRESSES: usize = 1024;

impl FleetNode {
    /// Handles a message from another front end. `leader` is the leader that the message's header names.
    pub fn on_message(
        &mut self,
        now: Time,
        from: &NodeId,
        leader: Leader,
        body: MessageBody,
        commands: &mut Vec<Command>,
    ) {
        if from.id == self.config.node.id {
            return;
        }
        self.on_leader(now, leader);
        // The leader lease may have expired while the process was paused; nothing must be granted then.
        self.update_leadership(now, commands);
        self.remember_sender(from);
        self.dispatch(now, from, body, commands);
        self.update_leadership(now, commands);
        self.advance(now, commands);
    }

    fn remember_sender(&mut self, from: &NodeId) {
        let has_room = self.sender_addresses.len() < MAX_SENDER_ADDRESSES;
        if has_room || self.sender_addresses.contains_key(&from.id) {
            self.sender_addresses.insert(from.id, from.address);
        }
    }

    fn dispatch(
        &mut self,
        now: Time,
        from: &NodeId,
        body: MessageBody,
        commands: &mut Vec<Command>,
    ) {
        match body {
            MessageBody::Gossip(bytes) => self.on_gossip(now, &bytes, commands),
            MessageBody::Lease(message) => self.on_lease(now, from, message, commands),
            MessageBody::Subscribe(request) => self.on_subscribe(now, from, request, commands),
            MessageBody::SubscribeReply(reply) => self.on_subscribe_reply(now, reply),
            MessageBody::SessionRequest(request, name, digest) => {
                self.on_session_request(now, from, request, name, digest, commands);
            }
            MessageBody::SessionGrant(grant) => self.on_session_grant(now, from, grant),
            MessageBody::Departed(member) => self.on_departed(from, member),
            MessageBody::Drains(records, wants_reply) => {
                let others = self.nodes.iter();
                self.drains.on_records(now, records, others, commands);
                if wants_reply {
                    self.send_drains(from.address, false, commands);
                }
            }
            MessageBody::DrainDigest(digest) => {
                if digest != self.drains.digest() {
                    self.send_drains(from.address, true, commands);
                }
            }
            MessageBody::Consensus(bytes) => {
                if let Some(controller) = &mut self.controller {
                    controller.on_message(now, from.id, &bytes, commands);
                }
            }
            MessageBody::HeaderOnly => {}
        }
    }

    fn on_gossip(&mut self, now: Time, bytes: &[u8], commands: &mut Vec<Command>) {
        if let Err(rejected) = self.nodes.on_datagram(now, bytes) {
            commands.push(Command::Notify(FleetEvent::DatagramRejected(rejected)));
        }
        self.flush_membership(now, commands);
    }

    fn on_lease(
        &mut self,
        now: Time,
        from: &NodeId,
        message: LeaseMessage<FleetState, StateDelta>,
        commands: &mut Vec<Command>,
    ) {
        let mut messages = Vec::new();
        self.lease_node
            .on_message(now, from.id, message, &mut messages);
        self.send_leases(messages, commands);
    }

    fn on_session_request(
        &mut self,
        now: Time,
        from: &NodeId,
        request: SessionRequest,
        name: String,
        digest: u64,
        commands: &mut Vec<Command>,
    ) {
        let member = from.member();
        let controller = self.controller.as_mut();
        let Some(controller) = controller.filter(|_| request.from == member) else {
            return;
        };
        // A front end receives the drain table before its first session.
        let knows_drains = digest == self.drains.digest();
        let may_grant = self.is_leader && (knows_drains || controller.has_session_entry(member));
        let grant = if may_grant {
            controller.grant_session(now, request, name)
        } else {
            None
        };
        let body = match grant {
            Some(grant) => MessageBody::SessionGrant(grant),
            None if !knows_drains => self.drains.full_table(true),
            // The header at least names the leader.
            None => MessageBody::HeaderOnly,
        };
        let to = from.address;
        commands.push(Command::Send { to, body });
        self.send_resync_request(member, to, commands);
    }

    fn on_session_grant(&mut self, now: Time, from: &NodeId, grant: SessionGrant) {
        let is_leader = from.id == self.leader.id;
        if is_leader || self.voters().iter().any(|voter| voter.0 == from.id) {
            self.accept_session(now, grant);
        }
    }

    fn on_departed(&mut self, from: &NodeId, member: Member) {
        let controller = self.controller.as_mut();
        if let Some(controller) = controller.filter(|_| member == from.member()) {
            controller.on_departed(member);
        }
    }

    fn send_drains(&self, to: SocketAddr, wants_reply: bool, commands: &mut Vec<Command>) {
        let body = self.drains.full_table(wants_reply);
        commands.push(Command::Send { to, body });
    }
}
