//! A front end's part in settings of functions that are agreed on one by one: what it may act on, what it asks the root for,
//! and, at the root, what it answers.

use crate::{Command, FleetEvent, FleetNode, MessageBody, STAY_AWAITED};
use std::net::SocketAddr;
use tansy_agreement::lease::{Member, Time};
use tansy_agreement::log::Revision;
use tansy_agreement::scope::EffectiveSettings;
use tansy_agreement::subscription::{Admission, RejectReason, SubscribeReply, SubscribeRequest};
use tansy_membership::NodeId;

/// Time between two notes of scopes that were let go.
const NOTE_EVERY: Time = 60_000_000;

impl FleetNode {
    /// What is done with a call of a function now.
    pub fn admit(&mut self, now: Time, function: &str, out: &mut Vec<Command>) -> Admission {
        if !self.holding.has_scopes() {
            return Admission::Unscoped;
        }
        let acting = self.active_state(now);
        let (lease, stay) = (acting.lease > 0, acting.session > 0);
        if !stay {
            return Admission::Reject(RejectReason::NoSession);
        }
        let call = self.holding.admit(now, &self.setup.schema, function, lease);
        if call == Admission::Wait {
            self.update_subscriptions(now, out);
        }
        call
    }

    /// Counts up whenever [`FleetNode::admit`] might say another thing than before.
    pub fn scopes_changed(&self) -> u64 {
        self.holding.changes()
    }

    /// How many functions it holds.
    pub fn subscription_count(&self) -> usize {
        self.holding.len()
    }

    /// Bytes that these take, about.
    pub fn subscription_bytes(&self) -> usize {
        let moves = self
            .front
            .known_state()
            .map_or(0, |s| s.history.memory_bytes());
        self.holding.memory_bytes() + moves
    }

    /// What it acts on of a function, without a call of it; none: it may not act on it now.
    pub fn effective_settings(&self, now: Time, function: &str) -> Option<EffectiveSettings> {
        let acting = self.active_state(now);
        let live = acting.session > 0;
        self.holding
            .effective_settings(&self.setup.schema, function, acting.lease > 0)
            .filter(|_| live)
    }

    /// Follows what it acts on; before anything is told of it.
    pub(crate) fn follow(&mut self, now: Time) {
        if let Some(state) = self.front.known_state() {
            self.holding.on_state(now, state, &self.setup.schema);
        }
    }

    /// Tells the root what it is owed.
    pub(crate) fn update_subscriptions(&mut self, now: Time, out: &mut Vec<Command>) {
        let at = self.front.known_state().map_or(Revision(0), |s| s.revision);
        let stay = self.stay.remaining(now) > 0;
        // The root waits for this one before a change of strict fields that it holds goes on.
        if stay
            && self.holding.conflicting_revision() > self.update_members
            && at >= self.holding.conflicting_revision()
        {
            self.ask_stay(now, out);
        }
        // An answer of its own may let it ask on.
        for _ in 0..2 {
            let Some(want) = self.holding.tick(now, at, stay) else {
                break;
            };
            if !self.leads {
                out.push(Command::Send {
                    to: self.leader_address(),
                    body: MessageBody::Subscribe(want),
                });
            } else if let Some(reply) = self.keeper.as_mut().and_then(|k| k.want(&want)) {
                self.on_subscribe_reply(now, reply);
            }
        }
        let (after, said) = self.squeezed;
        let total = self.holding.evicted();
        if total > said && now >= after {
            self.squeezed = (now + NOTE_EVERY, total);
            out.push(Command::Notify(FleetEvent::SubscriptionsEvicted {
                total,
                subscribed: self.holding.len(),
            }));
        }
    }

    /// A front end tells what it wants and holds.
    pub(crate) fn on_subscribe(
        &mut self,
        now: Time,
        from: &NodeId,
        want: SubscribeRequest,
        out: &mut Vec<Command>,
    ) {
        if want.from != from.member() {
            return;
        }
        // What this one acts on goes before what it tells of it.
        self.follow(now);
        let reply = self
            .keeper
            .as_mut()
            .filter(|_| self.leads)
            .and_then(|k| k.want(&want));
        let body = reply.map_or(MessageBody::HeaderOnly, MessageBody::SubscribeReply);
        out.push(Command::Send {
            to: from.address,
            body,
        });
    }

    /// The root's answer.
    pub(crate) fn on_subscribe_reply(&mut self, now: Time, reply: SubscribeReply) {
        self.holding
            .on_reply(now, reply, self.front.known_state(), &self.setup.schema);
        if self.holding.delays_change(&self.setup.schema) {
            // What it told of its step may be lost.
            self.next_stay = self.next_stay.min(now + STAY_AWAITED);
        }
    }

    /// One that has not told what it holds, while there are scopes, is asked.
    pub(crate) fn send_resync(&self, member: Member, to: SocketAddr, out: &mut Vec<Command>) {
        let reply = self
            .keeper
            .as_ref()
            .filter(|_| self.leads)
            .and_then(|k| k.untold(member));
        out.extend(reply.map(|reply| Command::Send {
            to,
            body: MessageBody::SubscribeReply(reply),
        }));
    }
}
