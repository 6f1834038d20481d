//! The command line.

use clap::{Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Shows the status and the settings versions of a fleet of front ends, and changes them.
///
/// Exit codes: 0 done, 1 a front end could not be reached, 2 wrong arguments or settings, 3 rejected, 4 not in force in the
/// time that was waited, 5 proposed and abandoned.
#[derive(Parser)]
#[command(name = "tansy-fleet", version)]
pub(crate) struct Arguments {
    /// Any front end of the fleet, by the address at which its siblings reach it.
    #[arg(
        long,
        global = true,
        env = "TANSY_FLEET",
        default_value = "127.0.0.1:7001"
    )]
    pub(crate) at: SocketAddr,
    /// Print one JSON value.
    #[arg(long, global = true)]
    pub(crate) json: bool,
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Who is in the fleet, what each acts on, and what a change in progress waits for.
    Status,
    /// Proposes the settings of a file as the next version, and waits until it is in force.
    Propose {
        /// The settings file; a front end's own fields in it are left out.
        file: PathBuf,
        /// The version that the change was made from: another one in force by now means that somebody else changed it.
        #[arg(long)]
        expect: Option<u64>,
        /// Why, for those who read the history.
        #[arg(long, default_value = "")]
        why: String,
        /// Only show what would change.
        #[arg(long)]
        dry_run: bool,
        #[command(flatten)]
        wait: Wait,
    },
    /// Proposes an earlier version's settings again.
    Revert {
        /// Which.
        version: u64,
        /// Only show what would change.
        #[arg(long)]
        dry_run: bool,
        #[command(flatten)]
        wait: Wait,
    },
    /// The versions that the leader remembers.
    History,
    /// What differs between two versions.
    Diff {
        /// From this.
        old: u64,
        /// To this.
        new: u64,
    },
    /// Abandons the change in progress.
    Abandon,
    /// Removes a front end from the roster, so that nothing waits for it. Only for one that is surely dead.
    Dismiss {
        /// Its name.
        name: String,
    },
    /// The voters, which keep the agreed log, and which of them leads.
    Seats,
    /// Supervises the front ends of this machine as processes, and controls rollouts where nobody else does, until SIGTERM or
    /// SIGINT.
    Up {
        /// The machine's file (TOML).
        #[arg(long)]
        fleet: PathBuf,
        /// What is logged: error, warn, info, debug.
        #[arg(long, default_value = "info")]
        log: String,
    },
    /// Controls rollouts where nobody else does, without front ends of its own.
    Steer {
        /// Its name among all rollout controllers.
        #[arg(long)]
        name: String,
    },
    /// A change of the program or of settings in stages.
    #[command(visible_alias = "roll")]
    Rollout {
        #[command(subcommand)]
        command: RolloutCommand,
    },
    /// Functions that are agreed on one by one, beside the versions.
    Scope {
        #[command(subcommand)]
        command: ScopeCommand,
    },
    /// Makes a front end a voter in the place of another, dead or alive, and waits until it is. It has to run with `--state`.
    #[command(visible_alias = "seat")]
    ReplaceVoter {
        /// The name of the one that is to become a voter.
        new: String,
        /// The name of the voter that it replaces.
        #[arg(long, visible_alias = "instead")]
        replaces: String,
        /// Seconds to wait until it is a voter; 0: not at all.
        #[arg(long, default_value_t = 40.0)]
        wait: f64,
    },
}

#[derive(clap::Args)]
pub(crate) struct Wait {
    /// Seconds to wait until it is in force; 0: not at all.
    #[arg(long, default_value_t = 15.0)]
    pub(crate) wait: f64,
    /// The proposal's id: asked again with the same one, it is the same proposal.
    #[arg(long)]
    pub(crate) id: Option<u64>,
}

impl Wait {
    /// The time to wait.
    pub(crate) fn limit(&self) -> Duration {
        wait_limit(self.wait)
    }

