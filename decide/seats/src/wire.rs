//! What seats write to each other, and what they hold, in a form of our own.
//!
//! The library brings an old protobuf, which has an advisory on deep recursion when it parses; here it parses nothing. It
//! also ends the process on a message that contradicts its log: such ones are turned away before it sees them.

use raft::eraftpb::{self as pb, MessageType};
use serde::{Deserialize, Serialize};

/// Entries of one message.
const ENTRIES: usize = 4096;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Ent {
    pub(crate) kind: u8,
    pub(crate) term: u64,
    pub(crate) index: u64,
    pub(crate) data: Vec<u8>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Snap {
    pub(crate) index: u64,
    pub(crate) term: u64,
    pub(crate) voters: Vec<u64>,
    pub(crate) log: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Msg {
    kind: u8,
    to: u64,
    from: u64,
    term: u64,
    log_term: u64,
    index: u64,
    entries: Vec<Ent>,
    commit: u64,
    commit_term: u64,
    snapshot: Option<Snap>,
    request_snapshot: u64,
    reject: bool,
    reject_hint: u64,
    context: Vec<u8>,
    priority: i64,
}

pub(crate) fn ent(e: &pb::Entry) -> Ent {
    Ent { kind: e.get_entry_type() as u8, term: e.term, index: e.index, data: e.data.to_vec() }
}

pub(crate) fn of_ent(e: Ent) -> pb::Entry {
    let mut out = pb::Entry { term: e.term, index: e.index, data: e.data.into(), ..Default::default() };
    // Only plain entries are ever written: seats stand in the settings.
    out.set_entry_type(pb::EntryType::EntryNormal);
    out
}

pub(crate) fn of_snap(s: Snap) -> pb::Snapshot {
    let mut out = pb::Snapshot { data: s.log.into(), ..Default::default() };
    let meta = out.mut_metadata();
    (meta.index, meta.term) = (s.index, s.term);
    meta.mut_conf_state().voters = s.voters;
    out
}

pub(crate) fn snap(s: &pb::Snapshot) -> Snap {
    let meta = s.get_metadata();
    let voters = meta.get_conf_state().voters.clone();
    Snap { index: meta.index, term: meta.term, voters, log: s.data.to_vec() }
}

pub(crate) fn bytes(m: &pb::Message) -> Vec<u8> {
    let there = !m.get_snapshot().get_metadata().get_conf_state().voters.is_empty();
    let msg = Msg {
        kind: m.get_msg_type() as u8,
        to: m.to,
        from: m.from,
        term: m.term,
        log_term: m.log_term,
        index: m.index,
        entries: m.entries.iter().map(ent).collect(),
        commit: m.commit,
        commit_term: m.commit_term,
        snapshot: there.then(|| snap(m.get_snapshot())),
        request_snapshot: m.request_snapshot,
        reject: m.reject,
        reject_hint: m.reject_hint,
        context: m.context.to_vec(),
        priority: m.priority,
    };
    // Plain data in memory always has an encoding.
    postcard::to_stdvec(&msg).unwrap_or_default()
}

fn kind(n: u8) -> Option<MessageType> {
    use MessageType::*;
    let all = [
        MsgAppend,
        MsgAppendResponse,
        MsgRequestVote,
        MsgRequestVoteResponse,
        MsgSnapshot,
        MsgHeartbeat,
        MsgHeartbeatResponse,
        MsgReadIndex,
        MsgReadIndexResp,
        MsgRequestPreVote,
        MsgRequestPreVoteResponse,
    ];
    // Those that a process tells itself are none that another may send, nor is leadership handed over.
    all.into_iter().find(|k| *k as u8 == n)
}

/// A message of one of these to this one, whose entries follow each other.
pub(crate) fn read(bytes: &[u8], me: u64, voters: &[u64]) -> Option<pb::Message> {
    let m: Msg = postcard::from_bytes(bytes).ok()?;
    let follow =
        m.entries.iter().zip(1..).all(|(e, n)| m.index.checked_add(n) == Some(e.index) && e.kind == 0);
    let terms = m.entries.iter().all(|e| e.term <= m.term && e.term >= m.log_term);
    if m.to != me
        || m.from == me
        || !voters.contains(&m.from)
        || !follow
        || !terms
        || m.entries.len() > ENTRIES
    {
        return None;
    }
    let mut out = pb::Message {
        to: m.to,
        from: m.from,
        term: m.term,
        log_term: m.log_term,
        index: m.index,
        entries: m.entries.into_iter().map(of_ent).collect(),
        commit: m.commit,
        commit_term: m.commit_term,
        request_snapshot: m.request_snapshot,
        reject: m.reject,
        reject_hint: m.reject_hint,
        context: m.context.into(),
        priority: m.priority,
        ..Default::default()
    };
    out.set_msg_type(kind(m.kind)?);
    if let Some(s) = m.snapshot {
        if s.voters != voters {
            return None;
        }
        out.set_snapshot(of_snap(s));
    }
    Some(out)
}
