//! What is printed: plain lines for people, one JSON value for programs.

use serde::Serialize;
use std::collections::BTreeMap;
use tansy_agreement::compatibility::{AffectedCalls, Compatibility, FieldChange, Value};
use tansy_agreement::log::VersionedSettings;
use tansy_fleet_wire::pb;

/// A front end's line.
#[derive(Debug, Clone, Serialize)]
pub struct FrontLine {
    /// Its name, or where it was looked for.
    pub name: String,
    /// Where its siblings reach it.
    pub address: String,
    /// Whether it answered; what it said, if not.
    pub error: Option<String>,
    /// It leads the fleet.
    pub seat: bool,
    /// The step that it knows.
    pub step: u64,
    /// The version in force there.
    pub version: u64,
    /// The version under way, and how far.
    pub next: Option<(u64, String)>,
    /// Milliseconds left of its lease.
    pub lease_ms: i64,
    /// Seconds left of its stay.
    pub stay_s: i64,
    /// Siblings that it sees.
    pub sees: usize,
    /// Functions that it holds one by one.
    pub holds: u64,
}

/// A fleet's status.
#[derive(Debug, Clone, Serialize)]
pub struct FleetLine {
    /// Its name.
    pub fleet: String,
    /// Where it is led from.
    pub seat: String,
    /// Its front ends, as the one asked sees them.
    pub fronts: Vec<FrontLine>,
    /// On the roster, and not seen.
    pub away: Vec<String>,
    /// Calls that the change under way touches.
    pub contested: Vec<String>,
    /// Whom the change under way waits for.
    pub waits_for: Vec<String>,
    /// It waits for leases to run out or to come as far.
    pub waits_for_leases: bool,
    /// Functions that change one by one, and who holds each and is not known to have come as far.
    pub changing: BTreeMap<String, Vec<String>>,
}

impl FrontLine {
    /// Of what it answered.
    pub fn of(s: &pb::StatusReply) -> FrontLine {
        let state = s.state.as_ref();
        let phase = |s: &pb::State| match pb::Phase::try_from(s.phase) {
            Ok(pb::Phase::Told) => "told",
            Ok(pb::Phase::Joint) => "joint",
            Ok(pb::Phase::Back) => "going back",
            _ => "",
        };
        let next = state.and_then(|s| Some((s.next.as_ref()?.version, phase(s).to_string())));
        FrontLine {
            name: s.name.clone(),
            address: s
                .process
                .as_ref()
                .map(|p| p.address.clone())
                .unwrap_or_default(),
            error: Some(s.error.clone()).filter(|e| !e.is_empty()),
            seat: s.keeps_log,
            step: state.map_or(0, |s| s.step),
            version: state
                .and_then(|s| s.force.as_ref())
                .map_or(0, |f| f.version),
            next,
            lease_ms: s.lease_left / 1000,
            stay_s: s.stay_left / 1_000_000,
            sees: s.others.len(),
            holds: s.holds,
        }
    }

    /// Of one that did not answer.
    pub fn silent(address: String, why: String) -> FrontLine {
        FrontLine {
            name: "?".into(),
            address,
            error: Some(why),
            seat: false,
            step: 0,
            version: 0,
            next: None,
            lease_ms: 0,
            stay_s: 0,
            sees: 0,
            holds: 0,
        }
    }

    fn plain(&self) -> String {
        let right = |left: i64, unit: &str| match left {
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
            if self.seat { "leads" } else { "" },
            version,
            right(self.lease_ms, "ms"),
            right(self.stay_s, "s"),
            self.sees
        );
        if self.holds > 0 {
            line += &format!(", holds {} functions", self.holds);
        }
        if let Some(e) = &self.error {
            line += &format!("\n    {e}");
        }
        line
    }
}

