//! The Raft library's storage: a snapshot and the entries after it, in memory. The disk has a copy.

use crate::wire::{snapshot_into_raft, WireSnapshot};
use raft::eraftpb::{Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};

/// Size that an entry counts for in a message beside its data.
const ENTRY_OVERHEAD_BYTES: u64 = 32;

/// Raft's entries and state.
#[derive(Clone, Debug, Default)]
pub(crate) struct RaftStorage {
    pub(crate) hard_state: HardState,
    /// Index and term of the last entry removed by compaction, just before the first of `entries`.
    pub(crate) base: (u64, u64),
    pub(crate) entries: Vec<Entry>,
    /// The latest snapshot: the encoded log and the voters as of an applied entry.
    pub(crate) latest: WireSnapshot,
}

impl RaftStorage {
    /// Index of the last entry.
    pub(crate) fn last(&self) -> u64 {
        self.entries.last().map_or(self.base.0, |entry| entry.index)
    }

    /// Appends entries. Existing entries from the first new index on were never committed, and are replaced.
    pub(crate) fn append(&mut self, new: &[Entry]) {
        let Some(first) = new.first() else { return };
        self.entries.retain(|entry| entry.index < first.index);
        self.entries.extend_from_slice(new);
    }

    /// Replaces the entries that a snapshot of another replica covers.
    pub(crate) fn restore(&mut self, snapshot: WireSnapshot) {
        self.base = (snapshot.index, snapshot.term);
        self.entries.retain(|entry| entry.index > snapshot.index);
        let first = self.entries.first();
        if first.is_some_and(|entry| entry.index != snapshot.index + 1) {
            self.entries.clear();
        }
        self.hard_state.commit = self.hard_state.commit.max(snapshot.index);
        self.hard_state.term = self.hard_state.term.max(snapshot.term);
        self.latest = snapshot;
    }

    /// Removes the entries that the latest snapshot covers, except the last `retained` of them.
    pub(crate) fn compact(&mut self, retained: u64) {
        let index = self.latest.index.saturating_sub(retained);
        let position = self.entries.iter().position(|entry| entry.index == index);
        if let Some(position) = position {
            self.base = (index, self.entries[position].term);
            self.entries.drain(..=position);
        }
    }
}

impl Storage for RaftStorage {
    fn initial_state(&self) -> Result<RaftState> {
        Ok(RaftState::new(
            self.hard_state.clone(),
            self.latest.voters.clone().into_raft(),
        ))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        if low <= self.base.0 {
            return Err(Error::Store(StorageError::Compacted));
        }
        let mut remaining = max_size.into().unwrap_or(u64::MAX);
        let mut selected: Vec<Entry> = Vec::new();
        let range = self
            .entries
            .iter()
            .filter(|entry| entry.index >= low && entry.index < high);
        for entry in range {
            let size = ENTRY_OVERHEAD_BYTES + entry.data.len() as u64;
            if !selected.is_empty() && size > remaining {
                break;
            }
            remaining = remaining.saturating_sub(size);
            selected.push(entry.clone());
        }
        Ok(selected)
    }

    fn term(&self, index: u64) -> Result<u64> {
        if index == self.base.0 {
            return Ok(self.base.1);
        }
        if index < self.base.0 {
            return Err(Error::Store(StorageError::Compacted));
        }
        self.entries
            .get((index - self.base.0 - 1) as usize)
            .map(|entry| entry.term)
            .ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.base.0 + 1)
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> Result<Snapshot> {
        if self.latest.index < request_index || self.latest.index == 0 {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(snapshot_into_raft(self.latest.clone()))
    }
}
