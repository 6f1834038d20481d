//! Simulated fleets: settings versions and scopes agreed on by the voters and leased to front ends, through faults.
//!
//! What is audited is what each front end would act on at every moment, against the agreed log, with all clocks at rates of
//! their own. The simulation knows the true time; no front end does.
//!
//! A run is one `Simulation`: an event queue, the processes, and the network between them. Its concerns are spread over the
//! modules here: `lifecycle` (start, stop, pause), `node_step` (a node acts, and its commands are carried out), `operator`
//! (changes that are asked for), `audit` (what is checked). Scopes and the measurements at scale add theirs in [`crate::scale`]
//! and the crate's `scopes` module.

mod audit;
mod event;
mod lifecycle;
mod node_step;
mod operator;
mod options;
mod process;
mod settings;
mod simulation;
mod summary;

pub use options::{InjectedDefect, SimulationOptions};
pub use summary::{many, SimulationResult, SimulationSummary};

pub(crate) use event::Event;
pub(crate) use process::{address_of, Process};
pub(crate) use simulation::Simulation;

use crate::fault::{draw_faults, shrink, Fault};

/// Simulates one run.
pub fn run(options: &SimulationOptions, seed: u64) -> SimulationResult {
    run_with_faults(options, seed, &faults(options, seed))
}

/// The faults of a run.
pub fn faults(options: &SimulationOptions, seed: u64) -> Vec<Fault> {
    if options.quiet {
        return Vec::new();
    }
    let mut rng = fastrand::Rng::with_seed(seed);
    draw_faults(&mut rng, options.front_ends, options.faults_until)
}

/// The shortest list of faults with which a run still violates what the audit checks.
pub fn shortest_faults(options: &SimulationOptions, seed: u64) -> Vec<Fault> {
    shrink(faults(options, seed), |faults| {
        !run_with_faults(options, seed, faults).violations.is_empty()
    })
}

/// Simulates one run with these faults.
pub fn run_with_faults(
    options: &SimulationOptions,
    seed: u64,
    faults: &[Fault],
) -> SimulationResult {
    let mut simulation = Simulation::new(options, seed, faults);
    simulation.run_events();
    simulation.into_result()
}
