//! Measures how many calls reach starting workers, relative to the allowed number.

use crate::scenario::{Scenario, CORES, MEAN_WORK, OVERLOAD_WINDOW};
use crate::simulation::Simulation;

/// The measurement of one or several simulations.
#[derive(Debug, Default)]
pub struct Measurement {
    /// Number of windows that were counted.
    pub windows: usize,
    /// Number of windows with more calls than the bound.
    pub windows_over_bound: usize,
    /// Maximum of (count - allowance - 2) / sqrt(allowance) over all windows.
    worst_excess: f64,
    /// Calls sent to starting workers during slow start, as a fraction of the allowed number.
    sent_over_allowed: f64,
    /// Served calls as a fraction of all answered calls.
    served_fraction: f64,
}

/// Simulates a scenario with successive seeds until this many windows were counted.
pub fn measure(scenario: Scenario, min_windows: usize) -> Measurement {
    let mut all = Measurement {
        worst_excess: f64::MIN,
        ..Measurement::default()
    };
    let mut simulations = 0.0;
    for seed in 1.. {
        let one = count_windows(&Simulation::run(scenario, seed));
        assert!(
            one.windows > 0,
            "{scenario:?}: no call reached a starting worker"
        );
        all.windows += one.windows;
        all.windows_over_bound += one.windows_over_bound;
        all.worst_excess = all.worst_excess.max(one.worst_excess);
        all.sent_over_allowed += one.sent_over_allowed;
        all.served_fraction += one.served_fraction;
        simulations += 1.0;
        if all.windows >= min_windows {
            break;
        }
    }
    Measurement {
        sent_over_allowed: all.sent_over_allowed / simulations,
        served_fraction: all.served_fraction / simulations,
        ..all
    }
}

/// Counts the calls of every window that begins with a call at a starting worker, and compares them with the
/// allowance. The bound adds a margin for the random distribution of arrivals.
fn count_windows(simulation: &Simulation) -> Measurement {
    let scenario = &simulation.scenario;
    let calls_per_micro = CORES as f64 / MEAN_WORK as f64;
    let mut result = Measurement {
        worst_excess: f64::MIN,
        ..Measurement::default()
    };
    let (mut sent, mut allowed) = (0.0, 0.0);
    for (worker, arrivals) in &simulation.arrivals_at_starting_workers {
        for (first, from) in arrivals.iter().enumerate() {
            let until = from.at.plus(OVERLOAD_WINDOW);
            let window = arrivals[first..].iter().take_while(|a| a.at <= until);
            let count: f64 = window.map(|arrival| arrival.weight).sum();
            let speed = simulation.speed(*worker, from.at);
            let allowance =
                scenario.overload_multiple * speed * calls_per_micro * OVERLOAD_WINDOW as f64;
            result.windows += 1;
            result.windows_over_bound +=
                (count > allowance + 2.0 * allowance.sqrt() + 2.0) as usize;
            result.worst_excess = result
                .worst_excess
                .max((count - allowance - 2.0) / allowance.sqrt());
        }
        sent += arrivals.iter().map(|arrival| arrival.weight).sum::<f64>();
        let mean = scenario.overload_multiple * (scenario.slow_start_from + 1.0) / 2.0;
        allowed += mean * calls_per_micro * scenario.slow_start_window as f64;
    }
    result.sent_over_allowed = sent / allowed;
    let answered = simulation.served + simulation.unserved;
    result.served_fraction = simulation.served as f64 / answered.max(1) as f64;
    result
}

/// Prints a measurement as a row of a Markdown table.
pub fn print_row(name: &str, result: &Measurement) {
    println!(
        "| {name} | {} | {} | {:.2} | {:.2} | {:.2} |",
        result.windows,
        result.windows_over_bound,
        result.worst_excess,
        result.sent_over_allowed,
        result.served_fraction
    );
}
