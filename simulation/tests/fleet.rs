//! Simulated fleets: faults cause no violation, injected defects are detected, and runs are deterministic.

use tansy_simulation::fleet::{
    faults, many, run, run_with_faults, shortest_faults, InjectedDefect, SimulationOptions,
    SimulationSummary,
};

/// Simulates 30 seeds of a fleet under faults and asserts that the audit finds no violation.
fn simulate_without_violation(options: &SimulationOptions) -> SimulationSummary {
    let summary = many(options, 1, 30, 2);
    assert!(
        summary.violations.is_empty(),
        "{} front ends, {} voters: {:?}",
        options.front_ends,
        options.voters,
        summary.violations
    );
    summary
}

fn with_defect(defect: InjectedDefect) -> SimulationOptions {
    SimulationOptions {
        defect: Some(defect),
        ..SimulationOptions::of(7)
    }
}

#[test]
fn faults_and_clock_drift_cause_no_violation() {
    for (front_ends, voters) in [(2, 1), (5, 1), (5, 3), (9, 5), (30, 3)] {
        let summary = simulate_without_violation(&SimulationOptions {
            voters,
            ..SimulationOptions::of(front_ends)
        });
        assert!(
            summary.in_force > 100,
            "{front_ends} front ends, {voters} voters: {} versions in force",
            summary.in_force
        );
    }
}

#[test]
fn voters_are_replaced_under_faults() {
    for (front_ends, voters, spares) in [(6, 1, 2), (8, 3, 3), (11, 5, 3)] {
        let summary = simulate_without_violation(&SimulationOptions {
            voters,
            spares,
            replacements: 8,
            ..SimulationOptions::of(front_ends)
        });
        assert!(
            summary.replaced > 30,
            "{front_ends} front ends, {voters} voters: {} were replaced",
            summary.replaced
        );
    }
}

#[test]
fn runs_are_deterministic() {
    let options = SimulationOptions::of(6);
    let text = |threads| {
        serde_json::to_string(&many(&options, 7, 12, threads)).expect("the summary serializes")
    };
    assert_eq!(text(1), text(5));
    assert_ne!(run(&options, 1).messages, run(&options, 2).messages);
}

#[test]
fn without_faults_versions_come_into_force_quickly() {
    let result = run_with_faults(&SimulationOptions::of(40), 3, &[]);
    assert_eq!(result.violations, Vec::<String>::new());
    let longest = result.in_force_ms.iter().max().expect("changes");
    // A front end's report of its revision is sent again up to a second after it was lost.
    assert!(*longest < 2_600, "{:?}", result.in_force_ms);
}

/// The first seed with which the audit detects an injected defect.
fn seed_that_finds(defect: InjectedDefect, seeds: u64) -> u64 {
    let options = with_defect(defect);
    (1..=seeds)
        .find(|seed| !run(&options, *seed).violations.is_empty())
        .expect("a run with a violation")
}

#[test]
fn each_injected_defect_is_detected() {
    for (defect, seeds) in [
        (InjectedDefect::LeaseFromGrantArrival, 200),
        (InjectedDefect::SkippedJointPhase, 20),
        (InjectedDefect::UnpersistedSends, 300),
        (InjectedDefect::ClockBeyondBound, 300),
        (InjectedDefect::IgnoredRoster, 100),
    ] {
        seed_that_finds(defect, seeds);
    }
}

#[test]
fn minimized_faults_still_reproduce_the_violation() {
    let options = with_defect(InjectedDefect::LeaseFromGrantArrival);
    let seed = seed_that_finds(InjectedDefect::LeaseFromGrantArrival, 200);
    let (all, shortest) = (faults(&options, seed), shortest_faults(&options, seed));
    assert!(
        shortest.len() < all.len(),
        "{} of {}: {shortest:?}",
        shortest.len(),
        all.len()
    );
    let result = run_with_faults(&options, seed, &shortest);
    assert!(!result.violations.is_empty());
}
