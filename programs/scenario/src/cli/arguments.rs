//! The arguments of `tansy-scenario`.

use crate::defect::InjectedDefect;
use clap::{Parser, ValueEnum};
use std::path::PathBuf;

/// The steps of the fault scenarios name workers up to this number.
const MIN_WORKERS: usize = 6;

/// Runs a scenario with real processes on loopback: gateways and stand-in workers, clients that cancel and read slowly, silence, cuts,
/// a drain that one front end learns of late, a cold restart, a front end killed and started again, a connection paused. All traffic
/// passes a proxy; an auditor that shares no code with the gateway's request table checks the rules from it.
///
/// Exit codes: 0 no rule broken, 1 the scenario could not be run, 3 a rule was broken.
#[derive(Parser)]
#[command(version)]
pub(super) struct Arguments {
    /// `bad`: every fault in turn. `cold-room`: half of the workers come back cold under more load than the rest can serve.
    /// `agree`: versions of settings change in a fleet of front ends, through faults between them.
    /// `roll`: a new program, with a defect or none, in stages over front ends in three zones.
    #[arg(long, value_enum, default_value = "bad")]
    pub scenario: Scenario,
    /// Calls a second [default: the scenario's].
    #[arg(long)]
    pub rate: Option<u64>,
    /// Seconds.
    #[arg(long, default_value_t = 30.0)]
    pub seconds: f64,
    /// Seed of the random choices.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Workers, half of them in each of two zones [default: the scenario's].
    #[arg(long)]
    pub workers: Option<usize>,
    /// Cores of a worker: seconds of work that it does a second [default: the scenario's].
    #[arg(long)]
    pub cores: Option<f64>,
    /// No fault is injected.
    #[arg(long = "quiet")]
    pub without_faults: bool,
    /// Front ends of `agree` [default: 7] or `roll` [default: 12].
    #[arg(long)]
    pub front_ends: Option<usize>,
    /// `roll`: what is wrong with the new program.
    #[arg(long = "plant", value_enum, default_value = "none")]
    pub defect: InjectedDefect,
    /// `roll`: seconds that a stage lasts at least.
    #[arg(long = "least", default_value_t = 20)]
    pub min_stage_seconds: u64,
    /// `roll`: an earlier build of this program, to be the old one.
    #[arg(long = "old")]
    pub old_program: Option<PathBuf>,
    /// `roll`: seconds by which it has to be over.
    #[arg(long = "longest", default_value_t = 420.0)]
    pub max_seconds: f64,
    /// `roll`: write the report of the rollout (HTML) to this file.
    #[arg(long)]
    pub report: Option<PathBuf>,
    /// `agree`: how many front ends are voters: 1, 3, 5 or 7.
    #[arg(long = "seats", default_value_t = 3)]
    pub voters: usize,
    /// Rounds of `agree`, one change and some faults each.
    #[arg(long, default_value_t = 5)]
    pub rounds: usize,
    /// `agree`: the last front end is in no fleet, a defect that has to be found.
    #[arg(long)]
    pub outsider: bool,
    /// `agree`, `roll`: leave out the same run without changes.
    #[arg(long = "no-plain")]
    pub no_baseline: bool,
    /// `agree`: write each front end's logs to this directory, and print each step.
    #[arg(long = "logs")]
    pub log_folder: Option<PathBuf>,
    /// `agree`: print the result as one JSON line, last.
    #[arg(long)]
    pub json: bool,
    /// Violations that are printed in full.
    #[arg(long = "show", default_value_t = 20)]
    pub max_printed: usize,
}

impl Arguments {
    /// Checks what holds for all scenarios.
    pub fn check(&self) -> Result<(), ArgumentError> {
        match self.workers {
            Some(workers) if workers < MIN_WORKERS => Err(ArgumentError::Workers { workers }),
            _ => Ok(()),
        }
    }
}

/// The scenarios.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(super) enum Scenario {
    #[value(name = "bad")]
    AllFaults,
    #[value(name = "cold-room")]
    ColdZone,
    #[value(name = "agree")]
    Agreement,
    #[value(name = "roll")]
    Rollout,
}

/// Arguments that no scenario can be run with. The texts say what would be right.
#[derive(Debug, thiserror::Error)]
pub(super) enum ArgumentError {
    /// The steps name more workers.
    #[error("--workers {workers}: the script needs at least {MIN_WORKERS}")]
    Workers { workers: usize },
    /// The size of `agree`.
    #[error("--front-ends {front_ends} --rounds {rounds}: want 3 to 40, and 1 to 1000")]
    AgreementSize { front_ends: usize, rounds: usize },
    /// The voters of `agree`.
    #[error("--seats {voters}: want 1, 3, 5 or 7, and no more than front ends")]
    Voters { voters: usize },
    /// The size of `roll`.
    #[error("--front-ends {front_ends} --least {min_stage_seconds}: want 6 to 48, a multiple of 3, and 1 or more")]
    RolloutSize {
        front_ends: usize,
        min_stage_seconds: u64,
    },
}
