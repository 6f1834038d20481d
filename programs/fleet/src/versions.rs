//! Settings versions: `propose`, `revert`, `history`, `diff` and `abandon`.

use crate::arguments::Wait;
use crate::error::read_file;
use crate::rows::{FieldChangeRow, FrontEndStatus, VersionRow};
use crate::status::fleet_status;
use crate::{CommandContext, FleetError};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Instant;
use tansy_agreement::compatibility::{changed_fields, Fields};
use tansy_agreement::log::VersionedSettings;
use tansy_fleet_wire::pb::enter_request::Entry;
use tansy_fleet_wire::{decode_settings, pb};
use tansy_settings::agreement::{compatibility_schema, parse_version, with_defaults};

/// A proposal of the next settings version.
struct Proposal {
    fields: Fields,
    /// The version that has to be in force, if the operator named one.
    expected: Option<u64>,
    reason: String,
}

/// `propose`: proposes the settings of a file.
pub(crate) fn propose_file(
    context: &mut CommandContext,
    file: &Path,
    expected: Option<u64>,
    reason: String,
    dry_run: bool,
    wait: &Wait,
) -> Result<(), FleetError> {
    let text = read_file(file)?;
    let proposal = Proposal {
        fields: parse_version(&file.display().to_string(), &text).map_err(FleetError::invalid)?,
        expected,
        reason,
    };
    propose(context, proposal, dry_run, wait)
}

/// `revert`: proposes the settings of an earlier version.
pub(crate) fn revert(
    context: &mut CommandContext,
    number: u64,
    dry_run: bool,
    wait: &Wait,
) -> Result<(), FleetError> {
    let (_, versions) = read_history(context)?;
    let earlier = find(&versions, number)?;
    let proposal = Proposal {
        fields: earlier.fields.clone(),
        expected: None,
        reason: format!("back to version {number}: {}", earlier.reason),
    };
    propose(context, proposal, dry_run, wait)
}

/// `history`: prints the versions that the leader keeps.
pub(crate) fn history(context: &mut CommandContext) -> Result<(), FleetError> {
    let (reply, versions) = read_history(context)?;
    let rows: Vec<VersionRow> = versions
        .iter()
        .map(|settings| VersionRow::of(settings, reply.in_force, reply.next))
        .collect();
    context.output.show(&rows, || {
        rows.iter().map(|row| row.to_line() + "\n").collect()
    });
    Ok(())
}

/// `diff`: prints what differs between two versions.
pub(crate) fn diff(context: &mut CommandContext, old: u64, new: u64) -> Result<(), FleetError> {
    let (_, versions) = read_history(context)?;
    let old = find(&versions, old)?;
    let new = find(&versions, new)?;
    let rows = differences(&old.fields, &new.fields)?;
    context.output.show(&rows, || {
        rows.iter().map(|row| row.to_line() + "\n").collect()
    });
    Ok(())
}

/// `abandon`: abandons the change in progress.
pub(crate) fn abandon(context: &mut CommandContext) -> Result<(), FleetError> {
    let (reply, _) = read_history(context)?;
    if reply.next == 0 {
        return Err(FleetError::Rejected("no change is in progress".into()));
    }
    let leader = context.leader()?;
    context.client.enter(leader, Entry::Abandon(reply.next))?;
    context
        .output
        .done(&format!("version {} was abandoned", reply.next));
    Ok(())
}

/// The leader's history, and the versions in it.
fn read_history(
    context: &mut CommandContext,
) -> Result<(pb::HistoryReply, Vec<VersionedSettings>), FleetError> {
    let leader = context.leader()?;
    let reply = context.client.history(leader)?;
    let versions = reply
        .versions
        .iter()
        .map(|settings| decode_settings(settings.clone()).map_err(FleetError::unreachable))
        .collect::<Result<_, _>>()?;
    Ok((reply, versions))
}

fn find(versions: &[VersionedSettings], number: u64) -> Result<&VersionedSettings, FleetError> {
    let version = versions
        .iter()
        .find(|settings| settings.version.0 == number);
    version.ok_or_else(|| {
        let first = versions.first().map_or(0, |first| first.version.0);
        let last = versions.last().map_or(0, |last| last.version.0);
        FleetError::Invalid(format!(
            "version {number} is not in the history, which has versions {first} to {last}"
        ))
    })
}

fn differences(old: &Fields, new: &Fields) -> Result<Vec<FieldChangeRow>, FleetError> {
    let fill = |fields: &Fields| {
        with_defaults(fields)
            .map(|filled| filled.0)
            .map_err(FleetError::invalid)
    };
    let all = changed_fields(&compatibility_schema(), &fill(old)?, &fill(new)?);
    Ok(all.iter().map(FieldChangeRow::of).collect())
}

/// Shows what a proposal changes, proposes it, and waits until it is in force.
fn propose(
    context: &mut CommandContext,
    proposal: Proposal,
    dry_run: bool,
    wait: &Wait,
) -> Result<(), FleetError> {
    let leader = context.leader()?;
    let (reply, versions) = read_history(context)?;
    let base = find(&versions, reply.in_force)?;
    if let Some(expected) = proposal.expected.filter(|number| *number != reply.in_force) {
        let in_force = reply.in_force;
        return Err(FleetError::Rejected(format!(
            "version {in_force} is in force, not {expected}; see `diff {expected} {in_force}` and base the change on version {in_force}"
        )));
    }
    let rows = differences(&base.fields, &proposal.fields)?;
    for row in &rows {
        context.output.note(&row.to_line());
    }
    if dry_run {
        if context.output.json {
            context.output.show(&rows, String::new);
        }
        return Ok(());
    }
    let settings = VersionedSettings {
        version: base.version,
        fields: proposal.fields,
        reason: proposal.reason,
        id: wait.id_or_random(),
    };
    let entry = Entry::Propose(tansy_fleet_wire::encode_settings(&settings));
    let entered = context.client.enter(leader, entry)?;
    await_version(context, leader, entered.version, rows, wait)
}

/// Waits until a proposed version is in force.
fn await_version(
    context: &mut CommandContext,
    leader: SocketAddr,
    version: u64,
    changes: Vec<FieldChangeRow>,
    wait: &Wait,
) -> Result<(), FleetError> {
    let output = context.output;
    let limit = wait.limit();
    let began = Instant::now();
    let show = |state: &str| {
        let elapsed = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
        let value =
            serde_json::json!({"version": version, "is": state, "ms": elapsed, "changes": changes});
        output.show(&value, || format!("version {version} is {state}"));
    };
    if limit.is_zero() {
        show("proposed");
        return Ok(());
    }
    while began.elapsed() < limit {
        if let Ok(reply) = context.client.status(leader) {
            let status = FrontEndStatus::of(&reply);
            if status.next.is_none() && status.version >= version {
                show("in force");
                return Ok(());
            }
            if status.next.is_none() {
                return Err(FleetError::Abandoned(format!(
                    "version {version} was abandoned and {} is in force; the leader's log has the reason",
                    status.version
                )));
            }
        }
        context.wait_for_next_poll();
    }
    let awaited = match fleet_status(&mut context.client, context.front_end) {
        Ok(fleet) if !fleet.waits_for.is_empty() => {
            format!("; it waits for {}", fleet.waits_for.join(", "))
        }
        _ => String::new(),
    };
    Err(FleetError::TimedOut(format!(
        "version {version} is not in force after {limit:?}{awaited}; `status` shows its progress"
    )))
}
