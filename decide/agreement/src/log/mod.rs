//! The agreed order of entries and the state that results from applying them.
//!
//! Entries come from wherever order is agreed on (the durable log of one voter, or a majority of several voters) and
//! are applied in that order by every replica; the outcome depends on nothing else. A version goes through three phases:
//!
//! 1. **announced**: every front end is notified of it and acts as before. A front end whose lease expires from here on
//!    knows which fields are in conflict.
//! 2. **joint**: some may act on the old version and some on the new one; the stricter of the two holds, calls that a
//!    conflict affects are refused.
//! 3. **in force**: the new version alone.
//!
//! [`LogEntry::Advance`] is entered only when no front end with a live lease is behind the revision that it advances
//! from (see [`crate::lease`]). The other entries need not wait: announcing a version changes no rule, and abandoning
//! one leads from the stricter of two back to one of them. One change is in progress at a time: a proposal names the
//! version that it was made from, and is rejected when that is not the latest.
//!
//! Beside the versions, scopes are changed one by one ([`crate::scope`]): their entries increment the same revision, so
//! that one lease covers both. What concerns the versions alone is compared with the last revision that changed them.

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

/// The outcome of all entries so far. The stored form depends on the order of the fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Log {
    #[serde(deserialize_with = "deserialize_state")]
    state: FleetState,
    /// The last version that was numbered, abandoned or not.
    last_version: Version,
    past_versions: VecDeque<VersionedSettings>,
    /// The members that may act under a session: by the number of their name, the incarnation and the name.
    roster: BTreeMap<u64, (u64, String)>,
    /// The voters that keep the log, and the address of each.
    voters: BTreeMap<u64, SocketAddr>,
    voter_replacement: Option<VoterReplacement>,
    /// The last rollout, over or not.
    rollout: Option<Rollout>,
    /// The fields that the rollout tries, if it is one of settings.
    canary_fields: Option<Fields>,
    /// The program that all are to run, by its label and its path; none: the one that they were started with.
    program: Option<(String, String)>,
    /// It is stored apart ([`Log::catalog_snapshot`]), so that a log from before there were scopes is read as it was.
    #[serde(skip)]
    catalog: ScopeCatalog,
}

/// Reads a state without scopes, all of whose revisions changed versions.
fn deserialize_state<'de, D: Deserializer<'de>>(from: D) -> Result<FleetState, D::Error> {
    let mut state = FleetState::deserialize(from)?;
    state.versions_revision = state.revision;
    state.history = ChangeHistory::default();
    Ok(state)
}

impl Log {
    /// A fleet that begins with these fields as its first version, and these voters.
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

    /// The scopes.
    pub fn catalog(&self) -> &ScopeCatalog {
        &self.catalog
    }

    /// What is to be stored of scopes beside the log itself, in the form of [`CatalogSnapshot`]; none: there never were
    /// any.
    pub fn catalog_snapshot(&self) -> Option<impl Serialize + '_> {
        let state = &self.state;
        // In the order of the fields of `CatalogSnapshot`.
        self.catalog
            .scopes_since()
            .map(|_| (&self.catalog, &state.versions_revision, &state.history))
    }

    /// The same log with what was stored of scopes.
    pub fn with_catalog(mut self, snapshot: CatalogSnapshot) -> Log {
        self.catalog = snapshot.catalog;
        self.state.scopes_since = self.catalog.scopes_since();
        self.state.versions_revision = snapshot.versions_revision;
        self.state.history = snapshot.history;
        self
    }

    /// The last rollout, over or not.
    pub fn rollout(&self) -> Option<&Rollout> {
        self.rollout.as_ref()
    }

    /// The program that all are to run unless a rollout says otherwise: its label and its path.
    pub fn program(&self) -> Option<(&str, &str)> {
        self.program
            .as_ref()
            .map(|(label, path)| (label.as_str(), path.as_str()))
    }

    /// The voters that keep the log, and the address of each.
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

    /// The retained versions, the oldest first, abandoned ones among them.
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

    /// Whether the change in progress affects a strict field: it then waits for every member of the roster.
    pub fn changes_strict_field(&self, schema: &Schema) -> bool {
        self.state
            .conflicting_fields(schema)
            .iter()
            .any(|change| change.compatibility == Compatibility::Strict)
    }

    /// Whether a change of version is in progress, which advances once every member has reached its present phase.
    pub fn has_version_change(&self) -> bool {
        self.state.next.is_some()
    }

    /// Whether a rollout of settings is in progress.
    fn canary_in_progress(&self) -> bool {
        self.rollout.as_ref().is_some_and(|rollout| {
            !rollout.has_ended() && rollout.change == RolloutChange::Settings
        })
    }

    /// The replacement of a voter, if it is by this one and in this phase.
    fn replacement_in_phase(&self, new: u64, phase: ReplacementPhase) -> Option<VoterReplacement> {
        self.voter_replacement
            .filter(|replacement| (replacement.new, replacement.phase) == (new, phase))
    }
}
