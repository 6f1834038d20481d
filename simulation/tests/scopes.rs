//! Settings by scope in simulated fleets: faults cause no violation, injected defects are detected, and functions of a large
//! fleet change independently of each other.

use tansy_simulation::fault::{Time, SECOND};
use tansy_simulation::fleet::{many, run, InjectedDefect, SimulationOptions};
use tansy_simulation::scale::{run as run_at_scale, ScaleScenario, Tier, REGION_NETWORK};

fn with_scopes() -> SimulationOptions {
    SimulationOptions {
        voters: 3,
        scopes: 6,
        ..SimulationOptions::of(7)
    }
}

/// Options for a fleet of 40 in the hollow tier with leases of 2 s.
fn at_scale(session: Time, scenario: ScaleScenario) -> SimulationOptions {
    let mut options = SimulationOptions {
        tier: Tier::Hollow,
        voters: 3,
        session,
        scale: Some(scenario),
        network: REGION_NETWORK,
        ..SimulationOptions::of(40)
    };
    options.lease.span = 2 * SECOND;
    options
}

#[test]
fn faults_and_clock_drift_cause_no_violation_with_scopes() {
    let summary = many(&with_scopes(), 1, 20, 2);
    assert!(summary.violations.is_empty(), "{:?}", summary.violations);
    assert!(
        summary.scopes_in_force > 200 && summary.in_force > 50,
        "{summary:?}"
    );
}

#[test]
fn voters_are_replaced_while_scopes_change() {
    let summary = many(
        &SimulationOptions {
            spares: 3,
            replacements: 8,
            ..with_scopes()
        },
        1,
        10,
        2,
    );
    assert!(summary.violations.is_empty(), "{:?}", summary.violations);
    assert!(
        summary.scopes_in_force > 100 && summary.replaced > 5,
        "{summary:?}"
    );
}

#[test]
fn a_front_end_back_after_session_expiry_uses_no_outdated_scope() {
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
fn each_injected_defect_with_scopes_is_detected() {
    for (defect, seeds) in [
        (InjectedDefect::IgnoredSubscribers, 20),
        (InjectedDefect::ForgottenSubscriptions, 60),
        (InjectedDefect::OldReplyAsCurrent, 60),
        (InjectedDefect::RepeatedUnsubscribe, 60),
    ] {
        let options = SimulationOptions {
            defect: Some(defect),
            ..with_scopes()
        };
        let found = (1..=seeds).find_map(|seed| run(&options, seed).violations.first().cloned());
        let violation = found.unwrap_or_else(|| panic!("{defect:?}: no run has a violation"));
        assert!(violation.contains("acts on"), "{defect:?}: {violation}");
    }
}

#[test]
fn runs_with_scopes_are_deterministic() {
    let text = |threads| {
        serde_json::to_string(&many(&with_scopes(), 3, 4, threads)).expect("the summary serializes")
    };
    assert_eq!(text(1), text(3));
}

#[test]
fn functions_of_a_large_fleet_change_individually() {
    let by_scope = ScaleScenario {
        measured_span: 20 * SECOND,
        regions: 2,
        changes_per_hour: 7200.0,
        scoped_functions: 200,
        ..ScaleScenario::default()
    };
    let options = at_scale(20 * SECOND, by_scope);
    let report = run_at_scale(&options, 1);
    assert!(report.ok && report.changes_in_force == 40, "{report:?}");
    let took = report.scope_in_force_ms.expect("changes in force");
    assert!(took.count == 40 && took.max < 5_000.0, "{took:?}");
    assert!(
        report.subscriptions > 1.0 && report.subscriptions < 8.0,
        "{}",
        report.subscriptions
    );
    assert_eq!(report, run_at_scale(&options, 1));
}

#[test]
fn only_changes_with_a_crashed_subscriber_wait() {
    let scenario = ScaleScenario {
        measured_span: 60 * SECOND,
        changes_per_hour: 3600.0,
        strict_every: 2,
        scoped_functions: 400,
        permanent_crashes: 2,
        ..ScaleScenario::default()
    };
    let of_dead = ScaleScenario {
        requested_by_dead_share: 0.3,
        ..scenario.clone()
    };
    let dead = run_at_scale(&at_scale(30 * SECOND, of_dead), 1);
    assert!(dead.ok, "{:?}", dead.notes);
    let report = dead.dead_subscribers.expect("some front ends crashed");
    assert!(
        report.requested >= 5 && report.abandoned + report.in_force <= report.requested,
        "{report:?}"
    );
    assert!(
        report.abandoned > 0 && dead.changes_abandoned == report.abandoned,
        "{dead:?}"
    );
    assert!(
        report
            .in_force_ms
            .expect("some come into force after the sessions expire")
            .max
            > 5_000.0,
        "{report:?}"
    );
    // Plain changes wait only for a waiting strict change of the same function.
    assert!(dead.in_force_ms.expect("changes").p50 < 1_000.0, "{dead:?}");
    assert!(
        dead.changes_of_requested < dead.changes_requested,
        "{dead:?}"
    );
    // Changes of functions with only live subscribers wait for no crashed front end.
    let of_live = ScaleScenario {
        permanent_crashes: 0,
        requested_share: 1.0,
        ..scenario
    };
    let live = run_at_scale(&at_scale(30 * SECOND, of_live), 1);
    assert!(
        live.ok && live.changes_abandoned == 0 && live.dead_subscribers.is_none(),
        "{live:?}"
    );
    assert_eq!(live.changes_of_requested, live.changes_requested);
    assert!(
        live.strict_in_force_ms.expect("strict changes").max < 15_000.0,
        "{live:?}"
    );
}
