//! The agreed order of versions, and the steps by which one takes force.
//!
//! Entries come from wherever order is agreed on (one seat's durable log, or a majority of several seats) and are applied
//! in that order by everyone; the outcome depends on nothing else. A version goes through three steps:
//!
//! 1. **told**: every front end gets to know it and acts as before. Who loses its lease from here on knows what is
//!    contested.
//! 2. **joint**: both versions may be about; the stricter of the two holds, contested calls are refused.
//! 3. **in force**: it alone.
//!
//! [`LogEntry::Advance`] is entered only when no front end with a live lease is behind the step that it goes on from (see
//! [`crate::lease`]). The other entries need not wait: telling a version changes no rule, and giving one up leads from the
//! stricter of two back to one of them. One change goes on at a time: a proposal says the version that it starts from, and
//! is refused when that is not the latest.
//!
//! Beside the versions, functions are changed one by one ([`crate::scope`]): these entries take steps of the same count, so
//! that a lease is for both. What goes by the versions alone is judged by the last step that changed them.

use crate::compatibility::{
    changes, joint_rules, AffectedCalls, Compatibility, EffectiveRules, FieldChange, Fields, Schema,
};
use crate::lease::Member;
use crate::scope::{
    self, CatalogSnapshot, ChangeHistory, ScopeCatalog, ScopeChange, ScopeTransaction, StateDelta,
};
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use tansy_rollout::{Rollout, RolloutChange, RolloutPhase as Rolled};

/// A version of the settings; 1 is the first, 0 is none.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

/// A step of the fleet; each is one more than the one before.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl Revision {
    /// The one after it.
    pub fn next(self) -> Revision {
        Revision(self.0.saturating_add(1))
    }
}

/// Where the change of a version stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ChangePhase {
    /// Known to all, acted on by none.
    Announced,
    /// Both may be about.
    Joint,
    /// It was given up after it had been joint; the one before is acted on alone again.
    RolledBack,
}

/// One agreed entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogEntry {
    /// A new version, to follow the latest.
    Propose {
        /// The proposer's own id for it: the same proposal told twice is one.
        id: u64,
        /// The version that it was made from.
        base: Version,
        /// All of its fields.
        fields: Fields,
        /// Why, for people.
        reason: String,
    },
    /// The change goes on by a step, from this one.
    Advance {
        /// The step that all had reached.
        from: Revision,
    },
    /// The change under way is given up.
    Abandon {
        /// The version that is given up.
        version: Version,
    },
    /// A front end's process is about to act: from here on changes of strict fields wait for it. Its processes before are
    /// over, since their name's address is taken by it.
    Join {
        /// Which.
        member: Member,
        /// Its name, for people.
        name: String,
        /// The step that it acts on: none before the last one of the versions, so that whoever is on the roster was waited
        /// for ever since. What functions it holds is not known, so that changes of any wait until it has told.
        revision: Revision,
    },
    /// It is known to act no more.
    Leave {
        /// Which.
        member: Member,
    },
    /// A front end is to keep the log in the place of another: it learns the log first.
    BeginVoterReplacement {
        /// The new one.
        new: u64,
        /// Where it is reached.
        address: SocketAddr,
        /// The seat that it takes over.
        replaced: u64,
    },
    /// It knows the log: from here on what is agreed on needs most of the seats with the old one and most with the new.
    EnterJointConsensus {
        /// The new one.
        new: u64,
        /// The old one.
        replaced: u64,
    },
    /// The old one is a seat no more.
    CompleteVoterReplacement {
        /// The new one.
        new: u64,
    },
    /// It did not learn the log in time, or is not wanted any more.
    CancelVoterReplacement {
        /// The new one.
        new: u64,
    },
    /// A step of a change in stages.
    Rollout {
        /// Which.
        entry: Box<tansy_rollout::RolloutEntry>,
        /// With the beginning of one of settings: all fields of the version that it tries.
        fields: Option<Fields>,
    },
    /// Settings of functions change: they go joint. Each request is taken as a whole or not at all.
    UpdateScopes {
        /// In the order in which they were made.
        transactions: Vec<ScopeTransaction>,
    },
    /// Functions of which all have come as far.
    AdvanceScopes {
        /// These come in force, joint since these steps.
        in_force: Vec<(String, Revision)>,
        /// These may change again, in force or given up since these steps.
        settled: Vec<(String, Revision)>,
    },
    /// Changes of functions are given up.
    RevertScopes {
        /// Joint since these steps.
        scopes: Vec<(String, Revision)>,
    },
}

