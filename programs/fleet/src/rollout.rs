//! `rollout`: changes in stages, begun, watched, paused, aborted and reported on.

mod plan;
mod text;
mod watch;

pub use plan::stages;
pub use text::plain;

use crate::arguments::{BeginArguments, RolloutCommand};
use crate::error::read_file;
use crate::processes::program_label;
use crate::{FleetError, Session};
use std::path::Path;
use std::time::Duration;
use tansy_agreement::log::{Version, VersionedSettings};
use tansy_fleet_wire::pb::enter_request::Entry;
use tansy_fleet_wire::{of_roll, roll_entry};
use tansy_net_fleet::client::RequestError;
use tansy_rollout::{Rollout, RolloutChange, RolloutEntry};
use tansy_settings::agreement::parse_version;

/// Time for an answer of a front end.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a command.
pub(crate) fn run(session: &mut Session, command: RolloutCommand) -> Result<(), FleetError> {
    match command {
        RolloutCommand::Begin(arguments) => begin(session, arguments),
        RolloutCommand::Status { watch: false } => {
            let rollout = last(session)?;
            session.output.show(&rollout, || plain(&rollout));
            Ok(())
        }
        RolloutCommand::Status { watch: true } => watch::watch(session),
        RolloutCommand::Pause { why } => enter(
            session,
            |id| RolloutEntry::Pause { id, reason: why },
            "is paused",
        ),
        RolloutCommand::Resume => enter(session, |id| RolloutEntry::Resume { id }, "continues"),
        RolloutCommand::Abort { why } => enter(
            session,
            |id| RolloutEntry::Abort { id, reason: why },
            "is being rolled back",
        ),
        RolloutCommand::Report { out } => report(session, &out),
    }
}

/// The change of a rollout, and the settings that go with it.
type Change = (RolloutChange, Option<VersionedSettings>);

fn begin(session: &mut Session, arguments: BeginArguments) -> Result<(), FleetError> {
    let mut plan = plan::read(arguments.plan.as_deref())?;
    plan.stages = stages(plan::targets(session)?, &arguments.stages)?;
    if let Some(fault) = plan.validation_error() {
        return Err(FleetError::Invalid(format!("the plan: {fault}")));
    }
    let (what, settings) = change(&arguments)?;
    if arguments.dry_run {
        session.output.show(&plan, || text::plain_plan(&plan));
        return Ok(());
    }
    let id = arguments.id.unwrap_or_else(|| fastrand::u64(1..1 << 53));
    let leader = session.leader()?;
    let entry = RolloutEntry::Begin {
        id,
        change: what,
        plan,
        reason: arguments.why,
    };
    let entry = Entry::Rollout(roll_entry(&entry, settings.as_ref()));
    session.client.enter(leader, entry)?;
    session.output.done(&format!(
        "rollout {id} has begun; `tansy-fleet rollout status --watch` shows it"
    ));
    Ok(())
}

fn change(arguments: &BeginArguments) -> Result<Change, FleetError> {
    match (&arguments.program, &arguments.settings) {
        (Some(path), _) => program_change(path),
        (None, Some(path)) => settings_change(path, &arguments.why),
        (None, None) => Err(FleetError::Invalid("want --program or --settings".into())),
    }
}

fn program_change(path: &Path) -> Result<Change, FleetError> {
    let absolute = path
        .canonicalize()
        .map_err(|error| FleetError::file(path, error))?;
    let label = program_label(&absolute).map_err(|error| FleetError::file(path, error))?;
    let change = RolloutChange::Program {
        label,
        path: absolute.display().to_string(),
    };
    Ok((change, None))
}

fn settings_change(path: &Path, reason: &str) -> Result<Change, FleetError> {
    let text = read_file(path)?;
    let settings = VersionedSettings {
        version: Version(0),
        fields: parse_version(&path.display().to_string(), &text).map_err(FleetError::invalid)?,
        reason: reason.to_string(),
        id: 0,
    };
    Ok((RolloutChange::Settings, Some(settings)))
}

/// Writes the page on the last rollout.
fn report(session: &mut Session, out: &Path) -> Result<(), FleetError> {
    let rollout = last(session)?;
    let page = crate::report::page(&rollout)?;
    std::fs::write(out, page).map_err(|error| FleetError::file(out, error))?;
    session.output.done(&format!(
        "{} has the report of rollout {}",
        out.display(),
        rollout.id
    ));
    Ok(())
}

/// The last rollout, as the leader has it.
fn last(session: &mut Session) -> Result<Rollout, FleetError> {
    let leader = session.leader()?;
    let reply = session
        .client
        .rollouts(&[leader], ANSWER_TIMEOUT)
        .pop()
        .unwrap_or_else(|| Err(RequestError::Unreachable("no answer".into())))?;
    let rollout = of_roll(&reply.rollout).map_err(FleetError::unreachable)?;
    rollout.ok_or_else(|| FleetError::Rejected("there was no rollout yet".into()))
}

/// Enters an operator's entry for the last rollout; `result` says what that does.
fn enter(
    session: &mut Session,
    entry: impl FnOnce(u64) -> RolloutEntry,
    result: &str,
) -> Result<(), FleetError> {
    let rollout = last(session)?;
    let leader = session.leader()?;
    let entry = Entry::Rollout(roll_entry(&entry(rollout.id), None));
    session.client.enter(leader, entry)?;
    session
        .output
        .done(&format!("rollout {} {result}", rollout.id));
    Ok(())
}
