//! Rows of results. Their JSON format is part of the command line's interface.

use serde::Serialize;
use std::collections::BTreeMap;
use tansy_agreement::compatibility::{AffectedCalls, Compatibility, FieldChange, Value};
use tansy_agreement::log::VersionedSettings;
use tansy_fleet_wire::pb;

/// The status of a front end.
#[derive(Debug, Clone, Serialize)]
pub struct FrontEndStatus {
    /// Name of the front end, or `?` if it did not answer.
    pub name: String,
    /// Fleet address of the front end.
    pub address: String,
    /// Why it did not answer, or the error that it reports.
    pub error: Option<String>,
    /// Whether it is the leader.
    #[serde(rename = "seat")]
    pub leads: bool,
    /// Revision of the fleet's state that it knows.
    #[serde(rename = "step")]
    pub revision: u64,
    /// Settings version in force there.
    pub version: u64,
    /// Version of the change in progress, and its phase.
    pub next: Option<(u64, String)>,
    /// Remaining lease in milliseconds.
    pub lease_ms: i64,
    /// Remaining session in seconds.
    #[serde(rename = "stay_s")]
    pub session_s: i64,
    /// Number of other front ends that it sees.
    #[serde(rename = "sees")]
    pub seen_others: usize,
    /// Number of functions that it is subscribed to.
    #[serde(rename = "holds")]
    pub subscriptions: u64,
}

/// The status of a fleet.
#[derive(Debug, Clone, Serialize)]
pub struct FleetStatus {
    /// Name of the fleet.
    pub fleet: String,
    /// Address of the leader.
    #[serde(rename = "seat")]
    pub leader: String,
    /// The front ends that the one asked first sees, and itself.
    #[serde(rename = "fronts")]
    pub front_ends: Vec<FrontEndStatus>,
    /// Front ends on the roster that are not seen.
    pub away: Vec<String>,
    /// Calls that the change in progress affects, as descriptions.
    #[serde(rename = "contested")]
    pub conflicting: Vec<String>,
    /// Front ends that the change in progress waits for.
    pub waits_for: Vec<String>,
    /// Whether the change in progress waits until leases expire or are renewed at the new version.
    pub waits_for_leases: bool,
    /// Functions with a change in progress, and the subscribers that have not confirmed it.
    pub changing: BTreeMap<String, Vec<String>>,
}

impl FrontEndStatus {
    /// The status from a front end's answer.
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

    /// The status of a front end that did not answer.
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

    /// The text line of a voter.
    pub fn voter_line(&self) -> String {
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

    fn to_line(&self) -> String {
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
    /// The status as text.
    pub fn to_text(&self) -> String {
        let mut text = format!("fleet {}, led from {}\n", self.fleet, self.leader);
        text += "name           address                      version        lease      stay\n";
        for front_end in &self.front_ends {
            text += &front_end.to_line();
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
            let names = self.waits_for.join(", ");
            text += &format!(
                "it waits for {names}: start them again, or dismiss those that are gone for good\n"
            );
        }
        for (function, behind) in &self.changing {
            let awaited = if behind.is_empty() {
                "leases".into()
            } else {
                behind.join(", ")
            };
            text += &format!("function {function} changes, and waits for {awaited}\n");
        }
        text
    }
}

/// A field that differs between two settings versions.
#[derive(Debug, Clone, Serialize)]
pub struct FieldChangeRow {
    /// Path of the field.
    pub field: String,
    /// Old value in the syntax of settings files; `None` if unset.
    pub old: Option<String>,
    /// New value, likewise.
    pub new: Option<String>,
    /// Whether front ends may use different values at the same time: `free`, `joint` or `strict`.
    #[serde(rename = "kind")]
    pub compatibility: &'static str,
    /// Calls that the change affects, as a description.
    pub calls: String,
    /// Whether a front end applies the new value only when it starts.
    pub at_start: bool,
}

impl FieldChangeRow {
    /// The row of a change.
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

    /// The row as a line of text.
    pub fn to_line(&self) -> String {
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

/// A settings version.
#[derive(Debug, Clone, Serialize)]
pub struct VersionRow {
    /// Number of the version.
    pub version: u64,
    /// `in force`, `under way`, or empty.
    #[serde(rename = "is")]
    pub state: &'static str,
    /// Reason given by the operator.
    #[serde(rename = "why")]
    pub reason: String,
    /// Id of the proposal.
    pub id: u64,
    /// Number of fields that it sets.
    pub fields: usize,
}

impl VersionRow {
    /// The row of a version. `in_force`, `next`: the numbers of the versions in force and in progress.
    pub fn of(settings: &VersionedSettings, in_force: u64, next: u64) -> VersionRow {
        let version = settings.version.0;
        let state = if version == in_force {
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

    /// The row as a line of text.
    pub fn to_line(&self) -> String {
        format!(
            "{:>6}  {:<10} {:>4} fields  {}",
            self.version, self.state, self.fields, self.reason
        )
    }
}

#[cfg(test)]
mod tests;
