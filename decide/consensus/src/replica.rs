//! A replica of the agreed log: its interface, and its handling of time and messages.

mod apply;
mod ready;
#[cfg(test)]
mod tests;

use crate::config::{raft_config, ReplicaConfig, ELECTION_TICKS, TICK_INTERVAL};
use crate::effect::Effect;
use crate::leader_lease::LeaderLease;
use crate::persistence::{self, CorruptState, PersistentState, ReplicatedEntry};
use crate::raft_storage::RaftStorage;
use crate::voter_changes::{conf_change, VoterSet};
use crate::wire;
use raft::eraftpb::{Message, MessageType};
use raft::{RawNode, StateRole};
use ready::PendingWrite;
use std::collections::VecDeque;
use tansy_agreement::lease::Time;
use tansy_agreement::log::{Log, LogEntry};

/// Most ticks that are made up for after a pause of the process. A longer pause counts as one tick.
const MAX_MISSED_TICKS: Time = 4;

/// A replica of the agreed log, as a voter or a learner.
pub struct Replica {
    config: ReplicaConfig,
    node: RawNode<RaftStorage>,
    log: Option<Log>,
    applied: u64,
    /// Term of the last applied entry.
    applied_term: u64,
    next_tick: Time,
    lease: LeaderLease,
    /// Writes that the disk has not acknowledged, with the messages that wait for them.
    pending_writes: VecDeque<PendingWrite>,
    /// Numbers of the unacknowledged ready states with a snapshot of another replica. Raft learns of later applied entries
    /// once the snapshot is synced.
    unsynced_snapshots: VecDeque<u64>,
    record_count: u64,
    next_proposal: u64,
    has_proposed_initial_state: bool,
    is_failed: bool,
    rng: fastrand::Rng,
    /// Term and role for which the current election timeout was drawn.
    timeout_drawn_for: Option<(u64, StateRole)>,
}

impl Replica {
    /// Creates a replica that continues from its state on disk.
    pub fn new(
        config: ReplicaConfig,
        saved: &PersistentState,
        now: Time,
    ) -> Result<Replica, CorruptState> {
        let storage = persistence::load(&config, saved)?;
        let log = persistence::load_log(&storage)?;
        let applied = storage.latest.index;
        let applied_term = storage.latest.term;
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node =
            RawNode::new(&raft_config(config.id, applied), storage, &logger).map_err(|error| {
                CorruptState::Raft {
                    cause: error.to_string(),
                }
            })?;
        let mut replica = Replica {
            node,
            log,
            applied,
            applied_term,
            next_tick: now,
            lease: LeaderLease::new(config.timing, now),
            pending_writes: VecDeque::new(),
            unsynced_snapshots: VecDeque::new(),
            record_count: saved.records.len() as u64,
            next_proposal: 1,
            has_proposed_initial_state: false,
            is_failed: false,
            rng: fastrand::Rng::with_seed(config.seed),
            timeout_drawn_for: None,
            config,
        };
        replica.draw_election_timeout();
        if replica.is_sole_voter() {
            // A sole voter need not wait for an election timeout.
            let _ = replica.node.campaign();
        }
        Ok(replica)
    }

    /// Id of this replica's front end.
    pub fn id(&self) -> u64 {
        self.config.id
    }

    /// Whether another replica has acknowledged all committed entries. Only the leader knows.
    pub fn is_caught_up(&self, id: u64) -> bool {
        let raft = &self.node.raft;
        raft.prs()
            .get(id)
            .is_some_and(|progress| progress.matched >= raft.raft_log.committed)
    }

    /// Starts a transfer of leadership to another voter, unless one is in progress. The transfer may fail.
    pub fn transfer_leadership(&mut self, to: u64, effects: &mut Vec<Effect>) {
        if self.node.raft.lead_transferee.is_none() {
            self.node.transfer_leader(to);
            self.collect(effects);
        }
    }

    /// The committed log, as far as it is applied here; `None` if the fleet has not started.
    pub fn log(&self) -> Option<&Log> {
        self.log.as_ref()
    }

    /// Index of the last applied entry.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Index of the latest snapshot, which is sent to replicas that are far behind.
    pub fn snapshot_index(&self) -> u64 {
        self.node.store().latest.index
    }

    /// The current term and the id of its leader, if this replica knows one.
    pub fn leader(&self) -> Option<(u64, u64)> {
        let raft = &self.node.raft;
        (raft.leader_id != 0).then_some((raft.term, raft.leader_id))
    }

    /// Until when this replica may act as the fleet's leader; `None` if it may not.
    pub fn leader_lease(&self, now: Time) -> Option<Time> {
        let is_leader = self.is_leader() && self.log.is_some();
        let has_applied_own_term = self.applied_term == self.node.raft.term;
        self.lease
            .expiry()
            .filter(|expiry| is_leader && *expiry > now && has_applied_own_term)
    }

    /// When [`Replica::tick`] is due next.
    pub fn next_deadline(&self) -> Time {
        if self.is_stopped() {
            return Time::MAX;
        }
        self.next_tick
    }

    /// Whether the replica stopped taking part, because its disk failed or the log holds an entry that it can't decode.
    pub fn is_failed(&self) -> bool {
        self.is_failed
    }

