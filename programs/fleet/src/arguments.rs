//! Command-line arguments.

use clap::{Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Shows the status of a fleet of front ends, changes its settings and functions, and runs its front ends.
///
/// Exit codes: 0 done, 1 a front end could not be reached, 2 invalid arguments or settings, 3 rejected, 4 not in force
/// within the waiting time, 5 abandoned by the fleet.
#[derive(Parser)]
#[command(name = "tansy-fleet", version)]
pub(crate) struct Arguments {
    /// Any front end of the fleet, by the address at which other front ends reach it.
    #[arg(
        long = "at",
        value_name = "AT",
        global = true,
        env = "TANSY_FLEET",
        default_value = "127.0.0.1:7001"
    )]
    pub(crate) front_end: SocketAddr,
    /// Print one JSON value instead of text.
    #[arg(long, global = true)]
    pub(crate) json: bool,
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Shows the front ends, their versions, and what a change in progress waits for.
    Status,
    /// Proposes the settings in a file as the next version, and waits until it is in force.
    Propose {
        /// The settings file; fields that belong to a single front end are ignored.
        file: PathBuf,
        /// The version that the change is based on; the change is rejected if another version is in force.
        #[arg(long)]
        expect: Option<u64>,
        /// The reason, shown in the history.
        #[arg(long = "why", value_name = "WHY", default_value = "")]
        reason: String,
        /// Only show the changes.
        #[arg(long)]
        dry_run: bool,
        #[command(flatten)]
        wait: Wait,
    },
    /// Proposes the settings of an earlier version again.
    Revert {
        /// Number of the earlier version.
        version: u64,
        /// Only show the changes.
        #[arg(long)]
        dry_run: bool,
        #[command(flatten)]
        wait: Wait,
    },
    /// Lists the versions that the leader keeps.
    History,
    /// Shows the differences between two versions.
    Diff {
        /// The older version.
        old: u64,
        /// The newer version.
        new: u64,
    },
    /// Abandons the change in progress.
    Abandon,
    /// Removes a front end from the roster, so that no change waits for it. Only for a front end that is certainly down for good.
    Dismiss {
        /// Name of the front end.
        name: String,
    },
    /// Lists the voters, which keep the replicated log, and shows which of them is the leader.
    Seats,
    /// Runs the front ends of this machine as processes, and controls rollouts if no other controller does, until SIGTERM or
    /// SIGINT.
    Up {
        /// The machine's configuration file (TOML).
        #[arg(long = "fleet", value_name = "FLEET")]
        machine_file: PathBuf,
        /// Log level: error, warn, info or debug.
        #[arg(long, default_value = "info")]
        log: String,
    },
    /// Controls rollouts if no other controller does, without running front ends.
    Steer {
        /// Name of this rollout controller, unique in the fleet.
        #[arg(long)]
        name: String,
    },
    /// Changes the program or the settings in stages.
    #[command(visible_alias = "roll")]
    Rollout {
        #[command(subcommand)]
        command: RolloutCommand,
    },
    /// Changes single functions, independently of settings versions.
    Scope {
        #[command(subcommand)]
        command: ScopeCommand,
    },
    /// Replaces a voter, running or not, by another front end, and waits until it is done. The new voter has to run with `--state`.
    #[command(visible_alias = "seat")]
    ReplaceVoter {
        /// Name of the front end that becomes a voter.
        new: String,
        /// Name of the voter that it replaces.
        #[arg(long, visible_alias = "instead")]
        replaces: String,
        /// Seconds to wait until it is a voter; 0 to not wait.
        #[arg(long, default_value_t = 40.0)]
        wait: f64,
    },
}

#[derive(clap::Args)]
pub(crate) struct Wait {
    /// Seconds to wait until the change is in force; 0 to not wait.
    #[arg(long, default_value_t = 15.0)]
    pub(crate) wait: f64,
    /// Id of the proposal. A repeated request with the same id is the same proposal.
    #[arg(long)]
    pub(crate) id: Option<u64>,
}

impl Wait {
    /// The time to wait.
    pub(crate) fn limit(&self) -> Duration {
        wait_limit(self.wait)
    }

