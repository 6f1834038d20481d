//! What of the scenario the command line decides.

use std::path::PathBuf;

/// What of the scenario the command line decides.
#[derive(Clone, Debug)]
pub struct ScenarioOptions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Front ends; the first ones are the voters.
    pub front_ends: usize,
    /// How many of them are.
    pub voters: usize,
    /// Rounds of one change and some faults each.
    pub rounds: usize,
    /// Calls a second, beside those of the observed functions.
    pub rate: u64,
    /// Versions change.
    pub changes: bool,
    /// A defect that the audit has to find: the last front end is in no fleet and acts on its own file.
    pub outsider: bool,
    /// Where each front end's logs are written; none: errors alone are logged.
    pub log_folder: Option<PathBuf>,
}

impl ScenarioOptions {
    /// Whether this front end is in no fleet.
    pub(super) fn is_outsider(&self, front: usize) -> bool {
        self.outsider && front + 1 == self.front_ends
    }

    /// The front ends that are in the fleet.
    pub(super) fn members(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.front_ends).filter(|front| !self.is_outsider(*front))
    }
}
