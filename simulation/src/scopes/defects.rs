//! Injected defects that concern scopes.

use crate::fault::{Time, SECOND};
use crate::fleet::{address_of, Simulation};
use tansy_agreement::lease::Member;
use tansy_agreement::log::{Log, LogEntry, Revision};
use tansy_agreement::subscription::{ResyncEpoch, SubscribeRequest};
use tansy_fleet_node::{Command, FleetNode, Leader, MessageBody};
use tansy_membership::NodeId;

/// Additional delay of subscription replies, so that replies older than the receiver's revision are frequent.
pub(crate) const REPLY_DELAY: Time = SECOND * 3 / 10;

/// A subscribe request with an empty full list of subscriptions.
fn empty_subscriptions(from: Member, epoch: ResyncEpoch) -> MessageBody {
    MessageBody::Subscribe(SubscribeRequest {
        from,
        epoch,
        seq: 1,
        revision: Revision(0),
        scopes: Vec::new(),
        unsubscribed: Vec::new(),
        full_list: Some(Vec::new()),
    })
}

fn replied_epoch(commands: &[Command]) -> Option<ResyncEpoch> {
    commands.iter().find_map(|command| match command {
        Command::Send {
            body: MessageBody::SubscribeReply(reply),
            ..
        } => Some(reply.epoch),
        _ => None,
    })
}

impl Simulation<'_> {
    /// Implements [`crate::fleet::InjectedDefect::ForgottenSubscriptions`]: gives a new leader an empty list of subscriptions
    /// for every other member on its roster.
    pub(super) fn forget_subscriptions(&mut self, index: usize) {
        let Some(node) = self.processes[index].node.as_ref() else {
            return;
        };
        let own_id = index as u64 + 1;
        let roster: Vec<Member> = node
            .log()
            .into_iter()
            .flat_map(Log::roster)
            .map(|(member, _)| member)
            .filter(|member| member.id != own_id)
            .collect();
        for member in roster {
            let address = address_of(member.id as usize - 1);
            let from = NodeId::new(member.id, member.incarnation, address);
            let leader = Leader::default;
            self.step_node(index, |node: &mut FleetNode, now, commands| {
                // The reply to a first request contains the epoch that the list must name.
                let mut replies = Vec::new();
                let first = empty_subscriptions(member, ResyncEpoch::default());
                node.on_message(now, &from, leader(), first, &mut replies);
                if let Some(epoch) = replied_epoch(&replies) {
                    let list = empty_subscriptions(member, epoch);
                    node.on_message(now, &from, leader(), list, commands);
                }
            });
        }
    }

    /// Implements [`crate::fleet::InjectedDefect::IgnoredSubscribers`]: puts a change into force regardless of the scope's
    /// subscribers, once every older lease has expired or been renewed.
    pub(crate) fn advance_scope_early(&mut self, scope: String, since: Revision) {
        let Some((leader, _)) = self.leader() else {
            return;
        };
        let entry = LogEntry::AdvanceScopes {
            in_force: vec![(scope, since)],
            settled: Vec::new(),
        };
        self.request(leader, 0, entry);
    }

    /// Implements [`crate::fleet::InjectedDefect::RepeatedUnsubscribe`]: adds all earlier unsubscriptions of a front end to
    /// each of its requests.
    pub(crate) fn repeat_unsubscribed(&mut self, body: &mut MessageBody) {
        if let (MessageBody::Subscribe(request), Some(scopes)) = (body, &mut self.scopes) {
            let known = scopes.unsubscribed.entry(request.from).or_default();
            let before: Vec<u64> = known.iter().copied().collect();
            known.extend(request.unsubscribed.iter().copied());
            request.unsubscribed.extend(before);
        }
    }
}
