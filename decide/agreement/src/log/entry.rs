//! The entries of the log and what applying one yields.

use super::{EntryRejection, Revision, Version};
use crate::compatibility::Fields;
use crate::member::Member;
use crate::scope::ScopeTransaction;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One agreed entry. The stored form depends on the order of variants and fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogEntry {
    /// A new version, to follow the latest.
    Propose {
        /// The proposer's idempotency key: two proposals of one key count once; 0 is no key.
        id: u64,
        /// The version that the proposal was made from.
        base: Version,
        /// All fields of the new version.
        fields: Fields,
        /// Why it is proposed, for operators.
        reason: String,
    },
    /// The change in progress enters its next phase.
    Advance {
        /// The revision that every member with a live lease had reached.
        from: Revision,
    },
    /// The change in progress is given up.
    Abandon {
        /// The version that is given up.
        version: Version,
    },
    /// A front end's process is about to serve: from here on changes of strict fields wait for it. Earlier processes of
    /// its name have ended, since this one has taken over their address.
    Join {
        /// The process.
        member: Member,
        /// Its name, for operators.
        name: String,
        /// The revision that it acts on. It is never older than the last one that changed the versions, so that every
        /// member of the roster has been waited for ever since. The scopes that it subscribes to are not known yet, so
        /// that changes of any scope wait until it has declared them.
        revision: Revision,
    },
    /// The process is known not to serve any more.
    Leave {
        /// The process.
        member: Member,
    },
    /// A front end is to keep the log in the place of a voter; it learns the log first.
    BeginVoterReplacement {
        /// The new voter.
        new: u64,
        /// Its address.
        address: SocketAddr,
        /// The voter that it replaces.
        replaced: u64,
    },
    /// The new voter has the log: from here on an agreement needs a majority of the voters with the replaced one and a
    /// majority of those with the new one.
    EnterJointConsensus {
        /// The new voter.
        new: u64,
        /// The voter that it replaces.
        replaced: u64,
    },
    /// The replaced voter is a voter no more.
    CompleteVoterReplacement {
        /// The new voter.
        new: u64,
    },
    /// The new voter did not learn the log in time, or is not wanted any more.
    CancelVoterReplacement {
        /// The new voter.
        new: u64,
    },
    /// A transition of a rollout.
    Rollout {
        /// The transition.
        entry: Box<tansy_rollout::RolloutEntry>,
        /// With the first entry of a rollout of settings: all fields of the version that it tries.
        fields: Option<Fields>,
    },
    /// Updates of scopes, which become joint. Each transaction is accepted or rejected as a whole.
    UpdateScopes {
        /// The transactions, in the order in which they were made.
        transactions: Vec<ScopeTransaction>,
    },
    /// Scopes whose phase every member concerned has reached.
    AdvanceScopes {
        /// Scopes whose next fields come in force, with the revision in which each became joint.
        in_force: Vec<(String, Revision)>,
        /// Scopes that are settled, with the revision in which each came in force or was reverted.
        settled: Vec<(String, Revision)>,
    },
    /// Changes of scopes are given up.
    RevertScopes {
        /// The scopes, with the revision in which each became joint.
        scopes: Vec<(String, Revision)>,
    },
}

/// How far the replacement of a voter has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ReplacementPhase {
    /// The new voter learns the log and has no vote.
    Learning,
    /// Both have a vote.
    JointConsensus,
}

/// The replacement of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterReplacement {
    /// The new voter.
    pub new: u64,
    /// Its address.
    pub address: SocketAddr,
    /// The voter that it replaces.
    pub replaced: u64,
    /// How far the replacement has come.
    pub phase: ReplacementPhase,
}

/// What an entry did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// A version was announced under this number.
    Announced(Version),
    /// This proposal was applied before, as this version.
    Duplicate(Version),
    /// The state advanced to this revision.
    Advanced(Revision),
    /// The roster was written, whether it changed or not.
    RosterUpdated,
    /// The set of voters, or its replacement in progress, changed.
    VotersChanged,
    /// The rollout made a transition.
    RolloutChanged,
    /// Transactions of scopes: those that are not rejected became joint in this revision, or did so before.
    ScopesChanged {
        /// The revision.
        revision: Revision,
        /// The rejected transactions, by their index in the entry.
        rejected: Vec<(usize, EntryRejection)>,
    },
}
