//! The entries of the log, and the outcomes of applying them.

use super::{EntryRejection, Revision, Version};
use crate::compatibility::Fields;
use crate::member::Member;
use crate::scope::ScopeTransaction;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One agreed entry. The stored form depends on the order of variants and fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogEntry {
    /// Proposes the version that follows the latest one.
    Propose {
        /// The proposal's idempotency key: a second proposal with the same key is a duplicate. 0 stands for no key.
        id: u64,
        /// The version that the proposal is based on.
        base: Version,
        /// All fields of the new version.
        fields: Fields,
        /// Why the version is proposed, for operators.
        reason: String,
    },
    /// Moves the change in progress to its next phase.
    Advance {
        /// The revision that every member with a live lease has reached.
        from: Revision,
    },
    /// Abandons the change in progress.
    Abandon {
        /// The version to abandon.
        version: Version,
    },
    /// Adds a front end's process that is about to serve to the roster: from now on changes of strict fields wait for
    /// it. Earlier processes of its name have ended, since this one uses their address.
    Join {
        /// The process.
        member: Member,
        /// The member's name, for operators.
        name: String,
        /// The revision that the member acts on. It is at least the last one that changed a version, so that changes
        /// have waited for every member of the roster ever since. The member's subscriptions are not known yet, so
        /// changes of any scope wait until it has declared them.
        revision: Revision,
    },
    /// Removes a process that does not serve any more from the roster.
    Leave {
        /// The process.
        member: Member,
    },
    /// Begins to replace a voter with a front end, which first learns the log.
    BeginVoterReplacement {
        /// The new voter.
        new: u64,
        /// The new voter's address.
        address: SocketAddr,
        /// The voter to be replaced.
        replaced: u64,
    },
    /// Gives the new voter, which has learnt the log, a vote: from now on agreement needs a majority of the voters
    /// including the replaced one and a majority of the voters including the new one.
    EnterJointConsensus {
        /// The new voter.
        new: u64,
        /// The voter to be replaced.
        replaced: u64,
    },
    /// Removes the replaced voter from the voters.
    CompleteVoterReplacement {
        /// The new voter.
        new: u64,
    },
    /// Cancels a replacement, because the new voter did not learn the log in time or is not wanted any more.
    CancelVoterReplacement {
        /// The new voter.
        new: u64,
    },
    /// A transition of a rollout.
    Rollout {
        /// The transition.
        entry: Box<tansy_rollout::RolloutEntry>,
        /// All fields of the version that a rollout of settings tries; only with its first entry.
        fields: Option<Fields>,
    },
    /// Makes changes of scopes joint. Each transaction is accepted or rejected as a whole.
    UpdateScopes {
        /// The transactions, in the order in which they were made.
        transactions: Vec<ScopeTransaction>,
    },
    /// Moves changes of scopes to their next phase, once all members concerned have reached the current one.
    AdvanceScopes {
        /// Scopes whose next fields come in force, with the revision in which each became joint.
        in_force: Vec<(String, Revision)>,
        /// Scopes that are settled, with the revision in which each came in force or was reverted.
        settled: Vec<(String, Revision)>,
    },
    /// Reverts joint changes of scopes.
    RevertScopes {
        /// The scopes, with the revision in which each became joint.
        scopes: Vec<(String, Revision)>,
    },
}

/// The phase of a voter's replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ReplacementPhase {
    /// The new voter learns the log and has no vote.
    Learning,
    /// Both the replaced and the new voter have a vote.
    JointConsensus,
}

/// The replacement of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterReplacement {
    /// The new voter.
    pub new: u64,
    /// The new voter's address.
    pub address: SocketAddr,
    /// The voter to be replaced.
    pub replaced: u64,
    /// The phase of the replacement.
    pub phase: ReplacementPhase,
}

/// The outcome of applying an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// A version was announced under this number.
    Announced(Version),
    /// The same proposal was applied before and has become this version.
    Duplicate(Version),
    /// The state advanced to this revision.
    Advanced(Revision),
    /// The roster was updated, possibly without a change.
    RosterUpdated,
    /// The set of voters or the replacement in progress changed.
    VotersChanged,
    /// The rollout made a transition.
    RolloutChanged,
    /// Transactions of scopes were applied: those that were not rejected are joint since this revision or an earlier
    /// one.
    ScopesChanged {
        /// The revision after the entry.
        revision: Revision,
        /// The rejected transactions, by their index in the entry.
        rejected: Vec<(usize, EntryRejection)>,
    },
}
