//! The reasons for which the log rejects an entry or a transaction of scopes.

use crate::member::MAX_MEMBERS;
use crate::revision::{Revision, Version};

/// Why an entry changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryRejection {
    /// The proposal was made from a version other than the latest.
    #[error("made from a version that is not the latest, {}: look at it and propose again", .latest.0)]
    StaleBase {
        /// The latest version.
        latest: Version,
    },
    /// Another change is in progress.
    #[error("the change to version {} goes on: wait, or abandon it first", .version.0)]
    ChangeInProgress {
        /// The version of that change.
        version: Version,
    },
    /// The entry changes no field.
    #[error("no field differs from the latest version")]
    NoChange,
    /// The revision that the entry refers to has passed, or there is nothing to advance.
    #[error("that step is taken already")]
    StaleRevision,
    /// The version is in force already, or was never in progress.
    #[error("that version is no change under way")]
    NotInProgress,
    /// A later process of the same name has joined.
    #[error("a later process of its name has joined")]
    Superseded,
    /// The member joins at a revision that is not current.
    #[error("it acts on a past revision: it has to learn the present one first")]
    Behind,
    /// The roster is full.
    #[error("{MAX_MEMBERS} front ends are in the fleet already: dismiss those that are gone")]
    TooManyMembers,
    /// Another voter is being replaced.
    #[error("another voter is being replaced: voters are replaced one at a time")]
    ReplacementInProgress,
    /// The replacement is a voter already.
    #[error("the new voter is a voter already")]
    AlreadyVoter,
    /// The node to be replaced is not a voter.
    #[error("the one to be replaced is no voter")]
    NotVoter,
    /// No replacement is in the phase that the entry needs.
    #[error("no replacement of a voter is that far")]
    NoReplacement,
    /// A canary of other settings is in progress.
    #[error("other settings are being rolled out: wait for the end of the rollout, or abort it")]
    CanaryInProgress,
    /// The rollout rejects the entry.
    #[error("{0}")]
    Rollout(tansy_rollout::RolloutRejection),
    /// A change of this scope is in progress.
    #[error("a change of function {scope} goes on: ask again once it is settled")]
    ScopeChangeInProgress {
        /// The scope's name.
        scope: String,
    },
    /// The change of this scope was made from a revision other than its latest.
    #[error(
        "made from a revision of function {scope} that is not its latest, {}: look at it and ask again",
        .revision.0
    )]
    StaleScopeBase {
        /// The scope's name.
        scope: String,
        /// Its latest revision; zero when there is no such scope.
        revision: Revision,
    },
    /// A transaction names this scope twice.
    #[error("function {scope} is named twice: put its changes into one")]
    DuplicateScope {
        /// The scope's name.
        scope: String,
    },
    /// A transaction contains an update without a scope's name.
    #[error("a change names no function: each needs a name")]
    MissingName,
    /// The function is defined in the versioned settings and may not be changed as a scope, or the other way round.
    #[error(
        "function {scope} stands in both the versions' settings and those of single functions: remove it from one first"
    )]
    DefinedElsewhere {
        /// The function's name.
        scope: String,
    },
    /// A limit is exceeded.
    #[error("too many {items}: at most {limit}")]
    TooMany {
        /// What there is too much of.
        items: &'static str,
        /// The limit.
        limit: usize,
    },
    /// A member does not support scopes, or has not yet declared that it does.
    #[error(
        "front end {name} has not said that it knows settings of single functions: update its program, or ask again in a moment"
    )]
    UnsupportedByMember {
        /// The member's name.
        name: String,
    },
}