/// How far a seat's replacement is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ReplacementPhase {
    /// The new one learns the log; it has no vote.
    Learning,
    /// Both have a vote.
    JointConsensus,
}

/// A seat's replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterReplacement {
    /// The new one.
    pub new: u64,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The seat that it takes over.
    pub replaced: u64,
    /// How far it is.
    pub phase: ReplacementPhase,
}

/// Why an entry changed nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryRejection {
    /// The proposal was made from another version than the latest.
    StaleBase {
        /// The latest.
        latest: Version,
    },
    /// Another change is under way.
    ChangeInProgress {
        /// Its version.
        with: Version,
    },
    /// It changes no field.
    NoChange,
    /// The step was taken already, or there is none to take.
    StaleRevision,
    /// It is in force already, or was never under way.
    NotInProgress,
    /// A later process of its name has joined.
    Superseded,
    /// It joins from a step that is not the log's.
    Behind,
    /// More front ends than a fleet may have.
    TooManyMembers,
    /// Another seat is being replaced.
    ReplacementInProgress,
    /// It is a seat already.
    AlreadyVoter,
    /// It is no seat.
    NotVoter,
    /// No replacement stands at this step.
    NoReplacement,
    /// Settings are tried in stages.
    CanaryInProgress,
    /// The roll refuses it.
    Rollout(tansy_rollout::RolloutRejection),
    /// A change of this function is under way.
    ScopeChangeInProgress {
        /// Which.
        scope: String,
    },
    /// The change of this function was made from another revision than its latest.
    StaleScopeBase {
        /// Which.
        scope: String,
        /// The latest; the zeroth: there is no such function.
        revision: Revision,
    },
    /// A request names this function twice.
    DuplicateScope {
        /// Which.
        scope: String,
    },
    /// A request has a change without a function's name.
    MissingName,
    /// This function stands among the versions' settings, and is to be changed on its own, or the other way round.
    DefinedElsewhere {
        /// Which.
        scope: String,
    },
    /// More than may be.
    TooMany {
        /// Of what.
        items: &'static str,
        /// How many may be.
        limit: usize,
    },
    /// A front end does not know, or has not said that it knows, settings of single functions.
    UnsupportedByMember {
        /// Its name.
        name: String,
    },
}

impl std::fmt::Display for EntryRejection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            EntryRejection::StaleBase { latest } => {
                write!(
                    f,
                    "made from a version that is not the latest, {}: look at it and propose again",
                    latest.0
                )
            }
            EntryRejection::ChangeInProgress { with } => {
                write!(f, "the change to version {} goes on: wait, or abandon it first", with.0)
            }
            EntryRejection::NoChange => write!(f, "no field differs from the latest version"),
            EntryRejection::StaleRevision => write!(f, "that step is taken already"),
            EntryRejection::NotInProgress => write!(f, "that version is no change under way"),
            EntryRejection::Behind => {
                write!(f, "it acts on a step that is past: it has to hear of the present one first")
            }
            EntryRejection::Superseded => write!(f, "a later process of its name has joined"),
            EntryRejection::ReplacementInProgress => write!(f, "another seat is being replaced: seats are replaced one at a time"),
            EntryRejection::AlreadyVoter => write!(f, "the one that is to take over is a seat already"),
            EntryRejection::NotVoter => write!(f, "the one that is to be replaced is no seat"),
            EntryRejection::CanaryInProgress => {
                write!(f, "other settings are tried in stages: wait for the end of the roll, or abort it")
            }
            EntryRejection::Rollout(r) => write!(f, "{r}"),
            EntryRejection::ScopeChangeInProgress { scope } => {
                write!(f, "a change of function {scope} goes on: ask again once it is settled")
            }
            EntryRejection::StaleScopeBase { scope, revision } => write!(
                f,
                "made from a revision of function {scope} that is not its latest, {}: look at it and ask again",
                revision.0
            ),
            EntryRejection::DuplicateScope { scope } => write!(f, "function {scope} is named twice: put its changes into one"),
            EntryRejection::MissingName => write!(f, "a change names no function: each needs a name"),
            EntryRejection::DefinedElsewhere { scope } => write!(
                f,
                "function {scope} stands in both the versions' settings and those of single functions: remove it from one first"
            ),
            EntryRejection::TooMany { items: what, limit: most } => write!(f, "too many {what}: at most {most}"),
            EntryRejection::UnsupportedByMember { name } => write!(
                f,
                "front end {name} has not said that it knows settings of single functions: update its program, or ask again in a moment"
            ),
            EntryRejection::NoReplacement => write!(f, "no replacement of a seat is that far"),
            EntryRejection::TooManyMembers => {
                write!(f, "{MAX_MEMBERS} front ends are in the fleet already: dismiss those that are gone")
            }
        }
    }
}
impl std::error::Error for EntryRejection {}

