//! The arguments of `tansy-scenario`.

use crate::defect::InjectedDefect;
use clap::{Parser, ValueEnum};
use std::path::PathBuf;

/// The scripts of the fault scenarios use workers 0 to 5.
const MIN_WORKERS: usize = 6;

/// Runs a scenario with real processes on loopback: gateways, stand-in workers and clients, with injected faults such as unresponsive
/// workers, closed and paused connections, late drains, cold restarts and killed front ends. All traffic passes a proxy that records
/// it; an auditor, which shares no code with the gateway's request table, checks the recording against the rules.
///
/// Exit codes: 0 no rule broken, 1 the scenario could not be run, 3 a rule was broken.
#[derive(Parser)]
#[command(version)]
pub(super) struct Arguments {
    /// `bad`: every fault in turn. `cold-room`: half of the workers restart cold under more load than the rest can serve.
    /// `agree`: the settings of a fleet of front ends change, with faults between the front ends.
    /// `roll`: a staged rollout of a new program, with or without a defect, to front ends in three zones.
    #[arg(long, value_enum, default_value = "bad")]
    pub scenario: Scenario,
    /// Calls per second [default: the scenario's].
    #[arg(long)]
    pub rate: Option<u64>,
    /// Length of a `bad` or `cold-room` run in seconds.
    #[arg(long, default_value_t = 30.0)]
    pub seconds: f64,
    /// Seed of the random number generators.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Workers, half of them in each of two zones [default: the scenario's].
    #[arg(long)]
    pub workers: Option<usize>,
    /// Cores of each worker: seconds of work that it can do per second [default: the scenario's].
    #[arg(long)]
    pub cores: Option<f64>,
    /// `bad`, `cold-room`: inject no faults.
    #[arg(long = "quiet")]
    pub without_faults: bool,
    /// Front ends of `agree` [default: 7] or `roll` [default: 12].
    #[arg(long)]
    pub front_ends: Option<usize>,
    /// `roll`: the defect of the new program.
    #[arg(long = "plant", value_enum, default_value = "none")]
    pub defect: InjectedDefect,
    /// `roll`: minimum length of a stage in seconds.
    #[arg(long = "least", default_value_t = 20)]
    pub min_stage_seconds: u64,
    /// `roll`: an earlier build of this program, used as the old program.
    #[arg(long = "old")]
    pub old_program: Option<PathBuf>,
    /// `roll`: maximum length of the rollout in seconds.
    #[arg(long = "longest", default_value_t = 420.0)]
    pub max_seconds: f64,
    /// `roll`: write the report of the rollout (HTML) to this file.
    #[arg(long)]
    pub report: Option<PathBuf>,
    /// `agree`: number of voters: 1, 3, 5 or 7.
    #[arg(long = "seats", default_value_t = 3)]
    pub voters: usize,
    /// `agree`: number of rounds, each with one change and some faults.
    #[arg(long, default_value_t = 5)]
    pub rounds: usize,
    /// `agree`: keep the last front end out of the fleet, which the audit must detect.
    #[arg(long)]
    pub outsider: bool,
    /// `agree`, `roll`: skip the baseline run.
    #[arg(long = "no-plain")]
    pub no_baseline: bool,
    /// `agree`: write the front ends' logs to this directory and print each step.
    #[arg(long = "logs")]
    pub log_folder: Option<PathBuf>,
    /// `agree`: print the result as one line of JSON, last.
    #[arg(long)]
    pub json: bool,
    /// Maximum number of violations to print.
    #[arg(long = "show", default_value_t = 20)]
    pub max_printed: usize,
}

impl Arguments {
    /// Checks the arguments that several scenarios share.
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

/// Invalid arguments. The messages name the valid ranges.
#[derive(Debug, thiserror::Error)]
pub(super) enum ArgumentError {
    /// Fewer workers than the scripts use.
    #[error("--workers {workers}: must be at least {MIN_WORKERS}")]
    Workers { workers: usize },
    /// Number of front ends or rounds of `agree` out of range.
    #[error("--front-ends {front_ends} --rounds {rounds}: must be 3 to 40 front ends and 1 to 1000 rounds")]
    AgreementSize { front_ends: usize, rounds: usize },
    /// Invalid number of voters of `agree`.
    #[error("--seats {voters}: must be 1, 3, 5 or 7, and at most the number of front ends")]
    Voters { voters: usize },
    /// Number of front ends or stage length of `roll` out of range.
    #[error("--front-ends {front_ends} --least {min_stage_seconds}: must be 6 to 48 front ends, a multiple of 3, and at least 1 second")]
    RolloutSize {
        front_ends: usize,
        min_stage_seconds: u64,
    },
}
