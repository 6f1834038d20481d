//! What reached cold workers, over what they may have.

use crate::scenario::{Scenario, CORES, OVERLOAD_WINDOW, WORK};
use crate::simulation::Simulation;

/// The result of one simulation, or of several.
#[derive(Debug, Default)]
pub struct Measurement {
    /// Windows that were counted.
    pub windows: usize,
    /// Windows in which more arrived than may.
    pub over: usize,
    /// Worst of (count - N - 2) / root N.
    worst: f64,
    /// What was sent to cold workers over what they may have, in the warm-up.
    used: f64,
    /// Calls that were served, of all that were answered.
    served: f64,
}

/// Simulates a scenario with one seed after the other until so many windows were counted.
pub fn measure(scenario: Scenario, least_windows: usize) -> Measurement {
    let mut all = Measurement {
        worst: f64::MIN,
        ..Measurement::default()
    };
    let mut simulations = 0.0;
    for seed in 1.. {
        let one = count_windows(&Simulation::run(scenario, seed));
        assert!(
            one.windows > 0,
            "{scenario:?}: nothing reached a cold worker"
        );
        all.windows += one.windows;
        all.over += one.over;
        all.worst = all.worst.max(one.worst);
        all.used += one.used;
        all.served += one.served;
        simulations += 1.0;
        if all.windows >= least_windows {
            break;
        }
    }
    Measurement {
        used: all.used / simulations,
        served: all.served / simulations,
        ..all
    }
}

/// Counts every window that begins with a call at a cold worker against what it may have then.
fn count_windows(simulation: &Simulation) -> Measurement {
    let scenario = &simulation.scenario;
    let calls_per_micro = CORES as f64 / WORK as f64;
    let mut result = Measurement {
        worst: f64::MIN,
        ..Measurement::default()
    };
    let (mut sent, mut allowed) = (0.0, 0.0);
    for (worker, arrivals) in &simulation.arrivals_at_cold_workers {
        for (first, from) in arrivals.iter().enumerate() {
            let until = from.at.plus(OVERLOAD_WINDOW);
            let window = arrivals[first..].iter().take_while(|a| a.at <= until);
            let count: f64 = window.map(|arrival| arrival.weight).sum();
            let speed = simulation.speed(*worker, from.at);
            let may = scenario.overload_multiple * speed * calls_per_micro * OVERLOAD_WINDOW as f64;
            result.windows += 1;
            result.over += (count > may + 2.0 * may.sqrt() + 2.0) as usize;
            result.worst = result.worst.max((count - may - 2.0) / may.sqrt());
        }
        sent += arrivals.iter().map(|arrival| arrival.weight).sum::<f64>();
        let mean = scenario.overload_multiple * (scenario.cold_from + 1.0) / 2.0;
        allowed += mean * calls_per_micro * scenario.warm_up as f64;
    }
    result.used = sent / allowed;
    let answered = simulation.served + simulation.unserved;
    result.served = simulation.served as f64 / answered.max(1) as f64;
    result
}

/// Prints a row of the table in the docs.
pub fn print_row(name: &str, result: &Measurement) {
    println!(
        "| {name} | {} | {} | {:.2} | {:.2} | {:.2} |",
        result.windows, result.over, result.worst, result.used, result.served
    );
}
