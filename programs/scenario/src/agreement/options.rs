//! Options of the scenario.

use std::path::PathBuf;

/// Options of the agreement scenario.
#[derive(Clone, Debug)]
pub struct ScenarioOptions {
    /// Seed of the random number generators.
    pub seed: u64,
    /// Number of front ends; the first ones are voters.
    pub front_ends: usize,
    /// Number of voters.
    pub voters: usize,
    /// Number of rounds, each with one change and some faults.
    pub rounds: usize,
    /// Calls per second, without those of the observed functions.
    pub rate: u64,
    /// Whether changes are proposed.
    pub changes: bool,
    /// Keeps the last front end out of the fleet, so that it acts on its own settings, which the audit must detect.
    pub outsider: bool,
    /// Folder for the front ends' logs; `None`: front ends log only errors, to stderr.
    pub log_folder: Option<PathBuf>,
}

impl ScenarioOptions {
    /// Whether a front end is kept out of the fleet.
    pub(super) fn is_outsider(&self, front: usize) -> bool {
        self.outsider && front + 1 == self.front_ends
    }

    /// Indices of the front ends in the fleet.
    pub(super) fn members(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.front_ends).filter(|front| !self.is_outsider(*front))
    }
}
