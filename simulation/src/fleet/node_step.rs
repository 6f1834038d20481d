//! A node acts: on a message, on a timer, or on an operator's request; and what it wants is carried out.

use super::event::{Event, Message};
use super::process::index_of;
use super::{InjectedDefect, Simulation};
use crate::fault::{Time, SECOND};
use crate::scale::WIDE_ID;
use crate::scopes::REPLY_DELAY;
use tansy_agreement::lease_tree::LeaseMessage;
use tansy_agreement::log::Revision;
use tansy_fleet_node::{Command, FleetNode, Leader, MessageBody};
use tansy_membership::NodeId;

/// A revision that no log reaches: a node that is notified of it requests a lease at once.
const UNREACHABLE: Revision = Revision(u64::MAX);
/// Messages that the kernel queues for a process that stands still.
const MAX_QUEUED_MESSAGES: usize = 64;
/// How long a write takes at least and at most.
const WRITE_TIME: std::ops::Range<Time> = SECOND / 2000..SECOND / 20;

impl Simulation<'_> {
    /// A message arrives at a process, or at its socket while it stands still.
    pub(super) fn on_arrival(&mut self, to: usize, message: Message) {
        if let (Some(scale), true) = (&mut self.scale, self.processes[to].node.is_some()) {
            scale.count_message(to, &message.body, message.size());
        }
        match &mut self.processes[to].paused {
            Some(queued) if queued.len() < MAX_QUEUED_MESSAGES => queued.push(message),
            Some(_) => {}
            None => self.receive(to, message),
        }
    }

    /// A deadline is due. One that was scheduled anew since is over: each that was taken would schedule a further one.
    pub(super) fn on_timer(&mut self, index: usize, incarnation: u64, deadline: Time) {
        let process = &mut self.processes[index];
        if process.incarnation == incarnation && process.scheduled_deadline == deadline {
            process.scheduled_deadline = Time::MAX;
            self.step_node(index, FleetNode::tick);
        }
    }

    /// A process takes a message, altered as the planted defect has it.
    pub(super) fn receive(&mut self, to: usize, mut message: Message) {
        match self.options.defect {
            Some(InjectedDefect::OldReplyAsCurrent) => {
                self.mark_reply_current(to, &mut message.body)
            }
            Some(InjectedDefect::RepeatedUnsubscribe) => {
                self.repeat_unsubscribed(&mut message.body)
            }
            Some(InjectedDefect::LeaseFromGrantArrival) => {
                self.match_grant_to_new_request(to, &mut message)
            }
            _ => {}
        }
        let Message {
            sender,
            leader,
            body,
        } = message;
        self.step_node(to, |node, now, commands| {
            node.on_message(now, &sender, leader, body, commands)
        });
    }

    /// [`InjectedDefect::OldReplyAsCurrent`]: a reply is taken for one of the reader's revision.
    fn mark_reply_current(&self, to: usize, body: &mut MessageBody) {
        let (MessageBody::SubscribeReply(reply), Some(node)) = (body, &self.processes[to].node)
        else {
            return;
        };
        let state = node.active_state(self.now).state;
        let revision = state.map_or(Revision(0), |state| state.revision);
        reply.revision = reply.revision.max(revision);
    }

    /// [`InjectedDefect::LeaseFromGrantArrival`]: a request of this moment takes the place of the one that was granted.
    fn match_grant_to_new_request(&mut self, to: usize, message: &mut Message) {
        let MessageBody::Lease(LeaseMessage::Grant(grant)) = &mut message.body else {
            return;
        };
        let process = &mut self.processes[to];
        let now = process.local_time(self.now);
        let mut requests = Vec::new();
        if let Some(node) = process.node.as_mut() {
            let unreachable = MessageBody::Lease(LeaseMessage::Revision(UNREACHABLE));
            node.on_message(
                now,
                &message.sender,
                message.leader,
                unreachable,
                &mut requests,
            );
        }
        let sequence = requests.iter().find_map(|command| match command {
            Command::Send {
                body: MessageBody::Lease(LeaseMessage::Request(request)),
                ..
            } => Some(request.seq),
            _ => None,
        });
        if let (Some(sequence), true) = (sequence, grant.to.incarnation == process.incarnation) {
            grant.seq = sequence;
        }
    }

    /// Lets a node act, carries out what it wants and schedules its next deadline; it is audited before and after.
    pub(crate) fn step_node(
        &mut self,
        index: usize,
        act: impl FnOnce(&mut FleetNode, Time, &mut Vec<Command>),
    ) {
        self.account(index);
        let process = &mut self.processes[index];
        let now = process.local_time(self.now);
        let (Some(node), None) = (process.node.as_mut(), process.paused.as_ref()) else {
            return;
        };
        let mut commands = Vec::new();
        act(node, now, &mut commands);
        self.write_records(index, now, &mut commands);
        self.schedule_deadline(index, now);
        let Some(node) = &self.processes[index].node else {
            return;
        };
        let (sender, leader) = (node.config().node.clone(), node.leader());
        self.audit_log(index);
        self.audit_process(index);
        self.detect_join(index);
        for command in commands {
            self.execute(index, &sender, leader, command);
        }
    }

    /// Writes the records that a node wants persisted; with [`InjectedDefect::UnpersistedSends`] it is notified at once.
    fn write_records(&mut self, index: usize, now: Time, commands: &mut Vec<Command>) {
        let unsynced = self.options.has_defect(InjectedDefect::UnpersistedSends);
        let incarnation = self.processes[index].incarnation;
        // The notification may add further commands, which are looked at in turn.
        let mut next = 0;
        while next < commands.len() {
            if let Command::Persist { record, snapshot } = &commands[next] {
                let write = (record.clone(), snapshot.clone());
                self.disks[index].written.push(write);
                if let (true, Some(node)) = (unsynced, &mut self.processes[index].node) {
                    node.on_persisted(now, Ok(()), commands);
                }
                let persisted_at = self.now + self.rng.i64(WRITE_TIME);
                let event = Event::Persisted {
                    process: index,
                    incarnation,
                };
                self.schedule(persisted_at, event);
            }
            next += 1;
        }
    }

    fn schedule_deadline(&mut self, index: usize, now: Time) {
        let process = &mut self.processes[index];
        let deadline = process
            .node
            .as_ref()
            .map_or(Time::MAX, FleetNode::next_deadline);
        if deadline == Time::MAX || deadline == process.scheduled_deadline {
            return;
        }
        process.scheduled_deadline = deadline;
        let wait = ((deadline - now).max(1) as f64 / process.clock_rate).ceil() as Time;
        let event = Event::Timer {
            process: index,
            incarnation: process.incarnation,
            deadline,
        };
        self.schedule(self.now + wait, event);
    }

    /// Measures the first lease and session of a process, at scale.
    fn detect_join(&mut self, index: usize) {
        if self.scale.is_none() {
            return;
        }
        let process = &mut self.processes[index];
        if !process.joined && process.is_leased(self.now) {
            process.joined = true;
            self.on_join(index);
        }
    }

    fn execute(&mut self, index: usize, sender: &NodeId, leader: Leader, command: Command) {
        let message = |body| Message {
            sender: sender.clone(),
            leader,
            body,
        };
        match command {
            Command::Send { to, body } => self.send(index, index_of(to), message(body)),
            Command::SendToVoter { to, bytes } => {
                let voter = (to & !WIDE_ID) as usize - 1;
                self.send(index, voter, message(MessageBody::Consensus(bytes)));
            }
            other => {
                self.on_scope_command(index, &other);
                self.on_scale_command(index, &other);
            }
        }
    }

    fn send(&mut self, index: usize, to: usize, message: Message) {
        if to >= self.processes.len() {
            return;
        }
        let bytes = message.size();
        self.sent.messages += 1;
        self.sent.bytes += bytes;
        let voters = self.options.voters;
        self.sent.voter_messages += u64::from(to < voters || index < voters);
        if let Some(scale) = &mut self.scale {
            scale.count_message(index, &message.body, bytes);
        }
        let delayed = self.options.has_defect(InjectedDefect::OldReplyAsCurrent)
            && matches!(message.body, MessageBody::SubscribeReply(_));
        let sent_at = self.now + if delayed { REPLY_DELAY } else { 0 };
        for at in self
            .network
            .delivery_times(&mut self.rng, sent_at, index, to)
        {
            let message = Box::new(message.clone());
            self.schedule(at, Event::Message { to, message });
        }
    }
}
