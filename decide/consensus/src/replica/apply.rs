//! Application of committed entries to the log, and periodic snapshots of it for replicas that are far behind.

use super::Replica;
use crate::effect::Effect;
use crate::persistence::ReplicatedEntry;
use crate::voter_changes::{conf_change, VoterSet};
use crate::wire;
use raft::eraftpb::{Entry, EntryType};
use tansy_agreement::log::{Log, LogEntry};

/// Shortest interval between two snapshots of the log, in entries.
const ENCODE_INTERVAL: u64 = 32;
/// The interval has at least one entry per this many bytes of the encoded log, up to [`RETAINED_ENTRIES`].
const BYTES_PER_INTERVAL_ENTRY: usize = 64 << 10;
/// Applied entries that stay in memory for replicas that are slightly behind.
const RETAINED_ENTRIES: u64 = 256;

impl Replica {
    /// Applies committed entries in order.
    pub(super) fn apply(&mut self, entries: Vec<Entry>, effects: &mut Vec<Effect>) {
        if entries.is_empty() {
            return;
        }
        let mut have_voters_changed = false;
        for entry in entries {
            let data = match entry.get_entry_type() {
                EntryType::EntryNormal => &entry.data,
                _ => &entry.context,
            };
            let decoded = postcard::from_bytes(data);
            if decoded.is_err() && !data.is_empty() {
                self.stop_at_unknown_entry(effects);
                return;
            }
            self.applied = entry.index;
            self.applied_term = entry.term;
            match decoded {
                Ok(ReplicatedEntry::Begin(fields, voters)) if self.log.is_none() => {
                    self.log = Some(Log::new(fields, voters));
                }
                Ok(ReplicatedEntry::Entry(proposer, incarnation, number, entry)) => {
                    let is_own =
                        (proposer, incarnation) == (self.config.id, self.config.incarnation);
                    let proposal = is_own.then_some(number);
                    have_voters_changed |= self.apply_entry(proposal, entry, effects);
                }
                // Raft starts each term with an empty entry.
                Ok(ReplicatedEntry::Begin(..)) | Err(_) => {}
            }
        }
        self.encode_log(have_voters_changed);
    }

    /// Applies one entry of the log; returns whether the voters changed.
    fn apply_entry(
        &mut self,
        proposal: Option<u64>,
        entry: LogEntry,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(log) = &mut self.log else {
            return false;
        };
        let outcome = log.apply(entry.clone());
        // Every replica changes the voters at the index at which it applies the entry to the log.
        let change = conf_change(&entry).filter(|_| outcome.is_ok());
        let applied_change = change.map(|change| self.node.apply_conf_change(&change));
        let mut have_voters_changed = false;
        if let Some(Ok(state)) = applied_change {
            self.node.mut_store().latest.voters = VoterSet::from_raft(&state);
            have_voters_changed = true;
        }
        effects.push(Effect::Applied {
            proposal,
            entry,
            outcome,
        });
        have_voters_changed
    }

    /// Encodes the log as a snapshot for other replicas, if one is due or the voters changed.
    fn encode_log(&mut self, have_voters_changed: bool) {
        let latest = &self.node.store().latest;
        let interval = ENCODE_INTERVAL
            .max((latest.log.len() / BYTES_PER_INTERVAL_ENTRY) as u64)
            .min(RETAINED_ENTRIES);
        if !have_voters_changed && self.applied - latest.index < interval {
            return;
        }
        let encoded = self.log.as_ref().and_then(|log| wire::encode_log(log).ok());
        let Some(encoded) = encoded.filter(|bytes| !bytes.is_empty()) else {
            return;
        };
        let (index, term) = (self.applied, self.applied_term);
        let storage = self.node.mut_store();
        storage.latest.index = index;
        storage.latest.term = term;
        storage.latest.log = encoded;
        if storage.entries.len() as u64 > 2 * RETAINED_ENTRIES {
            storage.compact(RETAINED_ENTRIES);
        }
    }
}
