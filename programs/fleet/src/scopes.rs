//! `scope`: sets, removes and shows single functions.

use crate::arguments::{ChangeArguments, ScopeCommand};
use crate::error::read_file;
use crate::{CommandContext, FleetError};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Instant;
use tansy_agreement::compatibility::{escape_name, quote, Fields};
use tansy_agreement::log::Revision;
use tansy_agreement::scope::{ScopePhase, ScopeRecord, ScopeTransaction, ScopeUpdate};
use tansy_fleet_wire::pb::enter_request::Entry;
use tansy_fleet_wire::{decode_scope_record, encode_scope_transaction, pb};
use tansy_settings::agreement::{field_label, parse_functions};

/// Functions and their new fields; `None` for a function to be removed.
type DesiredFunctions = BTreeMap<String, Option<Fields>>;

/// Functions with a change in progress, and the front ends that each change waits for.
type AwaitedFrontEnds = BTreeMap<String, Vec<String>>;

/// The output row of a function.
#[derive(Serialize)]
struct ScopeRow {
    name: String,
    /// Revision at which the function came into force; 0 if it does not exist.
    revision: u64,
    #[serde(rename = "is")]
    state: &'static str,
    fields: Option<BTreeMap<String, String>>,
    /// New fields while a change is in progress; `None` also if the function is to be removed.
    next: Option<BTreeMap<String, String>>,
    /// Subscribers that have not confirmed the change.
    waits_for: Vec<String>,
}

fn field_values(fields: &Fields) -> BTreeMap<String, String> {
    fields
        .iter()
        .map(|(name, value)| (name.clone(), value.to_string()))
        .collect()
}

fn fields_text(fields: &BTreeMap<String, String>) -> String {
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
            fields: record.fields.as_ref().map(field_values),
            next: record.next().and_then(Option::as_ref).map(field_values),
            waits_for,
        }
    }

    fn to_text(&self) -> String {
        let mut line = format!("{}: {}, revision {}", self.name, self.state, self.revision);
        if let Some(fields) = &self.fields {
            line += &format!("\n    {}", fields_text(fields));
        }
        if let Some(next) = &self.next {
            line += &format!("\n    is to be {}", fields_text(next));
        }
        if !self.waits_for.is_empty() {
            line += &format!("\n    waits for {}", self.waits_for.join(", "));
        }
        line + "\n"
    }
}

/// Runs a `scope` command.
pub(crate) fn run(context: &mut CommandContext, command: ScopeCommand) -> Result<(), FleetError> {
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
            let desired = parse("the arguments", &text)?;
            change(context, desired, &arguments)
        }
        ScopeCommand::Remove {
            names,
            change: arguments,
        } => {
            let desired = names.into_iter().map(|name| (name, None)).collect();
            change(context, desired, &arguments)
        }
        ScopeCommand::Apply {
            file,
            change: arguments,
        } => {
            let desired = read_functions(&file)?;
            change(context, desired, &arguments)
        }
        ScopeCommand::Show { names } => show(context, &names),
    }
}

/// Parses functions from text in the format of settings files. `origin` names the text in errors.
fn parse(origin: &str, text: &str) -> Result<DesiredFunctions, FleetError> {
    let functions = parse_functions(origin, text).map_err(FleetError::invalid)?;
    let desired = functions
        .into_iter()
        .map(|(function, fields)| (function, Some(fields)));
    Ok(desired.collect())
}

fn read_functions(file: &Path) -> Result<DesiredFunctions, FleetError> {
    let text = read_file(file)?;
    let desired = parse(&file.display().to_string(), &text)?;
    if desired.is_empty() {
        return Err(FleetError::file(
            file,
            "no functions; the file has to contain `functions: {...}`",
        ));
    }
    Ok(desired)
}

fn show(context: &mut CommandContext, names: &[String]) -> Result<(), FleetError> {
    let leader = context.leader()?;
    let (records, awaited) = records(context, leader, names)?;
    let rows: Vec<ScopeRow> = names
        .iter()
        .zip(records)
        .map(|(name, record)| {
            let waits_for = awaited.get(name).cloned().unwrap_or_default();
            ScopeRow::of(name.clone(), &record.unwrap_or_default(), waits_for)
        })
        .collect();
    context
        .output
        .show(&rows, || rows.iter().map(ScopeRow::to_text).collect());
    Ok(())
}

/// The front ends that the change of each function waits for. A front end without a known name is shown by its id.
pub(crate) fn awaited_front_ends(blocked: &[pb::BlockedFunction]) -> AwaitedFrontEnds {
    let name = |entry: &pb::RosterEntry| match entry.name.as_str() {
        "" => format!("{:x}", entry.member.as_ref().map_or(0, |member| member.id)),
        name => name.to_string(),
    };
    blocked
        .iter()
        .map(|function| {
            let names = function.subscribers_behind.iter().map(name).collect();
            (function.name.clone(), names)
        })
        .collect()
}

