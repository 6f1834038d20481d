//! Encoding of messages between replicas, and of the entries and snapshots in messages and records.
//!
//! The Raft library's own encoding is not used for input, because its protobuf version has a known advisory on unbounded
//! recursion in the parser. The library also panics on some inconsistent messages, so decoding rejects those first.

use crate::persistence::ReplicatedEntry;
use crate::voter_changes::{encoded_conf_change, VoterSet};
use raft::eraftpb::{Entry, EntryType, Message, MessageType, Snapshot};
use serde::{Deserialize, Serialize};
use tansy_agreement::log::Log;
use tansy_agreement::scope::CatalogSnapshot;

/// Maximum number of entries in one message.
const MAX_MESSAGE_ENTRIES: usize = 4096;
/// Kind of an entry that does not change the voters.
const NORMAL_ENTRY: u8 = 0;
/// Kind of an entry that changes the voters.
const VOTER_CHANGE_ENTRY: u8 = 2;
/// Prefix of an encoded log that has a catalog of scopes. It is not a valid postcard integer, so that a program without
/// support for scopes fails to decode such a log instead of losing the catalog.
const CATALOG_MARKER: [u8; 11] = [0xff; 11];
/// The types of messages that replicas send to each other. Raft's other types are local to a process.
const REMOTE_MESSAGE_TYPES: [MessageType; 12] = [
    MessageType::MsgAppend,
    MessageType::MsgAppendResponse,
    MessageType::MsgRequestVote,
    MessageType::MsgRequestVoteResponse,
    MessageType::MsgSnapshot,
    MessageType::MsgHeartbeat,
    MessageType::MsgHeartbeatResponse,
    MessageType::MsgReadIndex,
    MessageType::MsgReadIndexResp,
    MessageType::MsgRequestPreVote,
    MessageType::MsgRequestPreVoteResponse,
    MessageType::MsgTimeoutNow,
];

/// An entry of Raft's log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct WireEntry {
    kind: u8,
    term: u64,
    index: u64,
    data: Vec<u8>,
}

/// A snapshot of the log and the voters as of an entry.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct WireSnapshot {
    pub(crate) index: u64,
    pub(crate) term: u64,
    pub(crate) voters: VoterSet,
    /// Id of the Raft group: a hash of its first voters. Messages of another group are rejected.
    pub(crate) group: u64,
    pub(crate) log: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct WireMessage {
    kind: u8,
    group: u64,
    to: u64,
    from: u64,
    term: u64,
    log_term: u64,
    index: u64,
    entries: Vec<WireEntry>,
    commit: u64,
    commit_term: u64,
    snapshot: Option<WireSnapshot>,
    request_snapshot: u64,
    reject: bool,
    reject_hint: u64,
    context: Vec<u8>,
    priority: i64,
}

impl WireMessage {
    /// Whether the entries are consecutive and their terms are valid in a message of this term.
    fn has_consistent_entries(&self) -> bool {
        let are_consecutive = self
            .entries
            .iter()
            .zip(1..)
            .all(|(entry, offset)| self.index.checked_add(offset) == Some(entry.index));
        let have_valid_terms = self
            .entries
            .iter()
            .all(|entry| entry.term <= self.term && entry.term >= self.log_term);
        are_consecutive && have_valid_terms && self.entries.len() <= MAX_MESSAGE_ENTRIES
    }
}

/// Encodes a log, with its catalog of scopes if it has one.
pub(crate) fn encode_log(log: &Log) -> postcard::Result<Vec<u8>> {
    match log.catalog_snapshot() {
        None => postcard::to_stdvec(log),
        Some(catalog) => postcard::to_extend(&(log, catalog), CATALOG_MARKER.to_vec()),
    }
}

/// Decodes the result of [`encode_log`].
pub(crate) fn decode_log(bytes: &[u8]) -> postcard::Result<Log> {
    match bytes.strip_prefix(&CATALOG_MARKER) {
        None => postcard::from_bytes(bytes),
        Some(bytes) => {
            let (log, catalog): (Log, CatalogSnapshot) = postcard::from_bytes(bytes)?;
            Ok(log.with_catalog(catalog))
        }
    }
}

/// Converts Raft's entry to its encoded form.
pub(crate) fn entry_from_raft(entry: &Entry) -> WireEntry {
    // For a voter change only the log entry is sent; the receiver derives Raft's configuration change from it.
    let (kind, data) = match entry.get_entry_type() {
        EntryType::EntryNormal => (NORMAL_ENTRY, &entry.data),
        _ => (VOTER_CHANGE_ENTRY, &entry.context),
    };
    WireEntry {
        kind,
        term: entry.term,
        index: entry.index,
        data: data.to_vec(),
    }
}

