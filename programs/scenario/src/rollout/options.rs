//! Options of the scenario.

use crate::defect::InjectedDefect;
use std::path::PathBuf;

/// Options of the rollout scenario.
#[derive(Clone, Debug)]
pub struct ScenarioOptions {
    /// Seed of the random number generators.
    pub seed: u64,
    /// Defect of the new program.
    pub defect: InjectedDefect,
    /// Number of front ends, a multiple of the number of zones.
    pub front_ends: usize,
    /// Calls per second.
    pub rate: u64,
    /// Minimum length of a stage.
    pub min_stage_seconds: u64,
    /// An earlier build to use as the old program; `None`: this executable.
    pub old_program: Option<PathBuf>,
    /// Maximum length of the rollout.
    pub max_seconds: f64,
    /// Length of a baseline run, without a rollout; `None`: a run with a rollout.
    pub baseline_seconds: Option<f64>,
}

impl ScenarioOptions {
    /// Whether this is a baseline run, without a rollout.
    pub(super) fn is_baseline(&self) -> bool {
        self.baseline_seconds.is_some()
    }
}
