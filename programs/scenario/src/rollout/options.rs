//! What of the scenario the command line decides.

use crate::defect::InjectedDefect;
use std::path::PathBuf;

/// What of the scenario the command line decides.
#[derive(Clone, Debug)]
pub struct ScenarioOptions {
    /// Seed of all random choices.
    pub seed: u64,
    /// What is wrong with the new program.
    pub defect: InjectedDefect,
    /// Front ends, the same number in each zone.
    pub front_ends: usize,
    /// Calls a second.
    pub rate: u64,
    /// Seconds that a stage lasts at least.
    pub min_stage_seconds: u64,
    /// An earlier build of this program, to be the old one; none: this one.
    pub old_program: Option<PathBuf>,
    /// Seconds by which the rollout has to be over.
    pub max_seconds: f64,
    /// Nothing is rolled out, for so many seconds.
    pub baseline_seconds: Option<f64>,
}

impl ScenarioOptions {
    /// Whether nothing is rolled out.
    pub(super) fn is_baseline(&self) -> bool {
        self.baseline_seconds.is_some()
    }
}
