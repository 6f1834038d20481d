//! The library's view of what is held: entries after a snapshot, in memory; the disk holds the same.

use crate::wire::{of_conf, of_snap, Snap};
use raft::eraftpb::{Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};

#[derive(Clone, Debug, Default)]
pub(crate) struct Mem {
    pub(crate) hard: HardState,
    /// What the entries follow on: the last one that is not there any more.
    pub(crate) base: (u64, u64),
    pub(crate) entries: Vec<Entry>,
    /// The log and the seats as of the last entry that was applied.
    pub(crate) latest: Snap,
}

impl Mem {
    pub(crate) fn last(&self) -> u64 {
        self.entries.last().map_or(self.base.0, |e| e.index)
    }

    /// Takes entries; those that were there from the first one's index on are others' by now.
    pub(crate) fn append(&mut self, new: &[Entry]) {
        let Some(first) = new.first() else { return };
        self.entries.retain(|e| e.index < first.index);
        self.entries.extend_from_slice(new);
    }

    pub(crate) fn restore(&mut self, snap: Snap) {
        self.base = (snap.index, snap.term);
        self.entries.retain(|e| e.index > snap.index);
        if self
            .entries
            .first()
            .is_some_and(|e| e.index != snap.index + 1)
        {
            self.entries.clear();
        }
        self.hard.commit = self.hard.commit.max(snap.index);
        self.hard.term = self.hard.term.max(snap.term);
        self.latest = snap;
    }

    /// Lets go of entries before the last so many that were applied.
    pub(crate) fn compact(&mut self, keep: u64) {
        let upto = self.latest.index.saturating_sub(keep);
        if let Some(at) = self.entries.iter().position(|e| e.index == upto) {
            self.base = (upto, self.entries[at].term);
            self.entries.drain(..=at);
        }
    }
}

impl Storage for Mem {
    fn initial_state(&self) -> Result<RaftState> {
        Ok(RaftState::new(
            self.hard.clone(),
            of_conf(self.latest.conf.clone()),
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
        let mut left = max_size.into().unwrap_or(u64::MAX);
        let mut out: Vec<Entry> = Vec::new();
        for e in self
            .entries
            .iter()
            .filter(|e| e.index >= low && e.index < high)
        {
            let size = 32 + e.data.len() as u64;
            if !out.is_empty() && size > left {
                break;
            }
            left = left.saturating_sub(size);
            out.push(e.clone());
        }
        Ok(out)
    }

    fn term(&self, index: u64) -> Result<u64> {
        if index == self.base.0 {
            return Ok(self.base.1);
        } else if index < self.base.0 {
            return Err(Error::Store(StorageError::Compacted));
        }
        let found = self.entries.get((index - self.base.0 - 1) as usize);
        found
            .map(|e| e.term)
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
        Ok(of_snap(self.latest.clone()))
    }
}
