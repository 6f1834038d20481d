//! The voters, and the changes of Raft's configuration that follow from log entries.

use protobuf::Message as _;
use raft::eraftpb::{
    ConfChangeSingle, ConfChangeTransition, ConfChangeType, ConfChangeV2, ConfState,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use tansy_agreement::log::LogEntry;

/// Maximum size of each part of a voter set.
const MAX_VOTERS: usize = 16;

/// The replicas of the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct VoterSet {
    pub(crate) voters: Vec<u64>,
    /// In joint consensus: the voters before the replacement.
    pub(crate) outgoing: Vec<u64>,
    pub(crate) learners: Vec<u64>,
}

impl VoterSet {
    /// Converts Raft's configuration; ids are sorted.
    pub(crate) fn from_raft(state: &ConfState) -> VoterSet {
        VoterSet {
            voters: sorted(&state.voters),
            outgoing: sorted(&state.voters_outgoing),
            learners: sorted(&state.learners),
        }
    }

    /// Converts to Raft's configuration.
    pub(crate) fn into_raft(self) -> ConfState {
        ConfState {
            voters: self.voters,
            voters_outgoing: self.outgoing,
            learners: self.learners,
            ..Default::default()
        }
    }

    /// Whether a replica votes, in the current or the outgoing set.
    pub(crate) fn contains_voter(&self, id: u64) -> bool {
        self.voters.contains(&id) || self.outgoing.contains(&id)
    }

    /// Whether the set is consistent. Raft panics on one that is not.
    pub(crate) fn is_valid(&self) -> bool {
        let parts = [&self.voters, &self.outgoing, &self.learners];
        let are_sets = parts
            .iter()
            .all(|ids| id_set(ids).len() == ids.len() && ids.len() <= MAX_VOTERS);
        let all_voters = id_set(&[self.voters.clone(), self.outgoing.clone()].concat());
        let learners = id_set(&self.learners);
        are_sets
            && !self.voters.is_empty()
            && all_voters.is_disjoint(&learners)
            && !all_voters.contains(&0)
            && !learners.contains(&0)
    }
}

fn sorted(ids: &[u64]) -> Vec<u64> {
    let mut ids = ids.to_vec();
    ids.sort();
    ids
}

fn id_set(ids: &[u64]) -> BTreeSet<u64> {
    ids.iter().copied().collect()
}

/// The change of Raft's configuration that a log entry makes, if any.
pub(crate) fn conf_change(entry: &LogEntry) -> Option<ConfChangeV2> {
    use ConfChangeType::{AddLearnerNode, AddNode, RemoveNode};
    let mut change = ConfChangeV2::default();
    match *entry {
        LogEntry::BeginVoterReplacement { new, .. } => {
            change.set_changes(vec![single_change(AddLearnerNode, new)].into());
        }
        LogEntry::CancelVoterReplacement { new } => {
            change.set_changes(vec![single_change(RemoveNode, new)].into());
        }
        LogEntry::EnterJointConsensus { new, replaced } => {
            let changes = vec![
                single_change(AddNode, new),
                single_change(RemoveNode, replaced),
            ];
            change.set_changes(changes.into());
            change.set_transition(ConfChangeTransition::Explicit);
        }
        // An empty change leaves the joint configuration.
        LogEntry::CompleteVoterReplacement { .. } => {}
        _ => return None,
    }
    Some(change)
}

/// The change that a log entry makes, encoded as data of Raft's entry.
pub(crate) fn encoded_conf_change(entry: &LogEntry) -> Option<Vec<u8>> {
    conf_change(entry)?.write_to_bytes().ok()
}

fn single_change(kind: ConfChangeType, id: u64) -> ConfChangeSingle {
    let mut change = ConfChangeSingle {
        node_id: id,
        ..Default::default()
    };
    change.set_change_type(kind);
    change
}