    /// Advances Raft's clock and, as leader, renews the leader lease.
    pub fn tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.is_stopped() {
            return;
        }
        while now >= self.next_tick {
            self.node.tick();
            self.draw_election_timeout();
            // After a pause, ticks are not made up for one by one: the other replicas' clocks kept running.
            self.next_tick = if now - self.next_tick > MAX_MISSED_TICKS * TICK_INTERVAL {
                now + TICK_INTERVAL
            } else {
                self.next_tick + TICK_INTERVAL
            };
        }
        if self.is_leader() && !self.voters().contains_voter(self.config.id) {
            // The removal of this voter was committed while it led.
            let candidates = self.voters().voters.clone();
            let successor = self.rng.choice(candidates).unwrap_or(0);
            self.transfer_leadership(successor, effects);
        }
        if !self.is_leader() {
            self.lease.clear();
        } else {
            let can_read = self.node.raft.commit_to_current_term();
            if let Some(context) = self.lease.start_round(now, can_read) {
                self.node.read_index(context);
            }
        }
        self.collect(effects);
    }

    /// Handles a message from another replica.
    pub fn on_message(&mut self, from: u64, bytes: &[u8], effects: &mut Vec<Effect>) {
        if self.is_failed {
            return;
        }
        let group = self.node.store().latest.group;
        let decoded = wire::decode_message(bytes, from, self.config.id, group);
        let Some((message, message_group)) = decoded else {
            return;
        };
        if group == 0 {
            self.node.mut_store().latest.group = message_group;
        }
        if self.contradicts_log(&message) {
            return;
        }
        // Raft returns an error for a message that it ignores.
        let _ = self.node.step(message);
        self.draw_election_timeout();
        self.collect(effects);
    }

    /// Proposes an entry and returns the proposal's number, which [`Effect::Applied`] repeats. `None` if this replica does
    /// not lead, or if the entry changes the voters and an earlier such change is not applied yet.
    pub fn propose(&mut self, entry: LogEntry, effects: &mut Vec<Effect>) -> Option<u64> {
        let number = self.next_proposal;
        let entry = ReplicatedEntry::Entry(self.config.id, self.config.incarnation, number, entry);
        if !self.replicate(&entry) {
            return None;
        }
        self.next_proposal += 1;
        self.collect(effects);
        Some(number)
    }

    /// Handles the result of the oldest unacknowledged write. If the write failed, the replica stops taking part.
    pub fn on_persisted(&mut self, is_synced: bool, effects: &mut Vec<Effect>) {
        if !is_synced {
            self.is_failed = true;
            return;
        }
        let Some(write) = self.pending_writes.pop_front() else {
            return;
        };
        effects.extend(write.messages);
        if !self.is_failed {
            self.node.on_persist_ready(write.ready_number);
            self.unsynced_snapshots
                .retain(|number| *number > write.ready_number);
            self.acknowledge_applied();
            self.collect(effects);
        }
    }

    fn is_leader(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    fn voters(&self) -> &VoterSet {
        &self.node.store().latest.voters
    }

    fn is_sole_voter(&self) -> bool {
        self.voters().voters == [self.config.id] && self.voters().outgoing.is_empty()
    }

    /// Whether the replica must be silent. A failed replica is, so that the others elect another leader, unless it is the
    /// only voter.
    fn is_stopped(&self) -> bool {
        self.is_failed && !self.is_sole_voter()
    }

    /// Whether a message contradicts the log here, because this replica's or the sender's disk lost acknowledged entries.
    fn contradicts_log(&self, message: &Message) -> bool {
        let raft_log = &self.node.raft.raft_log;
        let commits_past_end = message.get_msg_type() == MessageType::MsgHeartbeat
            && message.commit > raft_log.last_index();
        commits_past_end
            || message.entries.iter().any(|entry| {
                entry.index <= raft_log.committed
                    && raft_log
                        .term(entry.index)
                        .is_ok_and(|term| term != entry.term)
            })
    }

    /// Proposes an entry to Raft; returns `false` if this replica does not lead or Raft can't accept the entry now.
    fn replicate(&mut self, entry: &ReplicatedEntry) -> bool {
        if !self.is_leader() || self.is_failed {
            return false;
        }
        let bytes = postcard::to_stdvec(entry).unwrap_or_default();
        let change = match entry {
            ReplicatedEntry::Entry(_, _, _, log_entry) => conf_change(log_entry),
            ReplicatedEntry::Begin(..) => None,
        };
        match change {
            None => self.node.propose(Vec::new(), bytes).is_ok(),
            // Raft would silently replace the entry by an empty one.
            Some(_) if self.node.raft.has_pending_conf() => false,
            Some(change) => self.node.propose_conf_change(bytes, change).is_ok(),
        }
    }

    /// Draws the election timeout from this replica's seeded generator, once for each term and role.
    fn draw_election_timeout(&mut self) {
        let current = (self.node.raft.term, self.node.raft.state);
        if self.timeout_drawn_for != Some(current) {
            self.timeout_drawn_for = Some(current);
            let ticks = ELECTION_TICKS + self.rng.usize(0..ELECTION_TICKS);
            self.node.raft.set_randomized_election_timeout(ticks);
        }
    }
}
