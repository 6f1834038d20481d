//! The reasons for which the log rejects an entry or a transaction of scopes.

use crate::member::MAX_MEMBERS;
use crate::revision::{Revision, Version};

/// Why an entry was rejected. A rejected entry changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryRejection {
    /// The proposal is based on a version other than the latest.
    #[error("based on a version that is not the latest ({}): review that one and propose again", .latest.0)]
    StaleBase {
        /// The latest version.
        latest: Version,
    },
    /// Another change of version is in progress.
    #[error("the change to version {} is in progress: wait for its end, or abandon it first", .version.0)]
    ChangeInProgress {
        /// The version of the change in progress.
        version: Version,
    },
    /// The entry changes no field.
    #[error("no field differs from the latest version")]
    NoChange,
    /// The revision that the entry refers to is not current any more, or there is nothing to advance.
    #[error("this step has already been taken, or no change is in progress")]
    StaleRevision,
    /// The version is already in force, was abandoned, or was never in progress.
    #[error("that version is not a change in progress")]
    NotInProgress,
    /// A later process of the same name has joined.
    #[error("a later process of the same name has joined")]
    Superseded,
    /// The member joins at a revision that is not current.
    #[error("the member does not act on a current revision and has to learn one first")]
    Behind,
    /// The roster is full.
    #[error("the fleet already has {MAX_MEMBERS} front ends: dismiss those that are gone")]
    TooManyMembers,
    /// Another voter is being replaced.
    #[error("another voter is being replaced: voters are replaced one at a time")]
    ReplacementInProgress,
    /// The new voter is a voter already.
    #[error("the new voter is already a voter")]
    AlreadyVoter,
    /// The node to be replaced is not a voter.
    #[error("the node to be replaced is no voter")]
    NotVoter,
    /// No replacement of a voter is in the phase that the entry requires.
    #[error("no replacement of a voter is in the required phase")]
    NoReplacement,
    /// A rollout is trying other settings on some members.
    #[error("other settings are being rolled out: wait for the end of the rollout, or abort it")]
    CanaryInProgress,
    /// The rollout rejects the entry.
    #[error("{0}")]
    Rollout(tansy_rollout::RolloutRejection),
    /// A change of this scope is in progress.
    #[error("a change of function {scope} is in progress: try again once it is settled")]
    ScopeChangeInProgress {
        /// The scope's name.
        scope: String,
    },
    /// The update is based on a revision of the scope other than its latest.
    #[error(
        "based on a revision of function {scope} that is not its latest ({}): review that one and try again",
        .revision.0
    )]
    StaleScopeBase {
        /// The scope's name.
        scope: String,
        /// The scope's latest revision; zero if the scope does not exist.
        revision: Revision,
    },
    /// The transaction contains two updates of this scope.
    #[error("function {scope} is named twice: combine its changes into one")]
    DuplicateScope {
        /// The scope's name.
        scope: String,
    },
    /// The transaction contains an update without a scope's name.
    #[error("a change has no function name")]
    MissingName,
    /// The function is defined by the versioned settings and can't be changed as a scope, or the reverse.
    #[error(
        "function {scope} stands in both the versioned settings and the settings of single functions: remove it from one of them first"
    )]
    DefinedElsewhere {
        /// The function's name.
        scope: String,
    },
    /// A size limit is exceeded.
    #[error("too many {items}: at most {limit} are allowed")]
    TooMany {
        /// What the limit applies to.
        items: &'static str,
        /// The limit.
        limit: usize,
    },
    /// A member does not support scopes, or has not yet declared that it does.
    #[error(
        "front end {name} has not declared support for settings of single functions: update its program, or ask again in a moment"
    )]
    UnsupportedByMember {
        /// The member's name.
        name: String,
    },
}
