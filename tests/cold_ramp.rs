//! Slow start over all front ends: many independent routers must together not overload workers in slow start.
//!
//! A discrete event simulation runs the routers against a fleet with starting workers and counts the calls that reach
//! each of them, independently of the credits of the routers.

#[path = "cold_ramp/measurement.rs"]
mod measurement;
#[path = "cold_ramp/scenario.rs"]
mod scenario;
#[path = "cold_ramp/simulation.rs"]
mod simulation;
#[path = "cold_ramp/workers.rs"]
mod workers;

use measurement::{measure, print_row};
use scenario::{InjectedDefect, Scenario, MIN_WINDOWS};
use tansyrouter::SECOND;

/// Checks that no scenario exceeds the bound in any window, and prints its measurement.
fn assert_bound(table: &[(&str, Scenario)]) {
    for (name, scenario) in table {
        let result = measure(*scenario, MIN_WINDOWS);
        print_row(name, &result);
        assert_eq!(result.windows_over_bound, 0, "{name}: {result:?}");
    }
}

/// Many workers start while the ready ones are overloaded.
fn many_starting_workers() -> Scenario {
    Scenario {
        starting_workers: 11,
        utilization: 0.8,
        ..Scenario::default()
    }
}
/// Some workers start, and all others are lost during their slow start.
fn loss_of_other_workers() -> Scenario {
    Scenario {
        starting_workers: 4,
        utilization: 0.5,
        others_lost_after: Some(4 * SECOND),
        ..Scenario::default()
    }
}

#[test]
fn holds_for_any_number_of_front_ends() {
    let with = |front_ends| Scenario {
        front_ends,
        ..many_starting_workers()
    };
    let table = [
        ("1", with(1)),
        ("2", with(2)),
        ("8", with(8)),
        ("20", with(20)),
        ("30", with(30)),
        ("64", with(64)),
        (
            "300 at 60 workers",
            Scenario {
                front_ends: 300,
                workers: 60,
                starting_workers: 20,
                utilization: 0.5,
                ..Scenario::default()
            },
        ),
    ];
    assert_bound(&table);
}

#[test]
fn holds_with_uneven_traffic_late_lists_and_restarts() {
    let table = [
        (
            "uneven traffic",
            Scenario {
                uneven_traffic: true,
                ..many_starting_workers()
            },
        ),
        (
            "list delayed up to 3 s",
            Scenario {
                max_list_delay: 3 * SECOND,
                ..many_starting_workers()
            },
        ),
        (
            "all restarted",
            Scenario {
                restarted_percent: 100,
                ..many_starting_workers()
            },
        ),
        (
            "8, all restarted",
            Scenario {
                front_ends: 8,
                restarted_percent: 100,
                ..many_starting_workers()
            },
        ),
        (
            "uneven traffic, a third restarted, list delayed up to 1 s",
            Scenario {
                uneven_traffic: true,
                restarted_percent: 33,
                max_list_delay: SECOND,
                ..many_starting_workers()
            },
        ),
        (
            "all restarted, other workers lost",
            Scenario {
                restarted_percent: 100,
                ..loss_of_other_workers()
            },
        ),
    ];
    assert_bound(&table);
}

#[test]
fn holds_for_different_classes_and_worker_kinds() {
    let slower_half = Scenario {
        second_kind_speed: 0.6,
        utilization: 0.65,
        ..many_starting_workers()
    };
    let table = [
        (
            "two classes",
            Scenario {
                two_classes: true,
                ..many_starting_workers()
            },
        ),
        ("half the workers at 0.6 speed", slower_half),
        (
            "half the workers at 0.6 speed, two classes",
            Scenario {
                two_classes: true,
                ..slower_half
            },
        ),
        (
            "half the workers at 0.6 speed, 8",
            Scenario {
                front_ends: 8,
                ..slower_half
            },
        ),
        (
            "half the workers at 0.6 speed, 64",
            Scenario {
                front_ends: 64,
                ..slower_half
            },
        ),
        (
            "long slow start from 0.1",
            Scenario {
                slow_start_from: 0.1,
                slow_start_window: 30 * SECOND,
                ..many_starting_workers()
            },
        ),
    ];
    assert_bound(&table);
}