/// The leader's records of functions, in the order of `names`, and the front ends that changes wait for.
fn records(
    context: &mut CommandContext,
    leader: SocketAddr,
    names: &[String],
) -> Result<(Vec<Option<ScopeRecord>>, AwaitedFrontEnds), FleetError> {
    let request = pb::FunctionsRequest {
        names: names.to_vec(),
        ..Default::default()
    };
    let reply = context.client.functions(leader, request)?;
    let records: Vec<Option<ScopeRecord>> = reply
        .functions
        .into_iter()
        .map(|function| function.record.map(decode_scope_record).transpose())
        .collect::<Result<_, _>>()
        .map_err(FleetError::unreachable)?;
    if records.len() != names.len() {
        return Err(FleetError::Unreachable(format!(
            "{leader}: the answer has {} functions instead of {}",
            records.len(),
            names.len()
        )));
    }
    Ok((records, awaited_front_ends(&reply.blocked_functions)))
}

/// Proposes a change of functions, all or none of them, and waits until it is in force.
fn change(
    context: &mut CommandContext,
    desired: DesiredFunctions,
    arguments: &ChangeArguments,
) -> Result<(), FleetError> {
    let leader = context.leader()?;
    let names: Vec<String> = desired.keys().cloned().collect();
    let (records, _) = records(context, leader, &names)?;
    let transaction = ScopeTransaction {
        updates: updates(desired, records, arguments.expect)?,
        id: arguments.wait.id_or_random(),
        reason: arguments.reason.clone(),
    };
    let entry = Entry::ScopeTransaction(encode_scope_transaction(&transaction));
    let entered = context.client.enter(leader, entry)?;
    let pending = PendingChange {
        id: transaction.id,
        revision: entered.revision,
        proposed_at: Instant::now(),
        names,
    };
    pending.wait(context, leader, arguments)
}

fn updates(
    desired: DesiredFunctions,
    records: Vec<Option<ScopeRecord>>,
    expected: Option<u64>,
) -> Result<Vec<ScopeUpdate>, FleetError> {
    let mut updates = Vec::new();
    for ((scope, fields), record) in desired.into_iter().zip(records) {
        let base = record.map_or(Revision(0), |record| record.revision);
        if let Some(expected) = expected.filter(|revision| *revision != base.0) {
            return Err(FleetError::Rejected(format!(
                "function {scope} is at revision {}, not {expected}; see `scope show` and base the change on the current revision",
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

/// A change of functions that the leader has accepted.
struct PendingChange {
    id: u64,
    /// Revision of the fleet's state at which it was entered.
    revision: u64,
    proposed_at: Instant,
    names: Vec<String>,
}

impl PendingChange {
    fn wait(
        &self,
        context: &mut CommandContext,
        leader: SocketAddr,
        arguments: &ChangeArguments,
    ) -> Result<(), FleetError> {
        let limit = arguments.wait.limit();
        if limit.is_zero() {
            self.show(context, "asked for");
            return Ok(());
        }
        let mut awaited = AwaitedFrontEnds::new();
        while self.proposed_at.elapsed() < limit {
            let request = pb::FunctionsRequest {
                id: self.id,
                ..Default::default()
            };
            if let Ok(reply) = context.client.functions(leader, request) {
                awaited = awaited_front_ends(&reply.blocked_functions);
                match reply.transaction_result {
                    Some(result) if result.joint > 0 => {}
                    Some(result) if result.reverted > 0 => {
                        return Err(FleetError::Abandoned(format!(
                            "{} of {} changes were abandoned; the leader's log has the reason",
                            result.reverted,
                            result.reverted + result.in_force
                        )))
                    }
                    Some(_) => {
                        self.show(context, "in force");
                        return Ok(());
                    }
                    None => {}
                }
            }
            context.wait_for_next_poll();
        }
        let awaited = self.awaited_text(&awaited);
        if !awaited.is_empty() {
            context.output.note(
                "restart the front ends that the change waits for, or dismiss those that are down for good",
            );
        }
        Err(FleetError::TimedOut(format!(
            "not in force after {limit:?}{awaited}; `scope show` shows the progress"
        )))
    }

    fn show(&self, context: &CommandContext, state: &str) {
        let elapsed = u64::try_from(self.proposed_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let value = serde_json::json!({"step": self.revision, "is": state, "ms": elapsed, "functions": self.names});
        context
            .output
            .show(&value, || format!("{} {state}", self.names.join(", ")));
    }

    /// The front ends that the functions of this change wait for, as text.
    fn awaited_text(&self, awaited: &AwaitedFrontEnds) -> String {
        awaited
            .iter()
            .filter(|(name, front_ends)| self.names.contains(name) && !front_ends.is_empty())
            .map(|(name, front_ends)| format!("; {name} waits for {}", front_ends.join(", ")))
            .collect()
    }
}
