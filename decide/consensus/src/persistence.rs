//! Encoding of a replica's records and snapshots on disk, and recovery from them.

use crate::config::ReplicaConfig;
use crate::raft_storage::RaftStorage;
use crate::voter_changes::VoterSet;
use crate::wire::{self, WireEntry, WireSnapshot};
use raft::eraftpb::{Entry, HardState};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tansy_agreement::compatibility::Fields;
use tansy_agreement::log::{Log, LogEntry};
use xxhash_rust::xxh3::xxh3_64;

/// Format of a snapshot on disk. Snapshots of the first format, which listed no voters, began with a term, which is never 0.
const SNAPSHOT_FORMAT: u64 = 0;

/// The state that a replica has on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// The last snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The records after the snapshot, in the order in which they were written.
    pub records: Vec<Vec<u8>>,
}

/// Why a replica can't be started from its state on disk.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CorruptState {
    /// The configuration has a voter with id 0, which Raft reserves.
    #[error("the id of a voter is 0, which is not allowed; rename that voter")]
    ZeroVoterId,
    /// The snapshot has a format that this program does not know.
    #[error("the snapshot in the state file has unknown format {format}; restore the file, or start the voter without it")]
    UnknownSnapshotFormat {
        /// The format that the snapshot states.
        format: u64,
    },
    /// The snapshot can't be decoded.
    #[error("the snapshot in the state file can't be decoded: {cause}; restore the file, or start the voter without it")]
    Snapshot {
        /// The decoder's error.
        cause: postcard::Error,
    },
    /// A record can't be decoded.
    #[error("record {record} in the state file can't be decoded: {cause}; restore the file, or start the voter without it")]
    Record {
        /// Number of the record after the snapshot, from 1.
        record: usize,
        /// The decoder's error.
        cause: postcard::Error,
    },
    /// Raft does not accept the state.
    #[error(
        "the state file is inconsistent: {cause}; restore the file, or start the voter without it"
    )]
    Raft {
        /// Raft's error.
        cause: String,
    },
}

/// A record of one write.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Record {
    Ready {
        hard_state: Option<(u64, u64, u64)>,
        entries: Vec<WireEntry>,
        snapshot: Option<WireSnapshot>,
    },
}

/// A replica's whole state, which replaces all earlier records.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoredSnapshot {
    /// Always [`SNAPSHOT_FORMAT`].
    format: u64,
    hard_state: (u64, u64, u64),
    base: (u64, u64),
    entries: Vec<WireEntry>,
    latest: WireSnapshot,
}

/// The data of an entry in Raft's log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum ReplicatedEntry {
    /// The settings and voters that the fleet starts with. Only the first such entry has an effect.
    Begin(Fields, BTreeMap<u64, SocketAddr>),
    /// An entry of the agreed log, after the id and incarnation of its proposer and the number of the proposal.
    Entry(u64, u64, u64, LogEntry),
}

/// Recovers Raft's state from the disk.
pub(crate) fn load(
    config: &ReplicaConfig,
    saved: &PersistentState,
) -> Result<RaftStorage, CorruptState> {
    if config.id == 0 || config.voters.contains_key(&0) {
        return Err(CorruptState::ZeroVoterId);
    }
    let mut storage = initial_storage(config)?;
    if let Some(bytes) = &saved.snapshot {
        load_snapshot(&mut storage, bytes)?;
    }
    for (position, bytes) in saved.records.iter().enumerate() {
        let record = postcard::from_bytes(bytes).map_err(|cause| CorruptState::Record {
            record: position + 1,
            cause,
        })?;
        apply_record(&mut storage, record);
    }
    // The commit index on disk may be behind, since commits are announced before they are written. It must not be past the
    // last entry.
    let commit = storage.hard_state.commit;
    storage.hard_state.commit = commit.clamp(storage.latest.index, storage.last());
    Ok(storage)
}

