//! Fleets in virtual time: nothing breaks through faults, what is planted is found, and a run depends on its seed alone.

use tansy_simulation::fleet::{
    faults, many, run, run_with_faults, shortest_faults, PlantedDefect, SimulationOptions,
};

#[test]
fn no_fleet_acts_on_contradicting_rules_through_kills_pauses_cuts_and_clocks() {
    for (fronts, seats) in [(2, 1), (5, 1), (5, 3), (9, 5), (30, 3)] {
        let sum = many(
            &SimulationOptions {
                voters: seats,
                ..SimulationOptions::of(fronts)
            },
            1,
            30,
            2,
        );
        assert!(
            sum.violations.is_empty(),
            "{fronts} front ends, {seats} seats: {:?}",
            sum.violations
        );
        assert!(
            sum.in_force > 100,
            "{fronts} front ends, {seats} seats: {} versions in force",
            sum.in_force
        );
    }
}

#[test]
fn seats_are_replaced_through_the_same_faults() {
    for (fronts, seats, spares) in [(6, 1, 2), (8, 3, 3), (11, 5, 3)] {
        let sum = many(
            &SimulationOptions {
                voters: seats,
                spares,
                replacements: 8,
                ..SimulationOptions::of(fronts)
            },
            1,
            30,
            2,
        );
        assert!(
            sum.violations.is_empty(),
            "{fronts} front ends, {seats} seats: {:?}",
            sum.violations
        );
        assert!(
            sum.replaced > 30,
            "{fronts} front ends, {seats} seats: {} were replaced",
            sum.replaced
        );
    }
}

#[test]
fn a_run_depends_on_its_seed_alone() {
    let play = SimulationOptions::of(6);
    let text = |threads| serde_json::to_string(&many(&play, 7, 12, threads)).expect("a summary");
    assert_eq!(text(1), text(5));
    assert_ne!(run(&play, 1).messages, run(&play, 2).messages);
}

#[test]
fn without_faults_a_change_takes_the_round_trips_of_its_steps() {
    let outcome = run_with_faults(&SimulationOptions::of(40), 3, &[]);
    assert_eq!(outcome.violations, Vec::<String>::new());
    let longest = outcome.in_force_ms.iter().max().expect("changes");
    // A lost word of how far one is costs up to a second, after which it is told again.
    assert!(*longest < 2_600, "{:?}", outcome.in_force_ms);
}

fn found(plant: PlantedDefect, seeds: u64) -> u64 {
    let play = SimulationOptions {
        defect: Some(plant),
        ..SimulationOptions::of(7)
    };
    (1..=seeds)
        .find(|s| !run(&play, *s).violations.is_empty())
        .expect("a run that breaks")
}

#[test]
fn each_planted_mistake_is_found() {
    for (plant, seeds) in [
        (PlantedDefect::CountedFromAnswer, 200),
        (PlantedDefect::NoJoint, 20),
        (PlantedDefect::Unsynced, 300),
        (PlantedDefect::WildClock, 300),
        (PlantedDefect::NoRoster, 100),
    ] {
        found(plant, seeds);
    }
}

#[test]
fn a_failure_comes_with_a_short_script_of_faults_that_still_shows_it() {
    let play = SimulationOptions {
        defect: Some(PlantedDefect::CountedFromAnswer),
        ..SimulationOptions::of(7)
    };
    let seed = found(PlantedDefect::CountedFromAnswer, 200);
    let (all, short) = (faults(&play, seed), shortest_faults(&play, seed));
    assert!(
        short.len() < all.len(),
        "{} of {}: {short:?}",
        short.len(),
        all.len()
    );
    assert!(!run_with_faults(&play, seed, &short).violations.is_empty());
}
