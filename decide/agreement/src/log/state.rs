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
    /// Members are notified of the version; none acts on it.
    Announced,
    /// Some members may act on the old version and some on the new one.
    Joint,
    /// Abandoned while joint; some members may still act on the joint phase.
    RolledBack,
}

/// A version of the settings with its fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedSettings {
    /// The version's number.
    pub version: Version,
    /// All fields of the version.
    pub fields: Fields,
    /// Why the version was proposed.
    pub reason: String,
    /// The idempotency key of the proposal.
    pub id: u64,
}

/// The state that every front end acts on, and that leases are granted for.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetState {
    /// The revision of the state.
    pub revision: Revision,
    /// The version in force; while a change is in progress, the version before it.
    pub in_force: VersionedSettings,
    /// The change in progress, and its phase.
    pub next: Option<(VersionedSettings, ChangePhase)>,
    /// Settings that a rollout tries on some front ends while the others act on the version in force.
    pub canary: Option<Box<Canary>>,
    /// The last revision that changed a version or the canary; later revisions changed only scopes.
    #[serde(skip)]
    pub versions_revision: Revision,
    /// The revision of the first change of a scope; `None` if no scope was ever changed.
    #[serde(skip)]
    pub scopes_since: Option<Revision>,
    /// The recent changes of scopes.
    #[serde(skip)]
    pub history: ChangeHistory,
}

/// Settings that some members try. These members act on the new free fields and on the stricter of both versions' joint
/// fields, so they contradict no member that acts on the version in force. Strict fields can't differ between the two.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Canary {
    /// All fields of the settings that are tried.
    pub fields: Fields,
    /// The names of the members that try them.
    pub members: BTreeSet<String>,
}

impl fmt::Debug for FleetState {
    /// Leaves out the fields that concern scopes if the fleet never had any scope.
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
    /// The state of a new fleet, with its first version in force.
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

    /// Returns a copy without the history of scopes.
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

    /// The changes of scopes after a revision; `None` if not all of them are retained.
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

    /// Applies changes of scopes. Returns false, without applying any, if there is a gap between this state and the
    /// delta.
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

    /// The state that the front end of this name acts on: for a member of the canary, the tried settings are a change
    /// in the joint phase.
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

    /// The latest version, whether in force or in progress.
    pub fn latest(&self) -> Version {
        self.next
            .as_ref()
            .map_or(self.in_force.version, |(next, _)| next.version)
    }

    /// The fields other than free ones that differ between the version in force and the next one.
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