/// What an entry did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// A version is told; its number.
    Announced(Version),
    /// This proposal was applied before, as this version.
    Duplicate(Version),
    /// A step was taken.
    Advanced(Revision),
    /// Who may act is another set, or the same.
    Roster,
    /// Who keeps the log, or is about to, is another set.
    Voters,
    /// A change in stages went on.
    Rollout,
    /// Requests for functions: those that are not among the refused went joint in this step, or did so before.
    ScopesChanged {
        /// Which step.
        revision: Revision,
        /// By their places in the entry.
        rejected: Vec<(usize, EntryRejection)>,
    },
}

/// A version with its fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedSettings {
    /// Its number.
    pub version: Version,
    /// Its fields.
    pub fields: Fields,
    /// Why it was proposed.
    pub reason: String,
    /// The proposal's id.
    pub id: u64,
}

/// What all front ends act on: what a lease is for.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetState {
    /// The fleet's step.
    pub revision: Revision,
    /// In force, or in force until the change under way ends.
    pub in_force: VersionedSettings,
    /// The change under way.
    pub next: Option<(VersionedSettings, ChangePhase)>,
    /// Settings that some front ends try, in stages, beside the version in force.
    pub canary: Option<Box<Canary>>,
    /// The last step that changed any of these; those after it moved functions alone.
    #[serde(skip)]
    pub versions_revision: Revision,
    /// The step from which on functions are agreed on one by one, beside the versions; none: they never were.
    #[serde(skip)]
    pub scopes_since: Option<Revision>,
    /// How functions moved lately.
    #[serde(skip)]
    pub history: ChangeHistory,
}

/// Settings that are tried. Whoever tries them acts on their free fields and on the stricter of both versions' joint ones, so
/// that it contradicts nobody who acts on the version in force; strict fields can't differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Canary {
    /// All of its fields.
    pub fields: Fields,
    /// The names of those who try them.
    pub members: BTreeSet<String>,
}

impl fmt::Debug for FleetState {
    /// Leaves out the fields of single functions in a fleet that never had any.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = f.debug_struct("FleetState");
        text.field("revision", &self.revision)
            .field("in_force", &self.in_force)
            .field("next", &self.next)
            .field("canary", &self.canary);
        if self.scopes_since.is_some() {
            text.field("versions_revision", &self.versions_revision)
                .field("scopes_since", &self.scopes_since)
                .field("history", &self.history);
        }
        text.finish()
    }
}

impl FleetState {
    /// The same without the moves of functions.
    pub fn without_history(&self) -> FleetState {
        let (force, next, trial) = (
            self.in_force.clone(),
            self.next.clone(),
            self.canary.clone(),
        );
        let (step, versions_at, moves) = (
            self.revision,
            self.versions_revision,
            ChangeHistory::after(self.revision),
        );
        FleetState {
            revision: step,
            in_force: force,
            next,
            canary: trial,
            versions_revision: versions_at,
            scopes_since: self.scopes_since,
            history: moves,
        }
    }

    /// The moves of functions after a step; none: they are not all remembered.
    pub fn delta_since(&self, from: Revision) -> Option<StateDelta> {
        let moves = self
            .history
            .since(from)
            .filter(|_| from <= self.revision)?
            .cloned()
            .collect();
        Some(StateDelta {
            from,
            to: self.revision,
            changes: moves,
        })
    }