    /// The proposal's id, drawn if none is given.
    pub(crate) fn id_or_random(&self) -> u64 {
        self.id.unwrap_or_else(|| fastrand::u64(1..))
    }
}

/// So many seconds, and a day at most.
pub(crate) fn wait_limit(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, 86_400.0))
}

/// What is to be done with functions.
#[derive(Subcommand)]
pub(crate) enum ScopeCommand {
    /// Sets one function, and waits until that is in force.
    Set {
        /// Its name.
        name: String,
        /// Its class.
        #[arg(long)]
        class: String,
        /// Memory of one instance, as 100MB.
        #[arg(long)]
        memory: String,
        /// Calls that one instance runs at a time.
        #[arg(long)]
        lanes: Option<u32>,
        /// Usual time of a load, as 50ms.
        #[arg(long)]
        load_time: Option<String>,
        /// A version that is named to clients; may be given again.
        #[arg(long = "version")]
        versions: Vec<String>,
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Removes functions, together or not at all.
    Remove {
        /// Their names.
        #[arg(required = true)]
        names: Vec<String>,
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Sets all functions of a file, together or not at all.
    Apply {
        /// A file with `functions: {...}` as settings have it, and nothing else.
        file: PathBuf,
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// What functions are, and where changes of them stand.
    Show {
        /// Their names.
        #[arg(required = true)]
        names: Vec<String>,
    },
}

// What every change of functions takes. A doc comment here would stand in the help of the commands that flatten it.
#[derive(clap::Args)]
pub(crate) struct ChangeArguments {
    /// Why, for the voters' log.
    #[arg(long, default_value = "")]
    pub(crate) why: String,
    /// The revision that the change was made from: another one by now means that somebody else changed it.
    #[arg(long)]
    pub(crate) expect: Option<u64>,
    #[command(flatten)]
    pub(crate) wait: Wait,
}

/// What is to be done with a rollout.
#[derive(Subcommand)]
pub(crate) enum RolloutCommand {
    /// Begins a change. It goes on by itself, controlled by whichever supervisor or `tansy-fleet steer` is there.
    Begin(BeginArguments),
    /// Where it stands: stages, old against new, what it waits for.
    Status {
        /// Again and again, until it is over.
        #[arg(long)]
        watch: bool,
    },
    /// Changes nothing further. What is being rolled back goes on.
    Pause {
        /// Why.
        #[arg(long, default_value = "an operator's word")]
        why: String,
    },
    /// Continues it.
    Resume,
    /// Rolls it back.
    Abort {
        /// Why.
        #[arg(long, default_value = "an operator's word")]
        why: String,
    },
    /// Writes one page (HTML) on the last rollout: what changed, stage by stage, old against new.
    Report {
        /// Where to.
        #[arg(long)]
        out: PathBuf,
    },
}

// A rollout to begin; its help is that of the command.
#[derive(clap::Args)]
pub(crate) struct BeginArguments {
    /// The new program's file, at the same place on every machine.
    #[arg(
        long,
        required_unless_present = "settings",
        conflicts_with = "settings"
    )]
    pub(crate) program: Option<PathBuf>,
    /// The new settings' file.
    #[arg(long)]
    pub(crate) settings: Option<PathBuf>,
    /// How it is to go (TOML); what is left out takes its default.
    #[arg(long)]
    pub(crate) plan: Option<PathBuf>,
    /// Shares of the fleet that are changed by the end of each stage.
    #[arg(long, value_delimiter = ',', default_value = "0.1,0.3,1")]
    pub(crate) stages: Vec<f64>,
    /// Why, for those who read it later.
    #[arg(long, default_value = "")]
    pub(crate) why: String,
    /// The rollout's own number: asked again with the same one, it is the same rollout.
    #[arg(long)]
    pub(crate) id: Option<u64>,
    /// Only show the plan.
    #[arg(long)]
    pub(crate) dry_run: bool,
}

#[cfg(test)]
mod tests;
