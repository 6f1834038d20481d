//! `rollout`: begins, shows, pauses, resumes, aborts and reports on rollouts.

mod plan;
mod text;
mod watch;

pub use plan::stages;
pub use text::rollout_text;

use crate::arguments::{BeginArguments, RolloutCommand};
use crate::error::read_file;
use crate::processes::program_label;
use crate::{CommandContext, FleetError};
use std::path::Path;
use std::time::Duration;
use tansy_agreement::log::{Version, VersionedSettings};
use tansy_fleet_wire::pb::enter_request::Entry;
use tansy_fleet_wire::{decode_rollout, encode_rollout_entry};
use tansy_net_fleet::client::RequestError;
use tansy_rollout::{Rollout, RolloutChange, RolloutEntry};
use tansy_settings::agreement::parse_version;

/// Timeout of a request to a front end.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a `rollout` command.
pub(crate) fn run(context: &mut CommandContext, command: RolloutCommand) -> Result<(), FleetError> {
    match command {
        RolloutCommand::Begin(arguments) => begin(context, arguments),
        RolloutCommand::Status { watch: false } => {
            let rollout = last_rollout(context)?;
            context.output.show(&rollout, || rollout_text(&rollout));
            Ok(())
        }
        RolloutCommand::Status { watch: true } => watch::watch(context),
        RolloutCommand::Pause { reason } => enter_for_last(
            context,
            |id| RolloutEntry::Pause { id, reason },
            "is paused",
        ),
        RolloutCommand::Resume => {
            enter_for_last(context, |id| RolloutEntry::Resume { id }, "continues")
        }
        RolloutCommand::Abort { reason } => enter_for_last(
            context,
            |id| RolloutEntry::Abort { id, reason },
            "is being rolled back",
        ),
        RolloutCommand::Report { out } => report(context, &out),
    }
}

/// The change of a rollout, and the settings of a settings change.
type Change = (RolloutChange, Option<VersionedSettings>);

fn begin(context: &mut CommandContext, arguments: BeginArguments) -> Result<(), FleetError> {
    let mut plan = plan::read(arguments.plan.as_deref())?;
    plan.stages = stages(plan::targets(context)?, &arguments.stages)?;
    if let Some(error) = plan.validation_error() {
        return Err(FleetError::Invalid(format!("invalid plan: {error}")));
    }
    let (change, settings) = change(&arguments)?;
    if arguments.dry_run {
        context.output.show(&plan, || text::plan_text(&plan));
        return Ok(());
    }
    let id = arguments.id.unwrap_or_else(|| fastrand::u64(1..1 << 53));
    let leader = context.leader()?;
    let entry = RolloutEntry::Begin {
        id,
        change,
        plan,
        reason: arguments.reason,
    };
    let entry = Entry::Rollout(encode_rollout_entry(&entry, settings.as_ref()));
    context.client.enter(leader, entry)?;
    context.output.done(&format!(
        "rollout {id} has begun; `tansy-fleet rollout status --watch` shows it"
    ));
    Ok(())
}

fn change(arguments: &BeginArguments) -> Result<Change, FleetError> {
    match (&arguments.program, &arguments.settings) {
        (Some(path), _) => program_change(path),
        (None, Some(path)) => settings_change(path, &arguments.reason),
        (None, None) => Err(FleetError::Invalid(
            "either --program or --settings is required".into(),
        )),
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

/// Writes the report on the last rollout.
fn report(context: &mut CommandContext, out: &Path) -> Result<(), FleetError> {
    let rollout = last_rollout(context)?;
    let page = crate::report::page(&rollout)?;
    std::fs::write(out, page).map_err(|error| FleetError::file(out, error))?;
    context.output.done(&format!(
        "report of rollout {} written to {}",
        rollout.id,
        out.display()
    ));
    Ok(())
}

/// The last rollout, as known by the leader.
fn last_rollout(context: &mut CommandContext) -> Result<Rollout, FleetError> {
    let leader = context.leader()?;
    let reply = context
        .client
        .rollouts(&[leader], ANSWER_TIMEOUT)
        .pop()
        .unwrap_or_else(|| Err(RequestError::Unreachable("no answer".into())))?;
    let rollout = decode_rollout(&reply.rollout).map_err(FleetError::unreachable)?;
    rollout.ok_or_else(|| FleetError::Rejected("there has been no rollout".into()))
}

/// Enters an operator's entry for the last rollout. `result` describes its effect.
fn enter_for_last(
    context: &mut CommandContext,
    entry: impl FnOnce(u64) -> RolloutEntry,
    result: &str,
) -> Result<(), FleetError> {
    let rollout = last_rollout(context)?;
    let leader = context.leader()?;
    let entry = Entry::Rollout(encode_rollout_entry(&entry(rollout.id), None));
    context.client.enter(leader, entry)?;
    context
        .output
        .done(&format!("rollout {} {result}", rollout.id));
    Ok(())
}