#[test]
fn holds_when_the_other_workers_are_lost() {
    let long_slow_start = Scenario {
        slow_start_window: 30 * SECOND,
        others_lost_after: Some(15 * SECOND),
        ..loss_of_other_workers()
    };
    let table = [
        (
            "8",
            Scenario {
                front_ends: 8,
                ..loss_of_other_workers()
            },
        ),
        ("30", loss_of_other_workers()),
        (
            "64",
            Scenario {
                front_ends: 64,
                ..loss_of_other_workers()
            },
        ),
        ("30, long slow start", long_slow_start),
        (
            "64, long slow start",
            Scenario {
                front_ends: 64,
                ..long_slow_start
            },
        ),
        (
            "300 at 60 workers",
            Scenario {
                front_ends: 300,
                workers: 60,
                starting_workers: 20,
                ..loss_of_other_workers()
            },
        ),
    ];
    assert_bound(&table);
}

/// Uses an overload multiple so low that the credit limits the calls, not the queues of the workers.
fn with_low_multiple(scenario: Scenario) -> Scenario {
    Scenario {
        overload_multiple: 1.5,
        ..scenario
    }
}

#[test]
fn holds_with_a_low_multiple() {
    let slower_half = Scenario {
        second_kind_speed: 0.6,
        utilization: 0.65,
        ..many_starting_workers()
    };
    let table = [
        ("30", with_low_multiple(many_starting_workers())),
        (
            "8",
            with_low_multiple(Scenario {
                front_ends: 8,
                ..many_starting_workers()
            }),
        ),
        (
            "64",
            with_low_multiple(Scenario {
                front_ends: 64,
                ..many_starting_workers()
            }),
        ),
        (
            "uneven traffic",
            with_low_multiple(Scenario {
                uneven_traffic: true,
                ..many_starting_workers()
            }),
        ),
        (
            "all restarted",
            with_low_multiple(Scenario {
                restarted_percent: 100,
                ..many_starting_workers()
            }),
        ),
        (
            "half the workers at 0.6 speed",
            with_low_multiple(slower_half),
        ),
    ];
    assert_bound(&table);
}

/// After a loss, the capacity observed over all workers must not be attributed to the remaining ones.
#[test]
fn holds_with_a_low_multiple_when_the_other_workers_are_lost() {
    let table = [
        ("30", with_low_multiple(loss_of_other_workers())),
        (
            "uneven traffic",
            with_low_multiple(Scenario {
                uneven_traffic: true,
                ..loss_of_other_workers()
            }),
        ),
        (
            "half the workers at 0.6 speed",
            with_low_multiple(Scenario {
                second_kind_speed: 0.6,
                utilization: 0.4,
                ..loss_of_other_workers()
            }),
        ),
        (
            "8",
            with_low_multiple(Scenario {
                front_ends: 8,
                ..loss_of_other_workers()
            }),
        ),
        (
            "64",
            with_low_multiple(Scenario {
                front_ends: 64,
                ..loss_of_other_workers()
            }),
        ),
        (
            "long slow start",
            with_low_multiple(Scenario {
                slow_start_window: 30 * SECOND,
                ..loss_of_other_workers()
            }),
        ),
    ];
    assert_bound(&table);
}

/// The bound must detect injected defects: front ends that send twice their share, and restarted front ends that
/// assume that they are the only one.
#[test]
fn injected_defects_are_detected() {
    let restarted = with_low_multiple(Scenario {
        restarted_percent: 100,
        ..many_starting_workers()
    });
    let table = [
        (
            "doubled multiple",
            Scenario {
                defect: Some(InjectedDefect::DoubledMultiple),
                ..with_low_multiple(many_starting_workers())
            },
        ),
        (
            "doubled multiple, 8",
            Scenario {
                front_ends: 8,
                defect: Some(InjectedDefect::DoubledMultiple),
                ..with_low_multiple(many_starting_workers())
            },
        ),
        (
            "doubled multiple, 64",
            Scenario {
                front_ends: 64,
                defect: Some(InjectedDefect::DoubledMultiple),
                ..with_low_multiple(many_starting_workers())
            },
        ),
        (
            "alone after restart",
            Scenario {
                defect: Some(InjectedDefect::AssumesToBeAlone),
                ..restarted
            },
        ),
    ];
    for (name, scenario) in table {
        let result = measure(scenario, MIN_WINDOWS);
        print_row(name, &result);
        assert!(result.windows_over_bound > 0, "{name}: {result:?}");
    }
}
