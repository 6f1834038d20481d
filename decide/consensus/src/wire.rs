//! What seats write to each other, and what they hold, in a form of our own.
//!
//! The library brings an old protobuf, which has an advisory on deep recursion when it parses; here it parses nothing. It
//! also ends the process on a message that contradicts its log: such ones are turned away before it sees them.

use crate::Said;
use protobuf::Message as _;
use raft::eraftpb::{
    self as pb, ConfChangeSingle, ConfChangeTransition, ConfChangeType, MessageType,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use tansy_agreement::log::{Log, LogEntry};
use tansy_agreement::scope::CatalogSnapshot;

/// Entries of one message.
const ENTRIES: usize = 4096;
/// Seats that one set of them may have, old and new ones and one that learns.
const SEATS: usize = 16;
/// What an entry is: plain, or one that changes who keeps the log.
const PLAIN: u8 = 0;
const SEATING: u8 = 2;

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
    pub(crate) conf: Conf,
    /// Which seats the order began with; those of another beginning are not understood.
    pub(crate) first: u64,
    pub(crate) log: Vec<u8>,
}

/// Who keeps the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Conf {
    pub(crate) voters: Vec<u64>,
    /// While one is replaced: the voters before.
    pub(crate) outgoing: Vec<u64>,
    pub(crate) learners: Vec<u64>,
}

impl Conf {
    /// Whether it is one that can be.
    fn sound(&self) -> bool {
        let set = |ids: &[u64]| ids.iter().copied().collect::<BTreeSet<u64>>();
        let all = [&self.voters, &self.outgoing, &self.learners];
        let each = all
            .iter()
            .all(|ids| set(ids).len() == ids.len() && ids.len() <= SEATS);
        let (voters, learners) = (
            set(&[self.voters.clone(), self.outgoing.clone()].concat()),
            set(&self.learners),
        );
        each && !self.voters.is_empty()
            && voters.is_disjoint(&learners)
            && !voters.contains(&0)
            && !learners.contains(&0)
    }
}

pub(crate) fn of_conf(c: Conf) -> pb::ConfState {
    let (voters, voters_outgoing, learners) = (c.voters, c.outgoing, c.learners);
    pb::ConfState {
        voters,
        voters_outgoing,
        learners,
        ..Default::default()
    }
}

pub(crate) fn conf(c: &pb::ConfState) -> Conf {
    let (mut voters, mut outgoing, mut learners) = (
        c.voters.clone(),
        c.voters_outgoing.clone(),
        c.learners.clone(),
    );
    [&mut voters, &mut outgoing, &mut learners]
        .into_iter()
        .for_each(|ids| ids.sort());
    Conf {
        voters,
        outgoing,
        learners,
    }
}

/// What an entry changes about who keeps the log.
pub(crate) fn change(entry: &LogEntry) -> Option<pb::ConfChangeV2> {
    use ConfChangeType::{AddLearnerNode, AddNode, RemoveNode};
    let one = |kind, id| {
        let mut c = ConfChangeSingle {
            node_id: id,
            ..Default::default()
        };
        c.set_change_type(kind);
        c
    };
    let mut change = pb::ConfChangeV2::default();
    match *entry {
        LogEntry::BeginVoterReplacement { new, .. } => {
            change.set_changes(vec![one(AddLearnerNode, new)].into())
        }
        LogEntry::CancelVoterReplacement { new } => {
            change.set_changes(vec![one(RemoveNode, new)].into())
        }
        LogEntry::EnterJointConsensus {
            new,
            replaced: instead,
        } => {
            change.set_changes(vec![one(AddNode, new), one(RemoveNode, instead)].into());
            change.set_transition(ConfChangeTransition::Explicit);
        }
        // One without changes ends the time in which both count.
        LogEntry::CompleteVoterReplacement { .. } => {}
        _ => return None,
    }
    Some(change)
}

/// Before a log that holds functions which are agreed on one by one. No number is written so: a program that does not know
/// them does not take such a log for one without.
const SCOPED: [u8; 11] = [0xff; 11];

/// A log, as it is held and told as a whole. One without functions is as it always was.
pub(crate) fn log(log: &Log) -> postcard::Result<Vec<u8>> {
    match log.catalog_snapshot() {
        None => postcard::to_stdvec(log),
        Some(kept) => postcard::to_extend(&(log, kept), SCOPED.to_vec()),
    }
}

