//! Running a node on a message, a timer or an operator request, and executing the resulting commands.

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

/// A revision higher than that of any log: a node notified of it requests a lease immediately.
const UNREACHABLE: Revision = Revision(u64::MAX);
/// Size of the socket buffer of a suspended process, in messages.
const MAX_QUEUED_MESSAGES: usize = 64;
/// Range of the duration of a disk write.
const WRITE_TIME: std::ops::Range<Time> = SECOND / 2000..SECOND / 20;

impl Simulation<'_> {
    /// Delivers a message to a process, or to its socket buffer while it is suspended.
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

    /// Handles a timer event. Events of superseded deadlines are ignored, since each handled event schedules a further one.
    pub(super) fn on_timer(&mut self, index: usize, incarnation: u64, deadline: Time) {
        let process = &mut self.processes[index];
        if process.incarnation == incarnation && process.scheduled_deadline == deadline {
            process.scheduled_deadline = Time::MAX;
            self.step_node(index, FleetNode::tick);
        }
    }

    /// Lets a process handle a message, after the injected defect has altered it.
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

    /// Implements [`InjectedDefect::OldReplyAsCurrent`]: raises the revision of a reply to that of the receiver.
    fn mark_reply_current(&self, to: usize, body: &mut MessageBody) {
        let (MessageBody::SubscribeReply(reply), Some(node)) = (body, &self.processes[to].node)
        else {
            return;
        };
        let state = node.active_state(self.now).state;
        let revision = state.map_or(Revision(0), |state| state.revision);
        reply.revision = reply.revision.max(revision);
    }

    /// Implements [`InjectedDefect::LeaseFromGrantArrival`]: makes the node send a new request and lets the grant answer that
    /// one, so that the lease runs from now on.
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

    /// Runs `act` on a node, schedules its next deadline, audits it and executes its commands.
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

    /// Writes the records that a node wants persisted. With [`InjectedDefect::UnpersistedSends`] the node is notified before
    /// they are persisted.
    fn write_records(&mut self, index: usize, now: Time, commands: &mut Vec<Command>) {
        let unsynced = self.options.has_defect(InjectedDefect::UnpersistedSends);
        let incarnation = self.processes[index].incarnation;
        // The notification may append further commands, which this loop also processes.
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

    /// In runs at scale, detects when a process has its first valid lease and session.
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
