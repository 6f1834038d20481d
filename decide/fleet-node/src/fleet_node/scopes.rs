//! Scopes at a front end: admission of calls and subscriptions, and the leader's replies to subscribe requests.

use super::session::AWAITED_RENEWAL_INTERVAL;
use super::FleetNode;
use crate::command::{Command, FleetEvent};
use crate::message::MessageBody;
use std::net::SocketAddr;
use tansy_agreement::lease::{Member, Time};
use tansy_agreement::log::Revision;
use tansy_agreement::scope::EffectiveSettings;
use tansy_agreement::subscription::{Admission, RejectReason, SubscribeReply, SubscribeRequest};
use tansy_membership::NodeId;

/// Time between two reports of evictions.
const EVICTION_REPORT_INTERVAL: Time = 60_000_000;
/// Subscribe requests sent by one update. A leader answers its own request at once, which may make another one due.
const MAX_REQUESTS_PER_UPDATE: usize = 2;

impl FleetNode {
    /// Decides whether a call of a function is admitted now.
    pub fn admit(&mut self, now: Time, function: &str, commands: &mut Vec<Command>) -> Admission {
        if !self.subscriptions.has_scopes() {
            return Admission::Unscoped;
        }
        let active = self.active_state(now);
        let has_lease = active.lease_remaining > 0;
        if active.session_remaining <= 0 {
            return Admission::Reject(RejectReason::NoSession);
        }
        let admission = self
            .subscriptions
            .admit(now, &self.config.schema, function, has_lease);
        if admission == Admission::Wait {
            self.update_subscriptions(now, commands);
        }
        admission
    }

    /// Increases whenever [`FleetNode::admit`] might decide differently than before.
    pub fn admission_changes(&self) -> u64 {
        self.subscriptions.generation()
    }

    /// The number of scopes whose records this front end holds.
    pub fn subscription_count(&self) -> usize {
        self.subscriptions.len()
    }

    /// Approximate memory that the subscriptions take, in bytes.
    pub fn subscription_bytes(&self) -> usize {
        let known = self.lease_node.known_state();
        let history = known.map_or(0, |state| state.history.memory_bytes());
        self.subscriptions.memory_bytes() + history
    }

    /// The settings of a function that are in effect; `None` if this front end may not apply any now. Unlike
    /// [`FleetNode::admit`] it does not count as a use of the scope.
    pub fn effective_settings(&self, now: Time, function: &str) -> Option<EffectiveSettings> {
        let active = self.active_state(now);
        let has_session = active.session_remaining > 0;
        self.subscriptions
            .effective_settings(&self.config.schema, function, active.lease_remaining > 0)
            .filter(|_| has_session)
    }

    /// Applies the known state to the subscribed scopes. Has to precede every message that reports the state's revision.
    pub(super) fn apply_known_state(&mut self, now: Time) {
        if let Some(state) = self.lease_node.known_state() {
            self.subscriptions.on_state(now, state, &self.config.schema);
        }
    }

    /// Reports subscriptions and strict changes to the leader, and evictions to the host.
    pub(super) fn update_subscriptions(&mut self, now: Time, commands: &mut Vec<Command>) {
        let known = self.lease_node.known_state();
        let revision = known.map_or(Revision(0), |state| state.revision);
        let has_session = self.session.remaining(now) > 0;
        // The leader waits for this report before it advances a strict change of a scope that is subscribed to here.
        let conflicting = self.subscriptions.conflicting_revision();
        if has_session && conflicting > self.reported_revision && revision >= conflicting {
            self.request_session(now, commands);
        }
        self.send_subscriptions(now, revision, has_session, commands);
        self.report_evictions(now, commands);
    }

    fn send_subscriptions(
        &mut self,
        now: Time,
        revision: Revision,
        has_session: bool,
        commands: &mut Vec<Command>,
    ) {
        for _ in 0..MAX_REQUESTS_PER_UPDATE {
            let Some(request) = self.subscriptions.tick(now, revision, has_session) else {
                return;
            };
            if !self.is_leader {
                commands.push(Command::Send {
                    to: self.leader_address(),
                    body: MessageBody::Subscribe(request),
                });
                continue;
            }
            let controller = self.controller.as_mut();
            let reply = controller.and_then(|controller| controller.on_subscribe(&request));
            if let Some(reply) = reply {
                self.on_subscribe_reply(now, reply);
            }
        }
    }

    fn report_evictions(&mut self, now: Time, commands: &mut Vec<Command>) {
        let total = self.subscriptions.evicted();
        if total > self.reported_evictions && now >= self.next_eviction_report {
            self.reported_evictions = total;
            self.next_eviction_report = now + EVICTION_REPORT_INTERVAL;
            commands.push(Command::Notify(FleetEvent::SubscriptionsEvicted {
                total,
                subscribed: self.subscriptions.len(),
            }));
        }
    }

    /// Handles a front end's subscribe request; only the leader replies with more than a header.
    pub(super) fn on_subscribe(
        &mut self,
        now: Time,
        from: &NodeId,
        request: SubscribeRequest,
        commands: &mut Vec<Command>,
    ) {
        if request.from != from.member() {
            return;
        }
        // The leader applies a state before it sends records of it to others.
        self.apply_known_state(now);
        let controller = self.controller.as_mut().filter(|_| self.is_leader);
        let reply = controller.and_then(|controller| controller.on_subscribe(&request));
        let body = reply.map_or(MessageBody::HeaderOnly, MessageBody::SubscribeReply);
        commands.push(Command::Send {
            to: from.address,
            body,
        });
    }

    /// Handles the leader's reply to a subscribe request.
    pub(super) fn on_subscribe_reply(&mut self, now: Time, reply: SubscribeReply) {
        let known = self.lease_node.known_state();
        self.subscriptions
            .on_reply(now, reply, known, &self.config.schema);
        if self.subscriptions.delays_change(&self.config.schema) {
            // The session request that reported the revision may have been lost.
            let awaited = now + AWAITED_RENEWAL_INTERVAL;
            self.next_session_request = self.next_session_request.min(awaited);
        }
    }

    /// As leader, asks a front end for the list of its subscriptions if the fleet uses scopes and the list is not known.
    pub(super) fn send_resync_request(
        &self,
        member: Member,
        to: SocketAddr,
        commands: &mut Vec<Command>,
    ) {
        let controller = self.controller.as_ref().filter(|_| self.is_leader);
        let request = controller.and_then(|controller| controller.resync_request(member));
        if let Some(request) = request {
            commands.push(Command::Send {
                to,
                body: MessageBody::SubscribeReply(request),
            });
        }
    }
}
