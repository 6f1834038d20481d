//! Records of a replica on disk, and how its state is rebuilt from them.

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

/// Format of a snapshot on disk. Files of the first format, whose voters were those of the settings, began with a term,
/// which is never 0.
const SNAPSHOT_FORMAT: u64 = 0;

/// What a disk holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// The last snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The records after it, in the order in which they were written.
    pub records: Vec<Vec<u8>>,
}

/// Why a replica can't be started from what its disk holds. Record 0 of the texts is the snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CorruptState {
    /// The configuration names a voter 0, which raft reserves.
    #[error("record 0 of the voter's file can't be read: a voter's number is 0; restore the file, or start the voter anew without it")]
    ZeroVoterId,
    /// The snapshot has a format that this program does not know.
    #[error("record 0 of the voter's file can't be read: it is of a form that this program does not know; restore the file, or start the voter anew without it")]
    UnknownSnapshotFormat {
        /// The format that the snapshot states.
        format: u64,
    },
    /// The snapshot can't be decoded.
    #[error("record 0 of the voter's file can't be read: {cause}; restore the file, or start the voter anew without it")]
    Snapshot {
        /// The decoder's error.
        cause: postcard::Error,
    },
    /// A record can't be decoded.
    #[error("record {record} of the voter's file can't be read: {cause}; restore the file, or start the voter anew without it")]
    Record {
        /// Its position after the snapshot, from 1.
        record: usize,
        /// The decoder's error.
        cause: postcard::Error,
    },
    /// Raft does not accept the state.
    #[error("record 0 of the voter's file can't be read: {cause}; restore the file, or start the voter anew without it")]
    Raft {
        /// Raft's error.
        cause: String,
    },
}

/// What one write adds.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Record {
    Ready {
        hard_state: Option<(u64, u64, u64)>,
        entries: Vec<WireEntry>,
        snapshot: Option<WireSnapshot>,
    },
}

/// All of a replica's state; it replaces the records before it.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoredSnapshot {
    /// [`SNAPSHOT_FORMAT`].
    format: u64,
    hard_state: (u64, u64, u64),
    base: (u64, u64),
    entries: Vec<WireEntry>,
    latest: WireSnapshot,
}

/// The data of an entry in raft's log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum ReplicatedEntry {
    /// The fields and voters that the fleet starts with; only the first of these entries counts.
    Begin(Fields, BTreeMap<u64, SocketAddr>),
    /// An entry of the agreed log, with its proposer's id and incarnation and the proposal's number.
    Entry(u64, u64, u64, LogEntry),
}

/// Rebuilds raft's state from what the disk holds.
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
    // A commit may be announced before it is written: what the disk holds of it may be behind, and is never past the last
    // entry.
    let commit = storage.hard_state.commit;
    storage.hard_state.commit = commit.clamp(storage.latest.index, storage.last());
    Ok(storage)
}

/// The log of the latest snapshot; none: the fleet has not started.
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
        // The first voters stand before the first entry, as an entry that nobody has: a replica which is not among them
        // has to learn them with a snapshot.
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

/// Encodes what one write adds: entries and a snapshot, with the state as it is after them.
pub(crate) fn encode_record(
    storage: &RaftStorage,
    entries: &[Entry],
    snapshot: Option<WireSnapshot>,
) -> Vec<u8> {
    // What is known to be committed is written with the entries after it: a replica that restarts is at most one change of
    // voters behind, since the next one is proposed by a leader that knows the last to be committed.
    let record = Record::Ready {
        hard_state: Some(hard_state_parts(&storage.hard_state)),
        entries: entries.iter().map(wire::entry_from_raft).collect(),
        snapshot,
    };
    postcard::to_stdvec(&record).unwrap_or_default()
}

/// Encodes all that there is.
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
