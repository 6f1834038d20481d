//! Rows of the results. Their field names in JSON are part of the command line and stay.

use serde::Serialize;
use std::collections::BTreeMap;
use tansy_agreement::compatibility::{AffectedCalls, Compatibility, FieldChange, Value};
use tansy_agreement::log::VersionedSettings;
use tansy_fleet_wire::pb;

/// The status of a front end.
#[derive(Debug, Clone, Serialize)]
pub struct FrontEndStatus {
    /// Its name, or where it was looked for.
    pub name: String,
    /// Where its siblings reach it.
    pub address: String,
    /// Whether it answered; what it said, if not.
    pub error: Option<String>,
    /// Whether it leads the fleet.
    #[serde(rename = "seat")]
    pub leads: bool,
    /// The revision of the agreed log that it knows.
    #[serde(rename = "step")]
    pub revision: u64,
    /// The version in force there.
    pub version: u64,
    /// The version in progress, and its phase.
    pub next: Option<(u64, String)>,
    /// Milliseconds left of its lease.
    pub lease_ms: i64,
    /// Seconds left of its session.
    #[serde(rename = "stay_s")]
    pub session_s: i64,
    /// Other front ends that it sees.
    #[serde(rename = "sees")]
    pub seen_others: usize,
    /// Functions that it is subscribed to one by one.
    #[serde(rename = "holds")]
    pub subscriptions: u64,
}

/// The status of a fleet.
#[derive(Debug, Clone, Serialize)]
pub struct FleetStatus {
    /// Its name.
    pub fleet: String,
    /// The address of its leader.
    #[serde(rename = "seat")]
    pub leader: String,
    /// Its front ends, as the one that was asked sees them.
    #[serde(rename = "fronts")]
    pub front_ends: Vec<FrontEndStatus>,
    /// Those on the roster that are not seen.
    pub away: Vec<String>,
    /// Calls that the change in progress affects.
    #[serde(rename = "contested")]
    pub conflicting: Vec<String>,
    /// Front ends that the change in progress waits for.
    pub waits_for: Vec<String>,
    /// Whether it waits for leases to expire or to be renewed at the new version.
    pub waits_for_leases: bool,
    /// Functions with a change in progress, and the subscribers that are not known to have it.
    pub changing: BTreeMap<String, Vec<String>>,
}

impl FrontEndStatus {
    /// From its answer.
    pub fn of(status: &pb::StatusReply) -> FrontEndStatus {
        let state = status.state.as_ref();
        let phase = |state: &pb::State| match pb::Phase::try_from(state.phase) {
            Ok(pb::Phase::Notified) => "told",
            Ok(pb::Phase::Joint) => "joint",
            Ok(pb::Phase::Reverting) => "going back",
            _ => "",
        };
        let next = state.and_then(|state| {
            let next = state.next.as_ref()?;
            Some((next.version, phase(state).to_string()))
        });
        FrontEndStatus {
            name: status.name.clone(),
            address: status
                .process
                .as_ref()
                .map(|process| process.address.clone())
                .unwrap_or_default(),
            error: Some(status.error.clone()).filter(|error| !error.is_empty()),
            leads: status.is_leader,
            revision: state.map_or(0, |state| state.revision),
            version: state
                .and_then(|state| state.in_force.as_ref())
                .map_or(0, |force| force.version),
            next,
            lease_ms: status.lease_remaining / 1000,
            session_s: status.session_remaining / 1_000_000,
            seen_others: status.other_members.len(),
            subscriptions: status.subscriptions,
        }
    }

    /// Of a front end that did not answer.
    pub fn unreachable(address: String, error: String) -> FrontEndStatus {
        FrontEndStatus {
            name: "?".into(),
            address,
            error: Some(error),
            leads: false,
            revision: 0,
            version: 0,
            next: None,
            lease_ms: 0,
            session_s: 0,
            seen_others: 0,
            subscriptions: 0,
        }
    }

    /// A line on a voter, for people.
    pub fn voter(&self) -> String {
        match &self.error {
            None => format!(
                "{} at {}{}\n",
                self.name,
                self.address,
                if self.leads { ", leads" } else { "" }
            ),
            Some(error) => format!("{}: {error}\n", self.address),
        }
    }

    fn plain(&self) -> String {
        let remaining = |left: i64, unit: &str| match left {
            0 => "none".to_string(),
            n => format!("{n} {unit}"),
        };
        let version = match &self.next {
            Some((next, phase)) => format!("{} -> {next} {phase}", self.version),
            None => self.version.to_string(),
        };
        let mut line = format!(
            "{:<14} {:<22} {:<5} {:<14} {:<10} {:<10} sees {}",
            self.name,
            self.address,
            if self.leads { "leads" } else { "" },
            version,
            remaining(self.lease_ms, "ms"),
            remaining(self.session_s, "s"),
            self.seen_others
        );
        if self.subscriptions > 0 {
            line += &format!(", holds {} functions", self.subscriptions);
        }
        if let Some(error) = &self.error {
            line += &format!("\n    {error}");
        }
        line
    }
}

