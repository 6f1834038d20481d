//! Fleets in virtual time: faults cause no violation, planted defects are found, and a run depends on its seed alone.

use tansy_simulation::fleet::{
    faults, many, run, run_with_faults, shortest_faults, InjectedDefect, SimulationOptions,
    SimulationSummary,
};

/// Simulates 30 seeds of a fleet through faults; the audit may find nothing in them.
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
fn no_fleet_acts_on_contradicting_rules_through_kills_pauses_cuts_and_clocks() {
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
fn voters_are_replaced_through_the_same_faults() {
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
fn a_run_depends_on_its_seed_alone() {
    let options = SimulationOptions::of(6);
    let text = |threads| serde_json::to_string(&many(&options, 7, 12, threads)).expect("a summary");
    assert_eq!(text(1), text(5));
    assert_ne!(run(&options, 1).messages, run(&options, 2).messages);
}

#[test]
fn without_faults_a_change_takes_the_round_trips_of_its_steps() {
    let result = run_with_faults(&SimulationOptions::of(40), 3, &[]);
    assert_eq!(result.violations, Vec::<String>::new());
    let longest = result.in_force_ms.iter().max().expect("changes");
    // A lost report of a front end's revision costs up to a second, after which it is sent again.
    assert!(*longest < 2_600, "{:?}", result.in_force_ms);
}

/// The first seed with which a planted defect is found.
fn seed_that_finds(defect: InjectedDefect, seeds: u64) -> u64 {
    let options = with_defect(defect);
    (1..=seeds)
        .find(|seed| !run(&options, *seed).violations.is_empty())
        .expect("a run with a violation")
}

#[test]
fn each_planted_defect_is_found() {
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
fn a_violation_comes_with_a_short_list_of_faults_that_still_shows_it() {
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
