//! Processing of Raft's ready states: messages, writes, snapshots, answered read requests and committed entries.

use super::Replica;
use crate::effect::Effect;
use crate::persistence::{encode_record, encode_snapshot, ReplicatedEntry};
use crate::wire::{self, WireSnapshot};
use raft::eraftpb::{Entry, Message};
use raft::{ReadState, Ready};

/// Number of records after which a snapshot replaces them on disk.
const SNAPSHOT_INTERVAL: u64 = 256;

/// A write that the disk has not acknowledged.
pub(super) struct PendingWrite {
    /// Raft's number of the last ready state that waits for the write.
    pub(super) ready_number: u64,
    /// Messages to send once the write is synced.
    pub(super) messages: Vec<Effect>,
}

impl Replica {
    /// Processes all ready states, and proposes the initial state if this replica leads a new fleet.
    pub(super) fn collect(&mut self, effects: &mut Vec<Effect>) {
        while self.node.has_ready() {
            let ready = self.node.ready();
            if self.process_ready(ready, effects).is_err() {
                self.stop_at_unknown_entry(effects);
                return;
            }
        }
        if !self.has_proposed_initial_state && self.log.is_none() && self.is_leader() {
            self.has_proposed_initial_state = true;
            let initial = ReplicatedEntry::Begin(
                self.config.initial_fields.clone(),
                self.config.voters.clone(),
            );
            if self.replicate(&initial) {
                self.collect(effects);
            }
        }
    }

    /// Stops taking part, since this replica's log would diverge from the others'.
    pub(super) fn stop_at_unknown_entry(&mut self, effects: &mut Vec<Effect>) {
        self.is_failed = true;
        effects.push(Effect::UnknownEntry);
    }

    /// Informs Raft that committed entries are applied, unless an earlier snapshot is not synced yet.
    pub(super) fn acknowledge_applied(&mut self) {
        if self.unsynced_snapshots.is_empty() {
            self.node.advance_apply();
        }
    }

    /// Processes one ready state. Fails if it has a snapshot that this program can't decode.
    fn process_ready(
        &mut self,
        mut ready: Ready,
        effects: &mut Vec<Effect>,
    ) -> postcard::Result<()> {
        let group = self.node.store().latest.group;
        effects.extend(send_effects(ready.take_messages(), group));
        let snapshot = wire::snapshot_from_raft(ready.snapshot(), group);
        if let Some(snapshot) = &snapshot {
            self.install_snapshot(snapshot, ready.number())?;
        }
        let entries = ready.take_entries();
        self.node.mut_store().append(&entries);
        if let Some(hard_state) = ready.hs().cloned() {
            self.node.mut_store().hard_state = hard_state;
        }
        self.extend_lease(&ready.take_read_states());
        let committed = ready.take_committed_entries();
        let messages = send_effects(ready.take_persisted_messages(), group);
        if ready.must_sync() || snapshot.is_some() || !entries.is_empty() {
            self.write(&entries, snapshot, ready, messages, effects);
        } else {
            self.follow_writes(ready, messages, effects);
        }
        self.apply(committed, effects);
        self.acknowledge_applied();
        Ok(())
    }

    /// Replaces the log with a snapshot of another replica.
    fn install_snapshot(
        &mut self,
        snapshot: &WireSnapshot,
        ready_number: u64,
    ) -> postcard::Result<()> {
        self.log = Some(wire::decode_log(&snapshot.log)?);
        self.applied = snapshot.index;
        self.applied_term = snapshot.term;
        self.node.mut_store().restore(snapshot.clone());
        self.unsynced_snapshots.push_back(ready_number);
        Ok(())
    }

    fn extend_lease(&mut self, read_states: &[ReadState]) {
        for state in read_states {
            let is_applied = state.index <= self.applied;
            self.lease.on_quorum(&state.request_ctx, is_applied);
        }
    }

    /// Requests a write. Messages that depend on it wait until it is synced.
    fn write(
        &mut self,
        entries: &[Entry],
        snapshot: Option<WireSnapshot>,
        ready: Ready,
        messages: Vec<Effect>,
        effects: &mut Vec<Effect>,
    ) {
        let record = encode_record(self.node.store(), entries, snapshot);
        self.record_count += 1;
        let is_snapshot_due =
            self.record_count == 1 || self.record_count.is_multiple_of(SNAPSHOT_INTERVAL);
        self.pending_writes.push_back(PendingWrite {
            ready_number: ready.number(),
            messages,
        });
        effects.push(Effect::Persist {
            record,
            snapshot: is_snapshot_due.then(|| encode_snapshot(self.node.store())),
        });
        self.node.advance_append_async(ready);
    }

    /// Handles a ready state with nothing to write: its messages are sent at once, or after the writes that are pending.
    fn follow_writes(&mut self, ready: Ready, messages: Vec<Effect>, effects: &mut Vec<Effect>) {
        let ready_number = ready.number();
        if let Some(write) = self.pending_writes.back_mut() {
            write.ready_number = ready_number;
            write.messages.extend(messages);
            self.node.advance_append_async(ready);
        } else {
            effects.extend(messages);
            self.node.advance_append_async(ready);
            self.node.on_persist_ready(ready_number);
        }
    }
}

fn send_effects(messages: Vec<Message>, group: u64) -> Vec<Effect> {
    messages
        .iter()
        .map(|message| Effect::Send {
            to: message.to,
            bytes: wire::encode_message(message, group),
        })
        .collect()
}
