//! `scope`: functions that are agreed on one by one: set, removed, shown.

use crate::arguments::{ChangeArguments, ScopeCommand};
use crate::error::read_file;
use crate::{FleetError, Session};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Instant;
use tansy_agreement::compatibility::{escape_name, quote, Fields};
use tansy_agreement::log::Revision;
use tansy_agreement::scope::{ScopePhase, ScopeRecord, ScopeTransaction, ScopeUpdate};
use tansy_fleet_wire::pb::enter_request::Entry;
use tansy_fleet_wire::{of_scoped, pb, scope_request};
use tansy_settings::agreement::{field_label, parse_functions};

/// Functions and what they are to be; `None`: removed.
type Wanted = BTreeMap<String, Option<Fields>>;

/// Functions with a change in progress, and the front ends that each waits for.
type Waiting = BTreeMap<String, Vec<String>>;

/// A function as it is shown.
#[derive(Serialize)]
struct ScopeRow {
    name: String,
    /// The revision at which it came into force; 0: there is no such function.
    revision: u64,
    #[serde(rename = "is")]
    state: &'static str,
    fields: Option<BTreeMap<String, String>>,
    /// What it is to be while it changes; `None` also if it is to be removed.
    next: Option<BTreeMap<String, String>>,
    /// Subscribers that are not known to have the change.
    waits_for: Vec<String>,
}

fn as_text(fields: &Fields) -> BTreeMap<String, String> {
    fields
        .iter()
        .map(|(name, value)| (name.clone(), value.to_string()))
        .collect()
}

fn join(fields: &BTreeMap<String, String>) -> String {
    let all: Vec<String> = fields
        .iter()
        .map(|(name, value)| format!("{name}: {value}"))
        .collect();
    all.join(", ")
}

impl ScopeRow {
    fn of(name: String, record: &ScopeRecord, waits_for: Vec<String>) -> ScopeRow {
        let state = match record.phase {
            ScopePhase::Joint { .. } => "changing",
            _ if record.fields.is_none() => "not there",
            ScopePhase::Settled => "in force",
            ScopePhase::Settling { .. } => "in force, settling",
            ScopePhase::Reverting { .. } => "in force, a change of it was given up",
        };
        ScopeRow {
            name,
            revision: record.revision.0,
            state,
            fields: record.fields.as_ref().map(as_text),
            next: record.next().and_then(Option::as_ref).map(as_text),
            waits_for,
        }
    }

    fn plain(&self) -> String {
        let mut line = format!("{}: {}, revision {}", self.name, self.state, self.revision);
        if let Some(fields) = &self.fields {
            line += &format!("\n    {}", join(fields));
        }
        if let Some(next) = &self.next {
            line += &format!("\n    is to be {}", join(next));
        }
        if !self.waits_for.is_empty() {
            line += &format!("\n    waits for {}", self.waits_for.join(", "));
        }
        line + "\n"
    }
}

/// Runs a command.
pub(crate) fn run(session: &mut Session, command: ScopeCommand) -> Result<(), FleetError> {
    match command {
        ScopeCommand::Set {
            name,
            class,
            memory,
            lanes,
            load_time,
            versions,
            change: arguments,
        } => {
            let mut text = format!("class: {}, memory: {memory}", quote(&class));
            if let Some(lanes) = lanes {
                text += &format!(", lanes: {lanes}");
            }
            if let Some(load_time) = load_time {
                text += &format!(", load_time: {load_time}");
            }
            if !versions.is_empty() {
                let all: Vec<String> = versions.iter().map(|version| quote(version)).collect();
                text += &format!(", versions: [{}]", all.join(", "));
            }
            let text = format!(
                "functions: {}: {{{text}}}\n",
                field_label(&escape_name(&name))
            );
            let wanted = parse("the arguments", &text)?;
            change(session, wanted, &arguments)
        }
        ScopeCommand::Remove {
            names,
            change: arguments,
        } => {
            let wanted = names.into_iter().map(|name| (name, None)).collect();
            change(session, wanted, &arguments)
        }
        ScopeCommand::Apply {
            file,
            change: arguments,
        } => {
            let wanted = read_functions(&file)?;
            change(session, wanted, &arguments)
        }
        ScopeCommand::Show { names } => show(session, &names),
    }
}

/// The functions of a settings text; `name` is that of its origin.
fn parse(name: &str, text: &str) -> Result<Wanted, FleetError> {
    let functions = parse_functions(name, text).map_err(FleetError::invalid)?;
    let wanted = functions
        .into_iter()
        .map(|(function, fields)| (function, Some(fields)));
    Ok(wanted.collect())
}

fn read_functions(file: &Path) -> Result<Wanted, FleetError> {
    let text = read_file(file)?;
    let wanted = parse(&file.display().to_string(), &text)?;
    if wanted.is_empty() {
        return Err(FleetError::file(
            file,
            "no function is given: want functions: {...}",
        ));
    }
    Ok(wanted)
}

fn show(session: &mut Session, names: &[String]) -> Result<(), FleetError> {
    let leader = session.leader()?;
    let (records, waiting) = records(session, leader, names)?;
    let rows: Vec<ScopeRow> = names
        .iter()
        .zip(records)
        .map(|(name, record)| {
            let waits_for = waiting.get(name).cloned().unwrap_or_default();
            ScopeRow::of(name.clone(), &record.unwrap_or_default(), waits_for)
        })
        .collect();
    session
        .output
        .show(&rows, || rows.iter().map(ScopeRow::plain).collect());
    Ok(())
}

