//! Large fleets: both tiers measure the same, runs are deterministic, failures are recovered from, and the audit detects
//! injected defects in the hollow tier.

use tansy_simulation::fault::SECOND;
use tansy_simulation::fleet::{run as run_fleet, InjectedDefect, SimulationOptions};
use tansy_simulation::scale::{run, ScaleReport, ScaleScenario, Tier, REGION_NETWORK};

fn options(tier: Tier, front_ends: usize, scenario: ScaleScenario) -> SimulationOptions {
    let mut options = SimulationOptions {
        tier,
        voters: 3,
        session: 20 * SECOND,
        scale: Some(scenario),
        network: REGION_NETWORK,
        ..SimulationOptions::of(front_ends)
    };
    options.lease.span = 2 * SECOND;
    options
}

fn busy() -> ScaleScenario {
    ScaleScenario {
        measured_span: 30 * SECOND,
        regions: 2,
        changes_per_hour: 1200.0,
        restarts_per_hour: 240.0,
        ..ScaleScenario::default()
    }
}

/// Asserts that the mean of a measurement over all seeds differs between the tiers by at most `share` of the whole tier's.
fn assert_tiers_agree(
    what: &str,
    all: &[[ScaleReport; 2]],
    share: f64,
    of: fn(&ScaleReport) -> f64,
) {
    let mean = |tier: usize| all.iter().map(|r| of(&r[tier])).sum::<f64>() / all.len() as f64;
    let (whole, hollow) = (mean(0), mean(1));
    assert!(
        (whole - hollow).abs() <= share * whole,
        "{what}: whole {whole}, hollow {hollow}"
    );
}

#[test]
fn both_tiers_measure_the_same() {
    let scenario = ScaleScenario {
        measured_span: 60 * SECOND,
        changes_per_hour: 1800.0,
        restarts_per_hour: 0.0,
        ..busy()
    };
    let both = |seed| {
        [Tier::Whole, Tier::Hollow].map(|tier| run(&options(tier, 40, scenario.clone()), seed))
    };
    let all: Vec<[ScaleReport; 2]> = (1..=4).map(both).collect();
    for report in all.iter().flatten() {
        assert!(
            report.ok && report.changes_in_force == report.changes_requested,
            "seed {}: {:?}",
            report.seed,
            report.notes
        );
    }
    assert_tiers_agree("messages beside membership's", &all, 0.15, |report| {
        report.control_messages_s - report.membership_messages_s
    });
    assert_tiers_agree("bytes beside membership's", &all, 0.15, |report| {
        report.control_bytes_s - report.membership_bytes_s
    });
    assert_tiers_agree("messages at the voter", &all, 0.15, |report| {
        report.voter_messages_s - report.membership_messages_s
    });
    assert_tiers_agree("changes in force", &all, 0.3, |report| {
        report.in_force_ms.expect("changes").p50
    });
}

#[test]
fn runs_are_deterministic() {
    let scenario = ScaleScenario {
        partitioned_regions: 1,
        partition_span: 8 * SECOND,
        permanent_crashes: 1,
        ..busy()
    };
    let options = options(Tier::Hollow, 30, scenario);
    assert_eq!(run(&options, 5), run(&options, 5));
    assert_ne!(run(&options, 5), run(&options, 6));
}

#[test]
fn an_isolated_region_loses_its_leases_and_recovers() {
    let scenario = ScaleScenario {
        partitioned_regions: 1,
        partition_span: 10 * SECOND,
        regions: 4,
        restarts_per_hour: 0.0,
        strict_every: 0,
        ..busy()
    };
    let report = run(&options(Tier::Hollow, 40, scenario), 3);
    assert!(report.ok, "{:?}", report.notes);
    let cut = report.partition.expect("a partition report");
    assert_eq!((cut.main.front_ends, cut.cut.front_ends), (30, 10));
    assert!(cut.cut.lease_lost > 0.6, "{cut:?}");
    assert!(cut.main.lease_lost < 0.2, "{cut:?}");
    assert!(
        cut.plain_in_force > 0 && cut.healed_ms.is_some_and(|ms| ms < 10_000),
        "{cut:?}"
    );
}

#[test]
fn strict_changes_wait_for_crashed_front_ends_until_their_sessions_expire() {
    let scenario = ScaleScenario {
        permanent_crashes: 2,
        regions: 1,
        restarts_per_hour: 0.0,
        measured_span: 40 * SECOND,
        ..busy()
    };
    let report = run(&options(Tier::Hollow, 30, scenario), 2);
    assert!(report.ok, "{:?}", report.notes);
    let freed = report
        .freed_ms
        .expect("crashed front ends leave the roster");
    // The session lasts from its last grant before the crash; then the leader's periodic check has to notice.
    assert!(
        freed.count == 2 && freed.p50 > 10_000.0 && freed.max < 22_000.0,
        "{freed:?}"
    );
    let (plain, strict) = (report.plain_in_force_ms, report.strict_in_force_ms);
    assert!(
        strict.expect("strict changes").max > 8_000.0,
        "{plain:?} {strict:?}"
    );
}