    /// Takes up moves of functions. False: some between are missing, and nothing is done.
    pub fn apply_delta(&mut self, delta: &StateDelta) -> bool {
        if delta.from > self.revision {
            return false;
        }
        if delta.to > self.revision {
            let known = self.revision;
            self.scopes_since = self
                .scopes_since
                .or_else(|| delta.changes.first().map(|m| m.revision));
            self.history
                .push(delta.changes.iter().filter(|m| m.revision > known).cloned());
            self.revision = delta.to;
        }
        true
    }

    /// The same as the front end of this name acts on it: one that tries settings is in their joint step.
    pub fn for_member(&self, name: &str) -> FleetState {
        let tries = self
            .canary
            .as_ref()
            .filter(|t| self.next.is_none() && t.members.contains(name));
        let mut state = self.clone();
        state.next = state.next.or_else(|| {
            let version = self.in_force.version;
            let why = "tried in stages".to_string();
            tries.map(|t| {
                (
                    VersionedSettings {
                        version,
                        fields: t.fields.clone(),
                        reason: why,
                        id: 0,
                    },
                    ChangePhase::Joint,
                )
            })
        });
        state
    }

    /// The rules of this step.
    pub fn rules(&self, schema: &Schema) -> EffectiveRules {
        match &self.next {
            Some((next, ChangePhase::Joint)) => {
                joint_rules(schema, &self.in_force.fields, &next.fields)
            }
            _ => EffectiveRules::from_fields(&self.in_force.fields),
        }
    }

    /// The latest version, whether in force or not.
    pub fn latest(&self) -> Version {
        self.next
            .as_ref()
            .map_or(self.in_force.version, |(n, _)| n.version)
    }

    /// What the change under way touches in a way that is felt.
    pub fn conflicting_fields(&self, schema: &Schema) -> Vec<FieldChange> {
        let next = self.next.as_ref().map(|(n, _)| &n.fields);
        let all = next.map_or_else(Vec::new, |n| changes(schema, &self.in_force.fields, n));
        all.into_iter()
            .filter(|c| c.compatibility != Compatibility::Free)
            .collect()
    }
}

/// Versions that are remembered for `history` and `revert`.
pub const MAX_PAST_VERSIONS: usize = 256;
/// Names that the roster holds at most.
pub const MAX_MEMBERS: usize = 1 << 15;

/// The outcome of all entries so far.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Log {
    #[serde(deserialize_with = "of_versions")]
    state: FleetState,
    given: Version,
    past: VecDeque<VersionedSettings>,
    /// Who may act by a stay: by name, the process and the name in words.
    roster: BTreeMap<u64, (u64, String)>,
    /// Who keeps the log, and where each is reached.
    voters: BTreeMap<u64, SocketAddr>,
    voter_replacement: Option<VoterReplacement>,
    /// The last change in stages, over or not.
    rollout: Option<Rollout>,
    /// What that tries, if it is one of settings.
    tried: Option<Fields>,
    /// The program that all are to run, by its label and where it is found; none: whatever they were started with.
    program: Option<(String, String)>,
    /// Functions that are changed one by one. It is held apart ([`Log::catalog_snapshot`]), so that a log from before there were any is
    /// read as it was.
    #[serde(skip)]
    catalog: ScopeCatalog,
}

/// A state without functions: all of its steps were of versions.
fn of_versions<'de, D: Deserializer<'de>>(from: D) -> Result<FleetState, D::Error> {
    let mut state = FleetState::deserialize(from)?;
    // Nor is any move forgotten.
    (state.versions_revision, state.history) = (state.revision, ChangeHistory::default());
    Ok(state)
}

impl Log {
    /// A fleet that begins with these fields as its first version, and these seats.
    pub fn new(fields: Fields, seats: impl IntoIterator<Item = (u64, SocketAddr)>) -> Log {
        let force = VersionedSettings {
            version: Version(1),
            fields,
            reason: "the first".into(),
            id: 0,
        };
        let past = VecDeque::from([force.clone()]);
        let (step, moves) = (Revision(1), ChangeHistory::default());
        let state = FleetState {
            revision: step,
            in_force: force,
            next: None,
            canary: None,
            versions_revision: step,
            scopes_since: None,
            history: moves,
        };
        let seats = seats.into_iter().collect();
        Log {
            state,
            given: Version(1),
            past,
            roster: BTreeMap::new(),
            voters: seats,
            voter_replacement: None,
            rollout: None,
            tried: None,
            program: None,
            catalog: ScopeCatalog::default(),
        }
    }