/// Converts an entry to Raft's form; `None` if its kind or its voter change is unknown.
pub(crate) fn entry_into_raft(entry: WireEntry) -> Option<Entry> {
    let mut raft_entry = Entry {
        term: entry.term,
        index: entry.index,
        ..Default::default()
    };
    match entry.kind {
        NORMAL_ENTRY => raft_entry.data = entry.data.into(),
        VOTER_CHANGE_ENTRY => {
            let decoded = postcard::from_bytes(&entry.data);
            let Ok(ReplicatedEntry::Entry(_, _, _, log_entry)) = decoded else {
                return None;
            };
            raft_entry.set_entry_type(EntryType::EntryConfChangeV2);
            raft_entry.data = encoded_conf_change(&log_entry)?.into();
            raft_entry.context = entry.data.into();
        }
        _ => return None,
    }
    Some(raft_entry)
}

/// Converts a snapshot to Raft's form.
pub(crate) fn snapshot_into_raft(snapshot: WireSnapshot) -> Snapshot {
    let mut raft_snapshot = Snapshot::default();
    let metadata = raft_snapshot.mut_metadata();
    metadata.index = snapshot.index;
    metadata.term = snapshot.term;
    metadata.set_conf_state(snapshot.voters.into_raft());
    raft_snapshot.data = snapshot.log.into();
    raft_snapshot
}

/// Converts Raft's snapshot; `None` for one without voters, which is how Raft represents the absence of a snapshot.
pub(crate) fn snapshot_from_raft(snapshot: &Snapshot, group: u64) -> Option<WireSnapshot> {
    let metadata = snapshot.get_metadata();
    let has_voters = !metadata.get_conf_state().voters.is_empty();
    has_voters.then(|| WireSnapshot {
        index: metadata.index,
        term: metadata.term,
        voters: VoterSet::from_raft(metadata.get_conf_state()),
        group,
        log: snapshot.data.to_vec(),
    })
}

/// Encodes a message.
pub(crate) fn encode_message(message: &Message, group: u64) -> Vec<u8> {
    let wire_message = WireMessage {
        kind: message.get_msg_type() as u8,
        group,
        to: message.to,
        from: message.from,
        term: message.term,
        log_term: message.log_term,
        index: message.index,
        entries: message.entries.iter().map(entry_from_raft).collect(),
        commit: message.commit,
        commit_term: message.commit_term,
        snapshot: snapshot_from_raft(message.get_snapshot(), group),
        request_snapshot: message.request_snapshot,
        reject: message.reject,
        reject_hint: message.reject_hint,
        context: message.context.to_vec(),
        priority: message.priority,
    };
    // Encoding plain data does not fail.
    postcard::to_stdvec(&wire_message).unwrap_or_default()
}

/// Decodes a message from the voter `from` to `to`, and returns it with its group. `None` if the message is malformed,
/// inconsistent, or of another group than `group`. `group` is 0 while this replica does not know its group.
pub(crate) fn decode_message(
    bytes: &[u8],
    from: u64,
    to: u64,
    group: u64,
) -> Option<(Message, u64)> {
    let message: WireMessage = postcard::from_bytes(bytes).ok()?;
    let has_valid_ends = message.to == to && message.from == from && from != to && from != 0;
    let is_same_group = group == 0 || message.group == group;
    if !has_valid_ends || !is_same_group || !message.has_consistent_entries() {
        return None;
    }
    let message_group = message.group;
    Some((message_into_raft(message)?, message_group))
}

fn message_into_raft(message: WireMessage) -> Option<Message> {
    let entries: Option<Vec<Entry>> = message.entries.into_iter().map(entry_into_raft).collect();
    let mut raft_message = Message {
        to: message.to,
        from: message.from,
        term: message.term,
        log_term: message.log_term,
        index: message.index,
        entries: entries?.into(),
        commit: message.commit,
        commit_term: message.commit_term,
        request_snapshot: message.request_snapshot,
        reject: message.reject,
        reject_hint: message.reject_hint,
        context: message.context.into(),
        priority: message.priority,
        ..Default::default()
    };
    raft_message.set_msg_type(message_type(message.kind)?);
    if let Some(snapshot) = message.snapshot {
        if !snapshot.voters.is_valid() || snapshot.group != message.group {
            return None;
        }
        raft_message.set_snapshot(snapshot_into_raft(snapshot));
    }
    Some(raft_message)
}

fn message_type(number: u8) -> Option<MessageType> {
    REMOTE_MESSAGE_TYPES
        .into_iter()
        .find(|kind| *kind as u8 == number)
}
