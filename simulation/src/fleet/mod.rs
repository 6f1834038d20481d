//! Simulation of fleets under faults: voters agree on settings versions and scopes and lease them to front ends.
//!
//! Whenever a process runs or the agreed state changes, the audit compares the settings that front ends would act on with
//! the agreed log. Every process has its own clock rate; only the simulation knows the true time.
//!
//! A run is a `Simulation`: an event queue, the processes and the network between them. Its methods are grouped by module:
//! `lifecycle` (start, stop, pause), `node_step` (running a node and executing its commands), `operator` (requested
//! changes) and `audit` (checks). [`crate::scale`] and the `scopes` module of the crate add methods for measurements at
//! scale and for scopes.

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

/// Simulates the run of a seed with the faults drawn for it.
pub fn run(options: &SimulationOptions, seed: u64) -> SimulationResult {
    run_with_faults(options, seed, &faults(options, seed))
}

/// Draws the faults of a run; none if [`SimulationOptions::quiet`] is set.
pub fn faults(options: &SimulationOptions, seed: u64) -> Vec<Fault> {
    if options.quiet {
        return Vec::new();
    }
    let mut rng = fastrand::Rng::with_seed(seed);
    draw_faults(&mut rng, options.front_ends, options.faults_until)
}

/// A minimal list of faults with which the run still has a violation.
pub fn shortest_faults(options: &SimulationOptions, seed: u64) -> Vec<Fault> {
    shrink(faults(options, seed), |faults| {
        !run_with_faults(options, seed, faults).violations.is_empty()
    })
}

/// Simulates the run of a seed with the given faults.
pub fn run_with_faults(
    options: &SimulationOptions,
    seed: u64,
    faults: &[Fault],
) -> SimulationResult {
    let mut simulation = Simulation::new(options, seed, faults);
    simulation.run_events();
    simulation.into_result()
}
