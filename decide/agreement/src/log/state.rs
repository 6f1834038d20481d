//! The replicated state that every front end acts on.

use super::{Revision, Version};
use crate::compatibility::{
    changed_fields, joint_rules, Compatibility, EffectiveRules, FieldChange, Fields, Schema,
};
use crate::lease::Versioned;
use crate::scope::{ChangeHistory, StateDelta};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// The phase of a change of version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ChangePhase {
    /// Known to all members, acted on by none.
    Announced,
    /// Some members may act on the old version and some on the new one.
    Joint,
    /// Given up after it had been joint; the version before it is acted on alone again.
    RolledBack,
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
    /// The idempotency key of the proposal.
    pub id: u64,
}

/// What every front end acts on, and what a lease is granted for.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetState {
    /// The revision of the state.
    pub revision: Revision,
    /// The version in force, or in force until the change in progress ends.
    pub in_force: VersionedSettings,
    /// The change in progress.
    pub next: Option<(VersionedSettings, ChangePhase)>,
    /// Settings that some front ends try, in stages, beside the version in force.
    pub canary: Option<Box<Canary>>,
    /// The last revision that changed any of these; later ones changed scopes alone.
    #[serde(skip)]
    pub versions_revision: Revision,
    /// The revision of the first change of a scope; none: there never was one.
    #[serde(skip)]
    pub scopes_since: Option<Revision>,
    /// The recent changes of scopes.
    #[serde(skip)]
    pub history: ChangeHistory,
}

/// Settings that are tried. A member that tries them acts on their free fields and on the stricter of both versions'
/// joint ones, so that it contradicts no member that acts on the version in force; strict fields can't differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Canary {
    /// All fields of the version that is tried.
    pub fields: Fields,
    /// The names of the members that try them.
    pub members: BTreeSet<String>,
}

impl fmt::Debug for FleetState {
    /// Leaves out what concerns scopes in a fleet that never had any.
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
    /// The first revision of a fleet, with its first version in force.
    pub(super) fn initial(in_force: VersionedSettings) -> FleetState {
        let revision = Revision(1);
        FleetState {
            revision,
            in_force,
            next: None,
            canary: None,
            versions_revision: revision,
            scopes_since: None,
            history: ChangeHistory::default(),
        }
    }

    /// A copy without the history of scopes.
    pub fn without_history(&self) -> FleetState {
        FleetState {
            revision: self.revision,
            in_force: self.in_force.clone(),
            next: self.next.clone(),
            canary: self.canary.clone(),
            versions_revision: self.versions_revision,
            scopes_since: self.scopes_since,
            history: ChangeHistory::after(self.revision),
        }
    }

    /// The changes of scopes after a revision; none: they are not all retained.
    pub fn delta_since(&self, from: Revision) -> Option<StateDelta> {
        let changes = self
            .history
            .since(from)
            .filter(|_| from <= self.revision)?
            .cloned()
            .collect();
        Some(StateDelta {
            from,
            to: self.revision,
            changes,
        })
    }

    /// Applies changes of scopes. False: some in between are missing, and nothing is done.
    pub fn apply_delta(&mut self, delta: &StateDelta) -> bool {
        if delta.from > self.revision {
            return false;
        }
        if delta.to > self.revision {
            let known = self.revision;
            self.scopes_since = self
                .scopes_since
                .or_else(|| delta.changes.first().map(|change| change.revision));
            let missing = delta.changes.iter().filter(|c| c.revision > known);
            self.history.push(missing.cloned());
            self.revision = delta.to;
        }
        true
    }

    /// The state as the front end of this name acts on it: a member of the canary is in the joint phase of it.
    pub fn for_member(&self, name: &str) -> FleetState {
        let mut state = self.clone();
        if state.next.is_none() {
            let canary = self.canary.as_ref().filter(|c| c.members.contains(name));
            state.next = canary.map(|canary| {
                let settings = VersionedSettings {
                    version: self.in_force.version,
                    fields: canary.fields.clone(),
                    reason: "tried in stages".to_string(),
                    id: 0,
                };
                (settings, ChangePhase::Joint)
            });
        }
        state
    }

    /// The rules that members act on in this state.
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
            .map_or(self.in_force.version, |(next, _)| next.version)
    }

    /// The fields in which the version in force and the next one are in conflict.
    pub fn conflicting_fields(&self, schema: &Schema) -> Vec<FieldChange> {
        let Some((next, _)) = &self.next else {
            return Vec::new();
        };
        changed_fields(schema, &self.in_force.fields, &next.fields)
            .into_iter()
            .filter(|change| change.compatibility != Compatibility::Free)
            .collect()
    }
}

impl Versioned for FleetState {
    type Delta = StateDelta;

    fn revision(&self) -> Revision {
        self.revision
    }

    fn snapshot_revision(&self) -> Revision {
        self.versions_revision
    }

    fn without_history(&self) -> FleetState {
        FleetState::without_history(self)
    }

    fn delta_since(&self, known: Revision) -> Option<StateDelta> {
        FleetState::delta_since(self, known)
    }

    fn apply_delta(&mut self, delta: &StateDelta) -> bool {
        FleetState::apply_delta(self, delta)
    }

    fn replace_with_snapshot(&mut self, snapshot: FleetState, delta: Option<&StateDelta>) {
        let follows =
            delta.is_some_and(|d| d.to == snapshot.revision && FleetState::apply_delta(self, d));
        let history = follows.then(|| std::mem::take(&mut self.history));
        *self = snapshot;
        if let Some(history) = history {
            self.history = history;
        }
    }
}