/// The front ends that each changing function waits for. One whose name is not known is shown by its number.
pub(crate) fn waiting(all: &[pb::BlockedFunction]) -> Waiting {
    let name = |entry: &pb::RosterEntry| match entry.name.as_str() {
        "" => format!("{:x}", entry.member.as_ref().map_or(0, |member| member.id)),
        name => name.to_string(),
    };
    all.iter()
        .map(|function| {
            let names = function.subscribers_behind.iter().map(name).collect();
            (function.name.clone(), names)
        })
        .collect()
}

/// What the leader knows of functions, in their order, and what changes wait for.
fn records(
    session: &mut Session,
    leader: SocketAddr,
    names: &[String],
) -> Result<(Vec<Option<ScopeRecord>>, Waiting), FleetError> {
    let request = pb::FunctionsRequest {
        names: names.to_vec(),
        ..Default::default()
    };
    let reply = session.client.functions(leader, request)?;
    let records: Vec<Option<ScopeRecord>> = reply
        .functions
        .into_iter()
        .map(|function| function.record.map(of_scoped).transpose())
        .collect::<Result<_, _>>()
        .map_err(FleetError::unreachable)?;
    if records.len() != names.len() {
        return Err(FleetError::Unreachable(format!(
            "{leader}: tells of {} functions, not {}",
            records.len(),
            names.len()
        )));
    }
    Ok((records, waiting(&reply.blocked_functions)))
}

/// Asks for a change of functions, all or none, and waits until it is in force.
fn change(
    session: &mut Session,
    wanted: Wanted,
    arguments: &ChangeArguments,
) -> Result<(), FleetError> {
    let leader = session.leader()?;
    let names: Vec<String> = wanted.keys().cloned().collect();
    let (records, _) = records(session, leader, &names)?;
    let transaction = ScopeTransaction {
        updates: updates(wanted, records, arguments.expect)?,
        id: arguments.wait.id_or_random(),
        reason: arguments.why.clone(),
    };
    let entry = Entry::ScopeTransaction(scope_request(&transaction));
    let entered = session.client.enter(leader, entry)?;
    let pending = PendingChange {
        id: transaction.id,
        step: entered.revision,
        began: Instant::now(),
        names,
    };
    pending.wait(session, leader, arguments)
}

fn updates(
    wanted: Wanted,
    records: Vec<Option<ScopeRecord>>,
    expected: Option<u64>,
) -> Result<Vec<ScopeUpdate>, FleetError> {
    let mut updates = Vec::new();
    for ((scope, fields), record) in wanted.into_iter().zip(records) {
        let base = record.map_or(Revision(0), |record| record.revision);
        if let Some(expected) = expected.filter(|revision| *revision != base.0) {
            return Err(FleetError::Rejected(format!(
                "function {scope} is at revision {}, not {expected}: look at `scope show` and make the change from that",
                base.0
            )));
        }
        updates.push(ScopeUpdate {
            scope,
            base,
            fields,
        });
    }
    Ok(updates)
}

/// A change of functions that the leader has taken.
struct PendingChange {
    id: u64,
    /// Its revision in the agreed log.
    step: u64,
    began: Instant,
    names: Vec<String>,
}

impl PendingChange {
    fn wait(
        &self,
        session: &mut Session,
        leader: SocketAddr,
        arguments: &ChangeArguments,
    ) -> Result<(), FleetError> {
        let limit = arguments.wait.limit();
        if limit.is_zero() {
            self.show(session, "asked for");
            return Ok(());
        }
        let mut waiting_for = Waiting::new();
        while self.began.elapsed() < limit {
            let request = pb::FunctionsRequest {
                id: self.id,
                ..Default::default()
            };
            if let Ok(reply) = session.client.functions(leader, request) {
                waiting_for = waiting(&reply.blocked_functions);
                match reply.transaction_result {
                    Some(result) if result.joint > 0 => {}
                    Some(result) if result.reverted > 0 => {
                        return Err(FleetError::Abandoned(format!(
                            "{} of {} changes were abandoned; the leader's log says why",
                            result.reverted,
                            result.reverted + result.in_force
                        )))
                    }
                    Some(_) => {
                        self.show(session, "in force");
                        return Ok(());
                    }
                    None => {}
                }
            }
            session.pause();
        }
        let behind = self.behind(&waiting_for);
        if !behind.is_empty() {
            session.output.remark(
                "start those that are waited for again, or dismiss those that are gone for good",
            );
        }
        Err(FleetError::TimedOut(format!(
            "not in force after {limit:?}{behind}: `scope show` tells how far it is"
        )))
    }

    fn show(&self, session: &Session, state: &str) {
        let elapsed = u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX);
        let value = serde_json::json!({"step": self.step, "is": state, "ms": elapsed, "functions": self.names});
        session
            .output
            .show(&value, || format!("{} {state}", self.names.join(", ")));
    }

    /// In words, whom the functions of this change wait for.
    fn behind(&self, waiting: &Waiting) -> String {
        waiting
            .iter()
            .filter(|(name, behind)| self.names.contains(name) && !behind.is_empty())
            .map(|(name, behind)| format!("; {name} waits for {}", behind.join(", ")))
            .collect()
    }
}