#[test]
fn a_crashed_rack_leaves_the_roster_and_the_fleet_recovers() {
    let scenario = ScaleScenario {
        rack_size: 6,
        regions: 4,
        measured_span: 60 * SECOND,
        restarts_per_hour: 0.0,
        ..busy()
    };
    let report = run(&options(Tier::Hollow, 40, scenario.clone()), 1);
    assert!(report.ok && report.view_members == 34.0, "{report:?}");
    let failure = report.failure.expect("a report of the failure");
    assert_eq!((failure.front_ends, failure.voters), (6, 0));
    assert!(
        failure
            .recovered_ms
            .is_some_and(|ms| (2_000..15_000).contains(&ms)),
        "{failure:?}"
    );
    assert_eq!(failure.session_lost, 0.0);
    assert_eq!(
        report
            .freed_ms
            .expect("the crashed front ends leave the roster")
            .count,
        6
    );
    let strict = report.strict_in_force_ms.expect("strict changes");
    assert!(strict.max > 8_000.0, "none waited for the rack: {strict:?}");
    let with_leader = run(
        &options(
            Tier::Hollow,
            40,
            ScaleScenario {
                with_leader: true,
                ..scenario
            },
        ),
        1,
    );
    let failure = with_leader
        .failure
        .clone()
        .expect("a report of the failure");
    assert!(
        with_leader.ok && (failure.front_ends, failure.voters) == (6, 1),
        "{with_leader:?}"
    );
}

#[test]
fn a_crashed_zone_restarts_and_receives_requests_again() {
    let scenario = ScaleScenario {
        zones: 5,
        zone_downtime: 8 * SECOND,
        regions: 4,
        restarts_per_hour: 0.0,
        scoped_functions: 100,
        ..busy()
    };
    let report = run(
        &options(
            Tier::Hollow,
            40,
            ScaleScenario {
                measured_span: 60 * SECOND,
                ..scenario
            },
        ),
        2,
    );
    assert!(report.ok && report.view_members == 40.0, "{report:?}");
    let failure = report.failure.expect("a report of the failure");
    assert_eq!((failure.front_ends, failure.voters), (8, 0));
    assert!(
        failure
            .recovered_ms
            .is_some_and(|ms| (8_000..25_000).contains(&ms)),
        "{failure:?}"
    );
    assert!(
        failure.changes_requested >= failure.changes_in_force && failure.changes_in_force > 0,
        "{failure:?}"
    );
    assert_eq!(report.join_ms.expect("the front ends restart").count, 8);
    assert!(
        report.subscriptions > 3.0,
        "those that are back have no subscriptions: {}",
        report.subscriptions
    );
}

#[test]
fn a_rolling_restart_takes_one_batch_after_the_other() {
    let rolling = |parts| ScaleScenario {
        rolling_batches: parts,
        rolling_downtime: 6 * SECOND,
        restarts_per_hour: 0.0,
        strict_every: 1,
        measured_span: 120 * SECOND,
        ..busy()
    };
    let [four, ten] = [4, 10].map(|parts| run(&options(Tier::Hollow, 40, rolling(parts)), 3));
    for (report, parts, median) in [(&four, 4, 2_000.0), (&ten, 10, 2_500.0)] {
        assert!(report.ok && report.view_members == 40.0, "{report:?}");
        let failure = report.failure.as_ref().expect("a report of the failure");
        assert_eq!((failure.front_ends, failure.voters), (40, 3));
        assert!(
            failure.recovered_ms.is_some_and(|ms| ms > parts * 6_000),
            "{failure:?}"
        );
        assert_eq!(report.join_ms.expect("the front ends restart").count, 40);
        // Restarted processes shut down gracefully, so that strict changes do not wait for their return.
        let strict = report.strict_in_force_ms.expect("strict changes");
        assert!(strict.p50 < median && strict.max < 12_000.0, "{strict:?}");
    }
    let again = |r: &ScaleReport| r.failure.as_ref().and_then(|l| l.recovered_ms);
    assert!(again(&ten) > again(&four), "{four:?} {ten:?}");
}

#[test]
fn an_unfinished_rolling_restart_is_not_ok() {
    let scenario = ScaleScenario {
        rolling_batches: 20,
        rolling_downtime: 2 * SECOND,
        restarts_per_hour: 0.0,
        ..busy()
    };
    let report = run(&options(Tier::Hollow, 40, scenario), 3);
    assert!(
        !report.ok && report.failure.is_some_and(|l| l.recovered_ms.is_none()),
        "{:?}",
        report.notes
    );
    assert!(
        report
            .notes
            .iter()
            .any(|n| n.contains("parts not yet restarted")),
        "{:?}",
        report.notes
    );
}

#[test]
fn evenly_spaced_changes_do_not_conflict() {
    let scenario = ScaleScenario {
        regions: 1,
        restarts_per_hour: 0.0,
        strict_every: 0,
        changes_per_hour: 14_400.0,
        ..busy()
    };
    let alike = run(&options(Tier::Hollow, 20, scenario.clone()), 4);
    let even = run(
        &options(
            Tier::Hollow,
            20,
            ScaleScenario {
                even_steps: true,
                ..scenario
            },
        ),
        4,
    );
    assert!(
        even.ok && even.changes_requested == 96 && even.changes_in_force == 96,
        "{even:?}"
    );
    assert_eq!(even.changes_rejected, 0);
    assert!(alike.changes_rejected > 0, "{alike:?}");
}

#[test]
fn injected_defects_are_detected_in_the_hollow_tier() {
    for (defect, seeds) in [
        (InjectedDefect::SkippedJointPhase, 20),
        (InjectedDefect::IgnoredRoster, 100),
        (InjectedDefect::ClockBeyondBound, 300),
    ] {
        let options = SimulationOptions {
            defect: Some(defect),
            tier: Tier::Hollow,
            ..SimulationOptions::of(7)
        };
        assert!(
            (1..=seeds).any(|seed| !run_fleet(&options, seed).violations.is_empty()),
            "{defect:?}"
        );
    }
}

#[test]
fn faults_cause_no_violation_in_the_hollow_tier() {
    let options = SimulationOptions {
        voters: 3,
        tier: Tier::Hollow,
        ..SimulationOptions::of(9)
    };
    for seed in 1..=20 {
        let result = run_fleet(&options, seed);
        assert_eq!(result.violations, Vec::<String>::new(), "seed {seed}");
    }
}
