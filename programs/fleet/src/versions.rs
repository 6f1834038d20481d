//! Versions of the settings: proposed, reverted, compared, listed and given up.

use crate::arguments::Wait;
use crate::error::read_file;
use crate::rows::{FieldChangeRow, FrontEndStatus, VersionRow};
use crate::status::fleet_status;
use crate::{FleetError, Session};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Instant;
use tansy_agreement::compatibility::{changed_fields, Fields};
use tansy_agreement::log::VersionedSettings;
use tansy_fleet_wire::pb::enter_request::Entry;
use tansy_fleet_wire::{of_settings, pb};
use tansy_settings::agreement::{compatibility_schema, parse_version, with_defaults};

/// What is to become the next version.
struct Proposal {
    fields: Fields,
    /// The version that it was made from, if it is to be that.
    expected: Option<u64>,
    reason: String,
}

/// `propose`: proposes the settings of a file.
pub(crate) fn propose_file(
    session: &mut Session,
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
    propose(session, proposal, dry_run, wait)
}

/// `revert`: proposes the settings of an earlier version.
pub(crate) fn revert(
    session: &mut Session,
    number: u64,
    dry_run: bool,
    wait: &Wait,
) -> Result<(), FleetError> {
    let (_, remembered) = remembered(session)?;
    let earlier = find(&remembered, number)?;
    let proposal = Proposal {
        fields: earlier.fields.clone(),
        expected: None,
        reason: format!("back to version {number}: {}", earlier.reason),
    };
    propose(session, proposal, dry_run, wait)
}

/// `history`: prints the versions that the leader remembers.
pub(crate) fn history(session: &mut Session) -> Result<(), FleetError> {
    let (reply, remembered) = remembered(session)?;
    let rows: Vec<VersionRow> = remembered
        .iter()
        .map(|settings| VersionRow::of(settings, reply.in_force, reply.next))
        .collect();
    session.output.show(&rows, || {
        rows.iter().map(|row| row.plain() + "\n").collect()
    });
    Ok(())
}

/// `diff`: prints what differs between two versions.
pub(crate) fn diff(session: &mut Session, old: u64, new: u64) -> Result<(), FleetError> {
    let (_, remembered) = remembered(session)?;
    let old = find(&remembered, old)?;
    let new = find(&remembered, new)?;
    let rows = differences(&old.fields, &new.fields)?;
    session.output.show(&rows, || {
        rows.iter().map(|row| row.plain() + "\n").collect()
    });
    Ok(())
}

/// `abandon`: gives up the change in progress.
pub(crate) fn abandon(session: &mut Session) -> Result<(), FleetError> {
    let (reply, _) = remembered(session)?;
    if reply.next == 0 {
        return Err(FleetError::Rejected("no change is under way".into()));
    }
    let leader = session.leader()?;
    session.client.enter(leader, Entry::Abandon(reply.next))?;
    session
        .output
        .done(&format!("version {} is abandoned", reply.next));
    Ok(())
}

/// The leader's answer on its history, and the versions in it.
fn remembered(
    session: &mut Session,
) -> Result<(pb::HistoryReply, Vec<VersionedSettings>), FleetError> {
    let leader = session.leader()?;
    let reply = session.client.history(leader)?;
    let versions = reply
        .versions
        .iter()
        .map(|settings| of_settings(settings.clone()).map_err(FleetError::unreachable))
        .collect::<Result<_, _>>()?;
    Ok((reply, versions))
}

fn find(remembered: &[VersionedSettings], number: u64) -> Result<&VersionedSettings, FleetError> {
    let version = remembered
        .iter()
        .find(|settings| settings.version.0 == number);
    version.ok_or_else(|| {
        let first = remembered.first().map_or(0, |first| first.version.0);
        let last = remembered.last().map_or(0, |last| last.version.0);
        FleetError::Invalid(format!(
            "version {number} is not remembered: want one from {first} to {last}"
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

/// Proposes a version, shows what it changes, and waits until it is in force.
fn propose(
    session: &mut Session,
    proposal: Proposal,
    dry_run: bool,
    wait: &Wait,
) -> Result<(), FleetError> {
    let leader = session.leader()?;
    let (reply, remembered) = remembered(session)?;
    let base = find(&remembered, reply.in_force)?;
    if let Some(expected) = proposal.expected.filter(|number| *number != reply.in_force) {
        let force = reply.in_force;
        return Err(FleetError::Rejected(format!(
            "version {force} is in force, not {expected}: look at `diff {expected} {force}` and make the change from that"
        )));
    }
    let rows = differences(&base.fields, &proposal.fields)?;
    for row in &rows {
        session.output.remark(&row.plain());
    }
    if dry_run {
        if session.output.json {
            session.output.show(&rows, String::new);
        }
        return Ok(());
    }
    let settings = VersionedSettings {
        version: base.version,
        fields: proposal.fields,
        reason: proposal.reason,
        id: wait.id_or_random(),
    };
    let entry = Entry::Propose(tansy_fleet_wire::settings(&settings));
    let entered = session.client.enter(leader, entry)?;
    await_version(session, leader, entered.version, rows, wait)
}

/// Waits until a proposed version is in force.
fn await_version(
    session: &mut Session,
    leader: SocketAddr,
    version: u64,
    changes: Vec<FieldChangeRow>,
    wait: &Wait,
) -> Result<(), FleetError> {
    let output = session.output;
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
        if let Ok(reply) = session.client.status(leader) {
            let status = FrontEndStatus::of(&reply);
            if status.next.is_none() && status.version >= version {
                show("in force");
                return Ok(());
            }
            if status.next.is_none() {
                return Err(FleetError::Abandoned(format!(
                    "version {version} was abandoned; {} is in force; the leader's log says why",
                    status.version
                )));
            }
        }
        session.pause();
    }
    let awaited = match fleet_status(&mut session.client, session.at) {
        Ok(fleet) if !fleet.waits_for.is_empty() => {
            format!("; it waits for {}", fleet.waits_for.join(", "))
        }
        _ => String::new(),
    };
    Err(FleetError::TimedOut(format!(
        "version {version} is not in force after {limit:?}{awaited}: `status` tells how far it is"
    )))
}