    /// The proposal's id, random if none is given.
    pub(crate) fn id_or_random(&self) -> u64 {
        self.id.unwrap_or_else(|| fastrand::u64(1..))
    }
}

/// The waiting time of a `--wait` argument, at most a day.
pub(crate) fn wait_limit(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, 86_400.0))
}

/// Commands on functions.
#[derive(Subcommand)]
pub(crate) enum ScopeCommand {
    /// Sets a function, and waits until the change is in force.
    Set {
        /// Name of the function.
        name: String,
        /// Class of the function.
        #[arg(long)]
        class: String,
        /// Memory of one instance, for instance 100MB.
        #[arg(long)]
        memory: String,
        /// Calls that one instance runs concurrently.
        #[arg(long)]
        lanes: Option<u32>,
        /// Usual duration of a load, for instance 50ms.
        #[arg(long)]
        load_time: Option<String>,
        /// A version announced to clients; may be given several times.
        #[arg(long = "version")]
        versions: Vec<String>,
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Removes functions, all or none of them.
    Remove {
        /// Names of the functions.
        #[arg(required = true)]
        names: Vec<String>,
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Sets all functions in a file, all or none of them.
    Apply {
        /// A file with only `functions: {...}`, in the format of settings files.
        file: PathBuf,
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Shows functions and their changes in progress.
    Show {
        /// Names of the functions.
        #[arg(required = true)]
        names: Vec<String>,
    },
}

// Arguments of all changes of functions. Not a doc comment, since that would replace the help of the commands that flatten them.
#[derive(clap::Args)]
pub(crate) struct ChangeArguments {
    /// The reason, for the voters' log.
    #[arg(long = "why", value_name = "WHY", default_value = "")]
    pub(crate) reason: String,
    /// The revision that the change is based on; the change is rejected if a function is at another revision.
    #[arg(long)]
    pub(crate) expect: Option<u64>,
    #[command(flatten)]
    pub(crate) wait: Wait,
}

/// Commands on rollouts.
#[derive(Subcommand)]
pub(crate) enum RolloutCommand {
    /// Begins a rollout. It is controlled by any running supervisor or `tansy-fleet steer`.
    Begin(BeginArguments),
    /// Shows the last rollout: its stages, measurements and progress.
    Status {
        /// Keep showing it until it ends.
        #[arg(long)]
        watch: bool,
    },
    /// Pauses the rollout. A rollback continues.
    Pause {
        /// The reason.
        #[arg(long = "why", value_name = "WHY", default_value = "an operator's word")]
        reason: String,
    },
    /// Resumes a paused rollout.
    Resume,
    /// Rolls the change back.
    Abort {
        /// The reason.
        #[arg(long = "why", value_name = "WHY", default_value = "an operator's word")]
        reason: String,
    },
    /// Writes a report on the last rollout as an HTML page, with the measurements of each stage.
    Report {
        /// File to write.
        #[arg(long)]
        out: PathBuf,
    },
}

// Arguments of `rollout begin`. Not a doc comment, since that would replace the help of the command.
#[derive(clap::Args)]
pub(crate) struct BeginArguments {
    /// The new program, at the same path on every machine.
    #[arg(
        long,
        required_unless_present = "settings",
        conflicts_with = "settings"
    )]
    pub(crate) program: Option<PathBuf>,
    /// The file with the new settings.
    #[arg(long)]
    pub(crate) settings: Option<PathBuf>,
    /// Plan of the rollout (TOML); missing fields have their defaults.
    #[arg(long)]
    pub(crate) plan: Option<PathBuf>,
    /// Shares of the fleet that are changed by the end of each stage.
    #[arg(long, value_delimiter = ',', default_value = "0.1,0.3,1")]
    pub(crate) stages: Vec<f64>,
    /// The reason, shown with the rollout.
    #[arg(long = "why", value_name = "WHY", default_value = "")]
    pub(crate) reason: String,
    /// Id of the rollout. A repeated request with the same id is the same rollout.
    #[arg(long)]
    pub(crate) id: Option<u64>,
    /// Only show the plan.
    #[arg(long)]
    pub(crate) dry_run: bool,
}

#[cfg(test)]
mod tests;