/// The same, read.
pub(crate) fn of_log(bytes: &[u8]) -> postcard::Result<Log> {
    match bytes.strip_prefix(&SCOPED) {
        None => postcard::from_bytes(bytes),
        Some(bytes) => {
            let (log, kept): (Log, CatalogSnapshot) = postcard::from_bytes(bytes)?;
            Ok(log.with_catalog(kept))
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Msg {
    kind: u8,
    first: u64,
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
    // What changes seats is carried as our entry alone; the library's form of it is made anew from that.
    let (kind, data) = match e.get_entry_type() {
        pb::EntryType::EntryNormal => (PLAIN, &e.data),
        _ => (SEATING, &e.context),
    };
    Ent {
        kind,
        term: e.term,
        index: e.index,
        data: data.to_vec(),
    }
}

/// None: no entry of a form that is known.
pub(crate) fn of_ent(e: Ent) -> Option<pb::Entry> {
    let mut out = pb::Entry {
        term: e.term,
        index: e.index,
        ..Default::default()
    };
    match e.kind {
        PLAIN => out.data = e.data.into(),
        SEATING => {
            let Ok(Said::Entry(_, _, _, entry)) = postcard::from_bytes(&e.data) else {
                return None;
            };
            out.set_entry_type(pb::EntryType::EntryConfChangeV2);
            out.data = change(&entry)?.write_to_bytes().ok()?.into();
            out.context = e.data.into();
        }
        _ => return None,
    }
    Some(out)
}

pub(crate) fn of_snap(s: Snap) -> pb::Snapshot {
    let mut out = pb::Snapshot::default();
    let meta = out.mut_metadata();
    (meta.index, meta.term) = (s.index, s.term);
    meta.set_conf_state(of_conf(s.conf));
    out.data = s.log.into();
    out
}

pub(crate) fn snap(s: &pb::Snapshot, first: u64) -> Snap {
    let meta = s.get_metadata();
    Snap {
        index: meta.index,
        term: meta.term,
        conf: conf(meta.get_conf_state()),
        first,
        log: s.data.to_vec(),
    }
}

pub(crate) fn bytes(m: &pb::Message, first: u64) -> Vec<u8> {
    let there = !m
        .get_snapshot()
        .get_metadata()
        .get_conf_state()
        .voters
        .is_empty();
    let msg = Msg {
        kind: m.get_msg_type() as u8,
        first,
        to: m.to,
        from: m.from,
        term: m.term,
        log_term: m.log_term,
        index: m.index,
        entries: m.entries.iter().map(ent).collect(),
        commit: m.commit,
        commit_term: m.commit_term,
        snapshot: there.then(|| snap(m.get_snapshot(), first)),
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
        MsgTimeoutNow,
    ];
    // Those that a process tells itself are none that another may send.
    all.into_iter().find(|k| *k as u8 == n)
}

/// A message of the seat `from` to this one, whose entries follow each other, and where the order began as here. With it,
/// where that was; 0 here: this one has not learnt it yet.
pub(crate) fn read(bytes: &[u8], from: u64, me: u64, first: u64) -> Option<(pb::Message, u64)> {
    let m: Msg = postcard::from_bytes(bytes).ok()?;
    let follow = m
        .entries
        .iter()
        .zip(1..)
        .all(|(e, n)| m.index.checked_add(n) == Some(e.index));
    let terms = m
        .entries
        .iter()
        .all(|e| e.term <= m.term && e.term >= m.log_term);
    let strange = m.to != me || m.from != from || from == me || from == 0;
    if strange || first != 0 && m.first != first || !follow || !terms || m.entries.len() > ENTRIES {
        return None;
    }
    let mut out = pb::Message {
        to: m.to,
        from: m.from,
        term: m.term,
        log_term: m.log_term,
        index: m.index,
        entries: m
            .entries
            .into_iter()
            .map(of_ent)
            .collect::<Option<Vec<_>>>()?
            .into(),
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
        if !s.conf.sound() || s.first != m.first {
            return None;
        }
        out.set_snapshot(of_snap(s));
    }
    Some((out, m.first))
}