impl FleetLine {
    /// Lines for people.
    pub fn plain(&self) -> String {
        let mut out = format!("fleet {}, led from {}\n", self.fleet, self.seat);
        out += "name           address                      version        lease      stay\n";
        for f in &self.fronts {
            out += &f.plain();
            out.push('\n');
        }
        if !self.away.is_empty() {
            out += &format!("on the roster, not seen: {}\n", self.away.join(", "));
        }
        if !self.contested.is_empty() {
            out += &format!(
                "the change under way touches: {}\n",
                self.contested.join(", ")
            );
        }
        if self.waits_for_leases {
            out += "it waits for leases: each comes as far or runs out\n";
        }
        if !self.waits_for.is_empty() {
            let who = self.waits_for.join(", ");
            out += &format!(
                "it waits for {who}: start them again, or dismiss those that are gone for good\n"
            );
        }
        for (function, behind) in &self.changing {
            let whom = if behind.is_empty() {
                "leases".into()
            } else {
                behind.join(", ")
            };
            out += &format!("function {function} changes, and waits for {whom}\n");
        }
        out
    }
}

/// A field that differs.
#[derive(Debug, Clone, Serialize)]
pub struct ChangeLine {
    /// Where it stands.
    pub field: String,
    /// As a settings file writes it; none: left out.
    pub old: Option<String>,
    /// The same.
    pub new: Option<String>,
    /// `free`, `joint` or `strict`.
    pub kind: &'static str,
    /// The calls that it touches.
    pub calls: String,
    /// A front end takes it up only when it starts.
    pub at_start: bool,
}

impl ChangeLine {
    /// Of a change.
    pub fn of(c: &FieldChange) -> ChangeLine {
        let text = |v: &Option<Value>| v.as_ref().map(Value::to_string);
        ChangeLine {
            field: c.path.clone(),
            old: text(&c.old),
            new: text(&c.new),
            kind: match c.compatibility {
                Compatibility::Free => "free",
                Compatibility::Joint(..) => "joint",
                Compatibility::Strict => "strict",
            },
            calls: match &c.affected {
                AffectedCalls::All => "all calls".into(),
                AffectedCalls::Class(n) => format!("calls of class {n}"),
                AffectedCalls::Tenant(n) => format!("calls of tenant {n}"),
                AffectedCalls::Function(n) => format!("calls of {n}"),
            },
            at_start: tansy_settings::agree::at_start(&c.path),
        }
    }

    /// A line for people.
    pub fn plain(&self) -> String {
        let none = || "nothing".to_string();
        let (old, new) = (
            self.old.clone().unwrap_or_else(none),
            self.new.clone().unwrap_or_else(none),
        );
        let what = match self.kind {
            "strict" => format!("{} are refused for a moment", self.calls),
            "joint" => format!("the stricter holds meanwhile, for {}", self.calls),
            _ if self.at_start => "taken up when a front end starts".into(),
            _ => "harmless side by side".into(),
        };
        format!("{}: {old} -> {new}   [{}: {what}]", self.field, self.kind)
    }
}

/// A version's line.
#[derive(Debug, Clone, Serialize)]
pub struct VersionLine {
    /// Its number.
    pub version: u64,
    /// `in force`, `under way`, or nothing.
    pub is: &'static str,
    /// Why it was proposed.
    pub why: String,
    /// The proposal's id.
    pub id: u64,
    /// How many fields it sets.
    pub fields: usize,
}

impl VersionLine {
    /// Of a version, beside the one in force and the one under way.
    pub fn of(s: &VersionedSettings, force: u64, next: u64) -> VersionLine {
        let n = s.version.0;
        let is = match () {
            () if n == force => "in force",
            () if n == next => "under way",
            () => "",
        };
        VersionLine {
            version: n,
            is,
            why: s.reason.clone(),
            id: s.id,
            fields: s.fields.len(),
        }
    }

    /// A line for people.
    pub fn plain(&self) -> String {
        format!(
            "{:>6}  {:<10} {:>4} fields  {}",
            self.version, self.is, self.fields, self.why
        )
    }
}
