//! The agreed order of entries, and the state that results from applying them.
//!
//! The order comes from the durable log of a single voter, or from a majority of several voters. Every replica applies
//! the entries in that order, and the outcome depends on nothing else. A version goes through three phases:
//!
//! 1. **announced**: every front end learns of the version and acts as before. A front end whose lease expires from now
//!    on knows which fields are in conflict.
//! 2. **joint**: some members may act on the old version and some on the new one. The stricter of the two values
//!    applies, and calls that a change of a strict field affects are rejected.
//! 3. **in force**: all members act on the new version alone.
//!
//! [`LogEntry::Advance`] is entered only when no front end with a live lease is behind the revision that it advances
//! from (see [`crate::lease`]). The other entries don't have to wait: announcing a version changes no rule, and
//! abandoning a version leads from the stricter of two values back to one of them. Only one change is in progress at a
//! time: a proposal names the version that it is based on, and is rejected if that version is not the latest.
//!
//! Scopes are changed one by one, separately from the versions ([`crate::scope`]). Their entries increment the same
//! revision, so that one lease covers both. Entries that concern only versions are compared with the last revision that
//! changed a version.

mod apply;
mod entry;
mod state;
mod validate;

use crate::compatibility::{Compatibility, Fields, Schema};
use crate::member::Member;
use crate::scope::{CatalogSnapshot, ChangeHistory, ScopeCatalog};
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use tansy_rollout::{Rollout, RolloutChange};

pub use crate::member::MAX_MEMBERS;
pub use crate::rejection::EntryRejection;
pub use crate::revision::{Revision, Version};
pub use entry::{ApplyOutcome, LogEntry, ReplacementPhase, VoterReplacement};
pub use state::{Canary, ChangePhase, FleetState, VersionedSettings};

/// The number of versions that are retained for `history` and `revert`.
pub const MAX_PAST_VERSIONS: usize = 256;

/// The outcome of all entries applied so far. The stored form depends on the order of the fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Log {
    #[serde(deserialize_with = "deserialize_state")]
    state: FleetState,
    /// The highest version number assigned so far, also if that version was abandoned.
    last_version: Version,
    past_versions: VecDeque<VersionedSettings>,
    /// The members that may act under a session: incarnation and name by the number of the name.
    roster: BTreeMap<u64, (u64, String)>,
    /// The voters and their addresses.
    voters: BTreeMap<u64, SocketAddr>,
    voter_replacement: Option<VoterReplacement>,
    /// The latest rollout, which may have ended.
    rollout: Option<Rollout>,
    /// The fields that the rollout tries, if it is a rollout of settings.
    canary_fields: Option<Fields>,
    /// The label and the path of the program that all front ends are to run; `None` means the program that they were
    /// started with.
    program: Option<(String, String)>,
    /// The scopes, which are stored separately ([`Log::catalog_snapshot`]) so that the stored form of a log without
    /// scopes is unchanged.
    #[serde(skip)]
    catalog: ScopeCatalog,
}

/// Reads a state without scopes, in which every revision changed a version.
fn deserialize_state<'de, D: Deserializer<'de>>(from: D) -> Result<FleetState, D::Error> {
    let mut state = FleetState::deserialize(from)?;
    state.versions_revision = state.revision;
    state.history = ChangeHistory::default();
    Ok(state)
}

impl Log {
    /// Creates the log of a new fleet with these voters, whose first version has these fields.
    pub fn new(fields: Fields, voters: impl IntoIterator<Item = (u64, SocketAddr)>) -> Log {
        let first = VersionedSettings {
            version: Version(1),
            fields,
            reason: "the first".into(),
            id: 0,
        };
        Log {
            last_version: first.version,
            past_versions: VecDeque::from([first.clone()]),
            state: FleetState::initial(first),
            roster: BTreeMap::new(),
            voters: voters.into_iter().collect(),
            voter_replacement: None,
            rollout: None,
            canary_fields: None,
            program: None,
            catalog: ScopeCatalog::default(),
        }
    }

    /// The catalog of all scopes.
    pub fn catalog(&self) -> &ScopeCatalog {
        &self.catalog
    }

    /// The scopes in the stored form of [`CatalogSnapshot`], to be stored beside the log itself. `None` if no scope was
    /// ever changed.
    pub fn catalog_snapshot(&self) -> Option<impl Serialize + '_> {
        let state = &self.state;
        // The tuple has the order of the fields of `CatalogSnapshot`.
        self.catalog
            .scopes_since()
            .map(|_| (&self.catalog, &state.versions_revision, &state.history))
    }

    /// Returns the log with the stored scopes.
    pub fn with_catalog(mut self, snapshot: CatalogSnapshot) -> Log {
        self.catalog = snapshot.catalog;
        self.state.scopes_since = self.catalog.scopes_since();
        self.state.versions_revision = snapshot.versions_revision;
        self.state.history = snapshot.history;
        self
    }

    /// The latest rollout, which may have ended.
    pub fn rollout(&self) -> Option<&Rollout> {
        self.rollout.as_ref()
    }

    /// The label and the path of the program that all front ends are to run unless a rollout says otherwise.
    pub fn program(&self) -> Option<(&str, &str)> {
        self.program
            .as_ref()
            .map(|(label, path)| (label.as_str(), path.as_str()))
    }

    /// The voters and their addresses.
    pub fn voters(&self) -> &BTreeMap<u64, SocketAddr> {
        &self.voters
    }

    /// The replacement of a voter in progress.
    pub fn voter_replacement(&self) -> Option<VoterReplacement> {
        self.voter_replacement
    }

    /// The state that front ends act on.
    pub fn state(&self) -> &FleetState {
        &self.state
    }

    /// The retained versions, oldest first, including abandoned ones.
    pub fn history(&self) -> impl Iterator<Item = &VersionedSettings> {
        self.past_versions.iter()
    }

    /// The members that may act under a session, with their names.
    pub fn roster(&self) -> impl Iterator<Item = (Member, &str)> {
        self.roster.iter().map(|(id, (incarnation, name))| {
            let member = Member {
                id: *id,
                incarnation: *incarnation,
            };
            (member, name.as_str())
        })
    }

    /// Whether this process is on the roster.
    pub fn has_member(&self, member: Member) -> bool {
        self.roster
            .get(&member.id)
            .is_some_and(|(incarnation, _)| *incarnation == member.incarnation)
    }

    /// Whether the change in progress affects a strict field; such a change waits for every member of the roster.
    pub fn changes_strict_field(&self, schema: &Schema) -> bool {
        self.state
            .conflicting_fields(schema)
            .iter()
            .any(|change| change.compatibility == Compatibility::Strict)
    }

    /// Whether a change of version is in progress. It advances once every member has reached its current phase.
    pub fn has_version_change(&self) -> bool {
        self.state.next.is_some()
    }

    /// Whether a rollout of settings is in progress.
    fn canary_in_progress(&self) -> bool {
        self.rollout.as_ref().is_some_and(|rollout| {
            !rollout.has_ended() && rollout.change == RolloutChange::Settings
        })
    }

    /// The replacement in progress, if its new voter is `new` and it is in this phase.
    fn replacement_in_phase(&self, new: u64, phase: ReplacementPhase) -> Option<VoterReplacement> {
        self.voter_replacement
            .filter(|replacement| (replacement.new, replacement.phase) == (new, phase))
    }
}