    /// Functions that are changed one by one.
    pub fn catalog(&self) -> &ScopeCatalog {
        &self.catalog
    }

    /// What is to be held of functions beside what the log itself is held as; none: there never were any.
    pub fn catalog_snapshot(&self) -> Option<impl Serialize + '_> {
        let FleetState {
            versions_revision: versions_at,
            history: moves,
            ..
        } = &self.state;
        // In the order of the fields of `Kept`.
        self.catalog
            .since()
            .map(|_| (&self.catalog, versions_at, moves))
    }

    /// The same log with what was held of functions.
    pub fn with_catalog(mut self, kept: CatalogSnapshot) -> Log {
        self.catalog = kept.catalog;
        self.state.scopes_since = self.catalog.since();
        (self.state.versions_revision, self.state.history) = (kept.versions_at, kept.moves);
        self
    }

    /// The last change in stages, over or not.
    pub fn rollout(&self) -> Option<&Rollout> {
        self.rollout.as_ref()
    }

    /// The program that all are to run once no roll says otherwise: its label, and where it is found.
    pub fn program(&self) -> Option<(&str, &str)> {
        self.program
            .as_ref()
            .map(|(label, path)| (label.as_str(), path.as_str()))
    }

    /// Who keeps the log, and where each is reached.
    pub fn voters(&self) -> &BTreeMap<u64, SocketAddr> {
        &self.voters
    }

    /// The replacement of a seat under way.
    pub fn voter_replacement(&self) -> Option<VoterReplacement> {
        self.voter_replacement
    }

    /// What is to be acted on.
    pub fn state(&self) -> &FleetState {
        &self.state
    }

    /// Versions so far, the oldest first, given up ones among them.
    pub fn history(&self) -> impl Iterator<Item = &VersionedSettings> {
        self.past.iter()
    }

    /// Who may act by a stay, with the names in words.
    pub fn roster(&self) -> impl Iterator<Item = (Member, &str)> {
        self.roster.iter().map(|(id, (incarnation, name))| {
            (
                Member {
                    id: *id,
                    incarnation: *incarnation,
                },
                name.as_str(),
            )
        })
    }

    /// Whether this process is on the roster.
    pub fn has_member(&self, member: Member) -> bool {
        self.roster
            .get(&member.id)
            .is_some_and(|(incarnation, _)| *incarnation == member.incarnation)
    }

    /// Whether the change under way touches a strict field: it then waits for all on the roster.
    pub fn strict(&self, schema: &Schema) -> bool {
        self.state
            .conflicting_fields(schema)
            .iter()
            .any(|c| c.compatibility == Compatibility::Strict)
    }

    /// Whether the change under way has a step to take, once all have reached the one before it.
    pub fn has_open_changes(&self) -> bool {
        self.state.next.is_some()
    }

    /// What an entry would do, without doing it: refused, nothing since this proposal was applied before as a version, or
    /// something.
    pub fn validate(&self, entry: &LogEntry) -> Result<Option<Version>, EntryRejection> {
        let next = self.state.next.as_ref();
        let refused = match *entry {
            LogEntry::Propose {
                id,
                base,
                ref fields,
                ..
            } => {
                if let Some(known) = self.past.iter().find(|s| s.id == id && id != 0) {
                    return Ok(Some(known.version));
                }
                let latest = self.state.in_force.version;
                match next {
                    _ if self.elsewhere(fields).is_some() => self.elsewhere(fields),
                    _ if self.trying() => Some(EntryRejection::CanaryInProgress),
                    Some((next, _)) => {
                        Some(EntryRejection::ChangeInProgress { with: next.version })
                    }
                    None if base != latest => Some(EntryRejection::StaleBase { latest }),
                    None => {
                        (*fields == self.state.in_force.fields).then_some(EntryRejection::NoChange)
                    }
                }
            }
            LogEntry::Advance { from } => (from != self.state.versions_revision || next.is_none())
                .then_some(EntryRejection::StaleRevision),
            LogEntry::Abandon { version } => {
                let there = next.is_some_and(|(n, phase)| {
                    n.version == version && *phase != ChangePhase::RolledBack
                });
                (!there).then_some(EntryRejection::NotInProgress)
            }
            LogEntry::Join { revision: at, .. }
                if at < self.state.versions_revision || at > self.state.revision =>
            {
                Some(EntryRejection::Behind)
            }
            LogEntry::Join { member, .. } => match self.roster.get(&member.id) {
                Some((known, _)) => {
                    (*known > member.incarnation).then_some(EntryRejection::Superseded)
                }
                None => {
                    (self.roster.len() >= MAX_MEMBERS).then_some(EntryRejection::TooManyMembers)
                }
            },
            LogEntry::Leave { .. } => None,
            LogEntry::BeginVoterReplacement { .. } if self.voter_replacement.is_some() => {
                Some(EntryRejection::ReplacementInProgress)
            }
            LogEntry::BeginVoterReplacement { new, .. } if self.voters.contains_key(&new) => {
                Some(EntryRejection::AlreadyVoter)
            }
            LogEntry::BeginVoterReplacement {
                replaced: instead, ..
            } => (!self.voters.contains_key(&instead)).then_some(EntryRejection::NotVoter),
            LogEntry::EnterJointConsensus {
                new,
                replaced: instead,
            } => {
                let at = self
                    .at(new, ReplacementPhase::Learning)
                    .is_some_and(|s| s.replaced == instead);
                (!at).then_some(EntryRejection::NoReplacement)
            }
            LogEntry::CompleteVoterReplacement { new } => self
                .at(new, ReplacementPhase::JointConsensus)
                .is_none()
                .then_some(EntryRejection::NoReplacement),
            LogEntry::CancelVoterReplacement { new } => self
                .at(new, ReplacementPhase::Learning)
                .is_none()
                .then_some(EntryRejection::NoReplacement),
            LogEntry::Rollout {
                ref entry,
                ref fields,
            } => self.validate_rollout(entry, fields.as_ref()),
            // Each of its requests has an outcome of its own.
            LogEntry::UpdateScopes {
                transactions: ref requests,
            } => requests.is_empty().then_some(EntryRejection::NoChange),
            LogEntry::AdvanceScopes {
                in_force: ref force,
                ref settled,
            } => {
                let any = self.catalog.stands(force, true) || self.catalog.stands(settled, false);
                (!any).then_some(EntryRejection::StaleRevision)
            }
            LogEntry::RevertScopes { ref scopes } => {
                (!self.catalog.stands(scopes, true)).then_some(EntryRejection::StaleRevision)
            }
        };
        refused.map_or(Ok(None), Err)
    }

    /// What a request for functions would do: refused, nothing since it went joint before in that step, or something.
    pub fn validate_transaction(
        &self,
        request: &ScopeTransaction,
    ) -> Result<Option<Revision>, EntryRejection> {
        let versions = [
            Some(&self.state.in_force.fields),
            self.state.next.as_ref().map(|(n, _)| &n.fields),
        ];
        let tried = self.tried.as_ref().filter(|_| self.trying());
        let versions: Vec<&Fields> = versions.into_iter().chain([tried]).flatten().collect();
        self.catalog.validate(request, |scope| {
            versions.iter().any(|fields| scope::names(fields, scope))
        })
    }

    /// A function of the catalog that these fields of a version name.
    fn elsewhere(&self, fields: &Fields) -> Option<EntryRejection> {
        // There is none in a catalog that no change ever went into.
        self.catalog.since()?;
        let functions = fields
            .range("functions.".to_string()..)
            .take_while(|(p, _)| p.starts_with("functions."));
        let names = functions.filter_map(|(path, _)| match AffectedCalls::of_path(path) {
            AffectedCalls::Function(name) => Some(name),
            _ => None,
        });
        let mut named = names.filter(|name| self.catalog.get(name).is_some());
        named
            .next()
            .map(|scope| EntryRejection::DefinedElsewhere { scope })
    }

    /// A step that changes the versions, or who tries one.
    fn step(&mut self) {
        self.state.revision = self.state.revision.next();
        self.state.versions_revision = self.state.revision;
    }

    /// A step that moves functions, if it moves any.
    fn moved(&mut self, moves: Vec<Arc<ScopeChange>>) -> Revision {
        if !moves.is_empty() {
            self.state.revision = self.state.revision.next();
            self.state.scopes_since = self.catalog.since();
            self.state.history.push(moves);
        }
        self.state.revision
    }

    /// Whether settings are tried in stages.
    fn trying(&self) -> bool {
        self.rollout
            .as_ref()
            .is_some_and(|r| !r.over() && r.what == RolloutChange::Settings)
    }

    fn validate_rollout(
        &self,
        entry: &tansy_rollout::RolloutEntry,
        fields: Option<&Fields>,
    ) -> Option<EntryRejection> {
        use tansy_rollout::{RolloutEntry as Revision, RolloutRejection as No};
        let Revision::Begin { id, what, plan, .. } = entry else {
            let judged = self
                .rollout
                .as_ref()
                .map_or(Err(No::Over), |r| r.judge(entry));
            return judged.err().map(EntryRejection::Rollout);
        };
        match &self.rollout {
            Some(r) if r.id == *id => return Some(EntryRejection::Rollout(No::Same)),
            Some(r) if !r.over() => return Some(EntryRejection::Rollout(No::Busy)),
            _ => {}
        }
        if let Some(wrong) = plan.wrong() {
            return Some(EntryRejection::Rollout(No::Plan(wrong)));
        }
        match (&self.state.next, fields) {
            _ if *what != RolloutChange::Settings => None,
            (_, Some(f)) if self.elsewhere(f).is_some() => self.elsewhere(f),
            (Some((next, _)), _) => Some(EntryRejection::ChangeInProgress { with: next.version }),
            (None, Some(f)) if *f != self.state.in_force.fields => None,
            (None, _) => Some(EntryRejection::NoChange),
        }
    }

    /// What follows of a step of a roll: who tries settings; what is in force, or about to be, once it is done.
    fn rolled(&mut self) {
        let Some(roll) = &self.rollout else { return };
        let done = roll.phase == Rolled::Done;
        if let (RolloutChange::Program { label, path }, true) = (&roll.what, done) {
            self.program = Some((label.clone(), path.clone()));
        }
        let trial = match (
            &self.tried,
            roll.what == RolloutChange::Settings && !roll.over(),
        ) {
            (Some(fields), true) => {
                let names = roll.plan.stages.iter().flatten().map(|p| &p.name);
                let names: BTreeSet<String> = names.filter(|n| roll.new_side(n)).cloned().collect();
                (!names.is_empty()).then(|| {
                    Box::new(Canary {
                        fields: fields.clone(),
                        members: names,
                    })
                })
            }
            _ => None,
        };
        let (id, why) = (roll.id, roll.why.clone());
        if let (Some(fields), true) = (self.tried.take_if(|_| roll.over()), done) {
            self.state.canary = None;
            self.announce(id, fields, why);
        } else if self.state.canary != trial {
            self.state.canary = trial;
            self.step();
        }
    }

    /// A version is told.
    fn announce(&mut self, id: u64, fields: Fields, why: String) -> ApplyOutcome {
        self.given = Version(self.given.0 + 1);
        let next = VersionedSettings {
            version: self.given,
            fields,
            reason: why,
            id,
        };
        self.past.push_back(next.clone());
        if self.past.len() > MAX_PAST_VERSIONS {
            self.past.pop_front();
        }
        self.state.next = Some((next, ChangePhase::Announced));
        self.step();
        ApplyOutcome::Announced(self.given)
    }

    /// The replacement of a seat, if it is this one and so far.
    fn at(&self, new: u64, hand: ReplacementPhase) -> Option<VoterReplacement> {
        self.voter_replacement
            .filter(|s| (s.new, s.phase) == (new, hand))
    }

    /// Applies one entry. What it returns depends on the entries alone, so that every seat finds the same.
    pub fn apply(&mut self, entry: LogEntry) -> Result<ApplyOutcome, EntryRejection> {
        if let Some(known) = self.validate(&entry)? {
            return Ok(ApplyOutcome::Duplicate(known));
        }
        Ok(match entry {
            LogEntry::Propose {
                id,
                fields,
                reason: why,
                ..
            } => self.announce(id, fields, why),
            LogEntry::Advance { .. } => {
                match self.state.next.take() {
                    Some((next, ChangePhase::Announced)) => {
                        self.state.next = Some((next, ChangePhase::Joint))
                    }
                    Some((next, ChangePhase::Joint)) => self.state.in_force = next,
                    Some((_, ChangePhase::RolledBack)) | None => {}
                }
                self.step();
                ApplyOutcome::Advanced(self.state.revision)
            }
            LogEntry::Abandon { .. } => {
                // From told on nobody acts on it yet; from joint on all have to be back before another change may begin.
                let joint = self
                    .state
                    .next
                    .take()
                    .filter(|(_, phase)| *phase == ChangePhase::Joint);
                self.state.next = joint.map(|(next, _)| (next, ChangePhase::RolledBack));
                self.step();
                ApplyOutcome::Advanced(self.state.revision)
            }
            LogEntry::Join { member, name, .. } => {
                self.roster.insert(member.id, (member.incarnation, name));
                ApplyOutcome::Roster
            }
            LogEntry::Leave { member } => {
                if self.has_member(member) {
                    self.roster.remove(&member.id);
                }
                ApplyOutcome::Roster
            }
            LogEntry::BeginVoterReplacement {
                new,
                address,
                replaced: instead,
            } => {
                self.voter_replacement = Some(VoterReplacement {
                    new,
                    address,
                    replaced: instead,
                    phase: ReplacementPhase::Learning,
                });
                ApplyOutcome::Voters
            }
            LogEntry::EnterJointConsensus { new, .. } => {
                self.voter_replacement
                    .iter_mut()
                    .for_each(|s| s.phase = ReplacementPhase::JointConsensus);
                self.voters
                    .extend(self.voter_replacement.map(|s| (new, s.address)));
                ApplyOutcome::Voters
            }
            LogEntry::CompleteVoterReplacement { .. } => {
                if let Some(seating) = self.voter_replacement.take() {
                    self.voters.remove(&seating.replaced);
                }
                ApplyOutcome::Voters
            }
            LogEntry::CancelVoterReplacement { .. } => {
                self.voter_replacement = None;
                ApplyOutcome::Voters
            }
            LogEntry::Rollout { entry, fields } => {
                match (*entry, &mut self.rollout) {
                    (
                        tansy_rollout::RolloutEntry::Begin {
                            id,
                            what,
                            plan,
                            why,
                        },
                        roll,
                    ) => {
                        self.tried = fields.filter(|_| what == RolloutChange::Settings);
                        *roll = Some(
                            Rollout::begin(id, what, plan, why).map_err(EntryRejection::Rollout)?,
                        );
                    }
                    (entry, Some(roll)) => roll.apply(entry).map_err(EntryRejection::Rollout)?,
                    (_, None) => {}
                }
                self.rolled();
                ApplyOutcome::Rollout
            }
            LogEntry::UpdateScopes {
                transactions: requests,
            } => {
                let (mut at, mut moves, mut refused) =
                    (self.state.revision.next(), Vec::new(), Vec::new());
                for (n, request) in requests.into_iter().enumerate() {
                    match self.validate_transaction(&request) {
                        Ok(None) => self.catalog.change(at, request, &mut moves),
                        Ok(Some(_)) => {}
                        Err(why) => refused.push((n, why)),
                    }
                }
                at = self.moved(moves);
                ApplyOutcome::ScopesChanged {
                    revision: at,
                    rejected: refused,
                }
            }
            LogEntry::AdvanceScopes {
                in_force: force,
                settled,
            } => {
                let mut moves = Vec::new();
                self.catalog.settle(&settled);
                self.catalog
                    .end(self.state.revision.next(), force, false, &mut moves);
                ApplyOutcome::Advanced(self.moved(moves))
            }
            LogEntry::RevertScopes { scopes } => {
                let mut moves = Vec::new();
                self.catalog
                    .end(self.state.revision.next(), scopes, true, &mut moves);
                ApplyOutcome::Advanced(self.moved(moves))
            }
        })
    }
}
