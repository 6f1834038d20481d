//! Settings by scope in fleets in virtual time: nothing breaks through faults, what is planted is found, and a fleet at its
//! size changes functions one by one.

use tansy_simulation::fault::SECOND;
use tansy_simulation::fleet::{many, run, PlantedDefect, SimulationOptions};
use tansy_simulation::scale::{run as run_at_scale, ScaleScenario, Tier, REGION_NETWORK};

fn play() -> SimulationOptions {
    SimulationOptions {
        voters: 3,
        scopes: 6,
        ..SimulationOptions::of(7)
    }
}

#[test]
fn no_front_end_acts_on_what_a_scope_no_longer_is_through_kills_pauses_cuts_and_clocks() {
    let sum = many(&play(), 1, 20, 2);
    assert!(sum.violations.is_empty(), "{:?}", sum.violations);
    assert!(sum.scopes_in_force > 200 && sum.in_force > 50, "{sum:?}");
}

#[test]
fn seats_are_replaced_while_scopes_change() {
    let sum = many(
        &SimulationOptions {
            spares: 3,
            replacements: 8,
            ..play()
        },
        1,
        10,
        2,
    );
    assert!(sum.violations.is_empty(), "{:?}", sum.violations);
    assert!(sum.scopes_in_force > 100 && sum.replaced > 5, "{sum:?}");
}

#[test]
fn one_whose_stay_ran_out_and_is_back_acts_on_no_scope_as_it_was() {
    let one = run(
        &SimulationOptions {
            scopes: 12,
            ..SimulationOptions::of(5)
        },
        153,
    );
    let many = run(
        &SimulationOptions {
            voters: 5,
            spares: 3,
            replacements: 6,
            scopes: 3,
            ..SimulationOptions::of(13)
        },
        688,
    );
    assert_eq!(
        (one.violations, many.violations),
        (Vec::<String>::new(), Vec::new())
    );
}

#[test]
fn each_planted_mistake_with_scopes_is_found() {
    for (plant, seeds) in [
        (PlantedDefect::NoHolders, 20),
        (PlantedDefect::NoneHold, 60),
        (PlantedDefect::OldReply, 60),
        (PlantedDefect::LateDrop, 60),
    ] {
        let planted = SimulationOptions {
            defect: Some(plant),
            ..play()
        };
        let found = (1..=seeds).find_map(|s| run(&planted, s).violations.first().cloned());
        let told = found.unwrap_or_else(|| panic!("{plant:?}: no run breaks"));
        assert!(told.contains("acts on"), "{plant:?}: {told}");
    }
}

#[test]
fn a_run_with_scopes_depends_on_its_seed_alone() {
    let text = |threads| serde_json::to_string(&many(&play(), 3, 4, threads)).expect("a summary");
    assert_eq!(text(1), text(3));
}

#[test]
fn a_fleet_at_its_size_changes_functions_one_by_one() {
    let by_scope = ScaleScenario {
        counted: 20 * SECOND,
        regions: 2,
        changes_hour: 7200.0,
        by_scope: 200,
        ..ScaleScenario::default()
    };
    let mut play = SimulationOptions {
        tier: Tier::Hollow,
        voters: 3,
        session: 20 * SECOND,
        scale: Some(by_scope),
        network: REGION_NETWORK,
        ..SimulationOptions::of(40)
    };
    play.lease.span = 2 * SECOND;
    let report = run_at_scale(&play, 1);
    assert!(report.ok && report.changes_in_force == 40, "{report:?}");
    let took = report.scope_in_force_ms.expect("changes in force");
    assert!(took.count == 40 && took.max < 5_000.0, "{took:?}");
    assert!(
        report.subscriptions > 1.0 && report.subscriptions < 8.0,
        "{}",
        report.subscriptions
    );
    assert_eq!(report, run_at_scale(&play, 1));
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one table or one history, read from top to bottom"
)]
fn a_strict_change_of_what_a_dead_front_end_holds_waits_and_others_do_not() {
    let size = ScaleScenario {
        counted: 60 * SECOND,
        changes_hour: 3600.0,
        strict_every: 2,
        by_scope: 400,
        dead: 2,
        ..ScaleScenario::default()
    };
    let mut play = SimulationOptions {
        tier: Tier::Hollow,
        voters: 3,
        session: 30 * SECOND,
        scale: Some(ScaleScenario {
            requested_by_dead: 0.3,
            ..size.clone()
        }),
        network: REGION_NETWORK,
        ..SimulationOptions::of(40)
    };
    play.lease.span = 2 * SECOND;
    let dead = run_at_scale(&play, 1);
    assert!(dead.ok, "{:?}", dead.notes);
    let held = dead.dead_holders.expect("some are dead");
    assert!(
        held.requested >= 5 && held.abandoned + held.in_force <= held.requested,
        "{held:?}"
    );
    assert!(
        held.abandoned > 0 && dead.changes_abandoned == held.abandoned,
        "{dead:?}"
    );
    assert!(
        held.in_force_ms.expect("some after the stays").max > 5_000.0,
        "{held:?}"
    );
    // A plain one of a function whose strict change waits has to wait too; all others do not.
    assert!(dead.in_force_ms.expect("changes").p50 < 1_000.0, "{dead:?}");
    assert!(
        dead.changes_of_requested < dead.changes_requested,
        "{dead:?}"
    );
    // Changes of functions that the living hold wait for nobody.
    let live = ScaleScenario {
        dead: 0,
        requested: 1.0,
        ..size
    };
    let live = run_at_scale(
        &SimulationOptions {
            scale: Some(live),
            ..play
        },
        1,
    );
    assert!(
        live.ok && live.changes_abandoned == 0 && live.dead_holders.is_none(),
        "{live:?}"
    );
    assert_eq!(live.changes_of_requested, live.changes_requested);
    assert!(
        live.strict_in_force_ms.expect("strict changes").max < 15_000.0,
        "{live:?}"
    );
}