/// The log of the latest snapshot; `None` if the fleet has not started.
pub(crate) fn load_log(storage: &RaftStorage) -> Result<Option<Log>, CorruptState> {
    if storage.latest.log.is_empty() {
        return Ok(None);
    }
    wire::decode_log(&storage.latest.log)
        .map(Some)
        .map_err(|cause| CorruptState::Snapshot { cause })
}

fn initial_storage(config: &ReplicaConfig) -> Result<RaftStorage, CorruptState> {
    let mut storage = RaftStorage::default();
    if config.voters.contains_key(&config.id) {
        // The first voters are part of a snapshot at index 1, an entry that no replica has. Other replicas therefore
        // receive a snapshot, which lists the voters, instead of entries from the start.
        let voters: Vec<u64> = config.voters.keys().copied().collect();
        let encoded =
            postcard::to_stdvec(&voters).map_err(|cause| CorruptState::Snapshot { cause })?;
        storage.restore(WireSnapshot {
            index: 1,
            term: 1,
            voters: VoterSet {
                voters,
                ..VoterSet::default()
            },
            group: xxh3_64(&encoded).max(1),
            log: Vec::new(),
        });
    }
    Ok(storage)
}

fn load_snapshot(storage: &mut RaftStorage, bytes: &[u8]) -> Result<(), CorruptState> {
    let snapshot: StoredSnapshot =
        postcard::from_bytes(bytes).map_err(|cause| CorruptState::Snapshot { cause })?;
    if snapshot.format != SNAPSHOT_FORMAT {
        return Err(CorruptState::UnknownSnapshotFormat {
            format: snapshot.format,
        });
    }
    storage.hard_state = hard_state(snapshot.hard_state);
    storage.base = snapshot.base;
    storage.latest = snapshot.latest;
    storage.entries = entries_into_raft(snapshot.entries);
    Ok(())
}

fn apply_record(storage: &mut RaftStorage, record: Record) {
    let Record::Ready {
        hard_state: parts,
        entries,
        snapshot,
    } = record;
    if let Some(snapshot) = snapshot {
        storage.restore(snapshot);
    }
    storage.append(&entries_into_raft(entries));
    if let Some(parts) = parts {
        storage.hard_state = hard_state(parts);
    }
}

/// Encodes a record of new entries, a snapshot received from another replica, and the hard state after them.
pub(crate) fn encode_record(
    storage: &RaftStorage,
    entries: &[Entry],
    snapshot: Option<WireSnapshot>,
) -> Vec<u8> {
    // The commit index is written with every record, so that a replica that restarts is at most one voter change behind:
    // a leader proposes the next change only once the last one is committed.
    let record = Record::Ready {
        hard_state: Some(hard_state_parts(&storage.hard_state)),
        entries: entries.iter().map(wire::entry_from_raft).collect(),
        snapshot,
    };
    postcard::to_stdvec(&record).unwrap_or_default()
}

/// Encodes the whole state.
pub(crate) fn encode_snapshot(storage: &RaftStorage) -> Vec<u8> {
    let snapshot = StoredSnapshot {
        format: SNAPSHOT_FORMAT,
        hard_state: hard_state_parts(&storage.hard_state),
        base: storage.base,
        entries: storage.entries.iter().map(wire::entry_from_raft).collect(),
        latest: storage.latest.clone(),
    };
    postcard::to_stdvec(&snapshot).unwrap_or_default()
}

fn entries_into_raft(entries: Vec<WireEntry>) -> Vec<Entry> {
    entries
        .into_iter()
        .filter_map(wire::entry_into_raft)
        .collect()
}

fn hard_state((term, vote, commit): (u64, u64, u64)) -> HardState {
    HardState {
        term,
        vote,
        commit,
        ..Default::default()
    }
}

fn hard_state_parts(state: &HardState) -> (u64, u64, u64) {
    (state.term, state.vote, state.commit)
}