impl FleetStatus {
    /// Lines for people.
    pub fn plain(&self) -> String {
        let mut text = format!("fleet {}, led from {}\n", self.fleet, self.leader);
        text += "name           address                      version        lease      stay\n";
        for front_end in &self.front_ends {
            text += &front_end.plain();
            text.push('\n');
        }
        if !self.away.is_empty() {
            text += &format!("on the roster, not seen: {}\n", self.away.join(", "));
        }
        if !self.conflicting.is_empty() {
            text += &format!(
                "the change under way touches: {}\n",
                self.conflicting.join(", ")
            );
        }
        if self.waits_for_leases {
            text += "it waits for leases: each comes as far or runs out\n";
        }
        if !self.waits_for.is_empty() {
            let who = self.waits_for.join(", ");
            text += &format!(
                "it waits for {who}: start them again, or dismiss those that are gone for good\n"
            );
        }
        for (function, behind) in &self.changing {
            let whom = if behind.is_empty() {
                "leases".into()
            } else {
                behind.join(", ")
            };
            text += &format!("function {function} changes, and waits for {whom}\n");
        }
        text
    }
}

/// A field that differs between two versions.
#[derive(Debug, Clone, Serialize)]
pub struct FieldChangeRow {
    /// Its path.
    pub field: String,
    /// The old value, as a settings file writes it; `None` if it was left out.
    pub old: Option<String>,
    /// The new value.
    pub new: Option<String>,
    /// `free`, `joint` or `strict`: how the two values may stand side by side.
    #[serde(rename = "kind")]
    pub compatibility: &'static str,
    /// The calls that it affects.
    pub calls: String,
    /// Whether a front end takes it up only when it starts.
    pub at_start: bool,
}

impl FieldChangeRow {
    /// From a change.
    pub fn of(change: &FieldChange) -> FieldChangeRow {
        let text = |value: &Option<Value>| value.as_ref().map(Value::to_string);
        FieldChangeRow {
            field: change.path.clone(),
            old: text(&change.old),
            new: text(&change.new),
            compatibility: match change.compatibility {
                Compatibility::Free => "free",
                Compatibility::Joint(..) => "joint",
                Compatibility::Strict => "strict",
            },
            calls: match &change.affected {
                AffectedCalls::All => "all calls".into(),
                AffectedCalls::Class(name) => format!("calls of class {name}"),
                AffectedCalls::Tenant(name) => format!("calls of tenant {name}"),
                AffectedCalls::Function(name) => format!("calls of {name}"),
            },
            at_start: tansy_settings::agreement::applies_at_start(&change.path),
        }
    }

    /// A line for people.
    pub fn plain(&self) -> String {
        let none = || "nothing".to_string();
        let old = self.old.clone().unwrap_or_else(none);
        let new = self.new.clone().unwrap_or_else(none);
        let effect = match self.compatibility {
            "strict" => format!("{} are refused for a moment", self.calls),
            "joint" => format!("the stricter holds meanwhile, for {}", self.calls),
            _ if self.at_start => "taken up when a front end starts".into(),
            _ => "harmless side by side".into(),
        };
        format!(
            "{}: {old} -> {new}   [{}: {effect}]",
            self.field, self.compatibility
        )
    }
}

/// A version of the settings.
#[derive(Debug, Clone, Serialize)]
pub struct VersionRow {
    /// Its number.
    pub version: u64,
    /// `in force`, `under way`, or nothing.
    #[serde(rename = "is")]
    pub state: &'static str,
    /// Why it was proposed.
    #[serde(rename = "why")]
    pub reason: String,
    /// The proposal's id.
    pub id: u64,
    /// How many fields it sets.
    pub fields: usize,
}

impl VersionRow {
    /// Of a version, beside the numbers of the one in force and of the one in progress.
    pub fn of(settings: &VersionedSettings, force: u64, next: u64) -> VersionRow {
        let version = settings.version.0;
        let state = if version == force {
            "in force"
        } else if version == next {
            "under way"
        } else {
            ""
        };
        VersionRow {
            version,
            state,
            reason: settings.reason.clone(),
            id: settings.id,
            fields: settings.fields.len(),
        }
    }

    /// A line for people.
    pub fn plain(&self) -> String {
        format!(
            "{:>6}  {:<10} {:>4} fields  {}",
            self.version, self.state, self.fields, self.reason
        )
    }
}

#[cfg(test)]
mod tests;
