//! Rule 4 for all front ends together: many routers that share nothing, a fleet whose workers start cold, and a check of
//! its own that counts what reached each cold worker. No bench and no sockets: an event queue and the module itself.

#[path = "cold_ramp/measurement.rs"]
mod measurement;
#[path = "cold_ramp/scenario.rs"]
mod scenario;
#[path = "cold_ramp/simulation.rs"]
mod simulation;
#[path = "cold_ramp/workers.rs"]
mod workers;

use measurement::{measure, print_row};
use scenario::{InjectedDefect, Scenario, WINDOWS};
use tansyrouter::SECOND;

/// All scenarios of a table keep to the bound in every window; the figures are printed for the table in the docs.
fn check_bound(table: &[(&str, Scenario)]) {
    for (name, scenario) in table {
        let result = measure(*scenario, WINDOWS);
        print_row(name, &result);
        assert_eq!(result.over, 0, "{name}: {result:?}");
    }
}

/// A room that comes back cold under more load than what is warm can bear.
fn room() -> Scenario {
    Scenario {
        cold_workers: 11,
        utilization: 0.8,
        ..Scenario::default()
    }
}
/// Some start, and while they are cold all others are lost.
fn lost() -> Scenario {
    Scenario {
        cold_workers: 4,
        utilization: 0.5,
        lost_after: Some(4 * SECOND),
        ..Scenario::default()
    }
}

#[test]
fn at_any_number_of_front_ends() {
    let with = |front_ends| Scenario {
        front_ends,
        ..room()
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
                cold_workers: 20,
                utilization: 0.5,
                ..Scenario::default()
            },
        ),
    ];
    check_bound(&table);
}

#[test]
fn whoever_has_more_traffic_hears_late_or_starts_anew() {
    let table = [
        (
            "uneven",
            Scenario {
                uneven_traffic: true,
                ..room()
            },
        ),
        (
            "told over 3 s",
            Scenario {
                notice_spread: 3 * SECOND,
                ..room()
            },
        ),
        (
            "all restarted meanwhile",
            Scenario {
                restarted_percent: 100,
                ..room()
            },
        ),
        (
            "8, all restarted",
            Scenario {
                front_ends: 8,
                restarted_percent: 100,
                ..room()
            },
        ),
        (
            "uneven, a third restarted, told late",
            Scenario {
                uneven_traffic: true,
                restarted_percent: 33,
                notice_spread: SECOND,
                ..room()
            },
        ),
        (
            "restarted as the rest is lost",
            Scenario {
                restarted_percent: 100,
                ..lost()
            },
        ),
    ];
    check_bound(&table);
}

#[test]
fn whatever_the_calls_and_the_workers_are() {
    let slow = Scenario {
        second_kind_speed: 0.6,
        utilization: 0.65,
        ..room()
    };
    let table = [
        (
            "classes of 4 to 1 in work",
            Scenario {
                two_classes: true,
                ..room()
            },
        ),
        ("half the workers slower by 0.6", slow),
        (
            "and classes of 4 to 1",
            Scenario {
                two_classes: true,
                ..slow
            },
        ),
        (
            "slower, 8",
            Scenario {
                front_ends: 8,
                ..slow
            },
        ),
        (
            "slower, 64",
            Scenario {
                front_ends: 64,
                ..slow
            },
        ),
        (
            "long ramp from 0.1",
            Scenario {
                cold_from: 0.1,
                warm_up: 30 * SECOND,
                ..room()
            },
        ),
    ];
    check_bound(&table);
}

#[test]
fn when_all_calls_come_at_once_to_workers_that_had_few() {
    let long = Scenario {
        warm_up: 30 * SECOND,
        lost_after: Some(15 * SECOND),
        ..lost()
    };
    let table = [
        (
            "8",
            Scenario {
                front_ends: 8,
                ..lost()
            },
        ),
        ("30", lost()),
        (
            "64",
            Scenario {
                front_ends: 64,
                ..lost()
            },
        ),
        ("30, long ramp", long),
        (
            "64, long ramp",
            Scenario {
                front_ends: 64,
                ..long
            },
        ),
        (
            "300 at 60 workers",
            Scenario {
                front_ends: 300,
                workers: 60,
                cold_workers: 20,
                ..lost()
            },
        ),
    ];
    check_bound(&table);
}

/// A multiple so low that the credit is what binds, not the workers' queues.
fn tight(scenario: Scenario) -> Scenario {
    Scenario {
        overload_multiple: 1.5,
        ..scenario
    }
}

#[test]
fn where_nothing_but_the_credit_binds() {
    let slow = Scenario {
        second_kind_speed: 0.6,
        utilization: 0.65,
        ..room()
    };
    let table = [
        ("1.5 times", tight(room())),
        (
            "8",
            tight(Scenario {
                front_ends: 8,
                ..room()
            }),
        ),
        (
            "64",
            tight(Scenario {
                front_ends: 64,
                ..room()
            }),
        ),
        (
            "uneven",
            tight(Scenario {
                uneven_traffic: true,
                ..room()
            }),
        ),
        (
            "all restarted",
            tight(Scenario {
                restarted_percent: 100,
                ..room()
            }),
        ),
        ("slower", tight(slow)),
    ];
    check_bound(&table);
}

/// What workers were seen to carry together was carried by all there were then, not by those that are left.
#[test]
fn where_nothing_but_the_credit_binds_and_the_rest_is_lost() {
    let table = [
        ("30", tight(lost())),
        (
            "uneven",
            tight(Scenario {
                uneven_traffic: true,
                ..lost()
            }),
        ),
        (
            "slower",
            tight(Scenario {
                second_kind_speed: 0.6,
                utilization: 0.4,
                ..lost()
            }),
        ),
        (
            "8",
            tight(Scenario {
                front_ends: 8,
                ..lost()
            }),
        ),
        (
            "64",
            tight(Scenario {
                front_ends: 64,
                ..lost()
            }),
        ),
        (
            "long ramp",
            tight(Scenario {
                warm_up: 30 * SECOND,
                ..lost()
            }),
        ),
    ];
    check_bound(&table);
}

/// The check finds injected defects: front ends that send twice what they may, and such as take themselves for the only one
/// after a restart.
#[test]
fn what_is_planted_is_found() {
    let restarted = tight(Scenario {
        restarted_percent: 100,
        ..room()
    });
    let table = [
        (
            "doubled",
            Scenario {
                defect: Some(InjectedDefect::Doubled),
                ..tight(room())
            },
        ),
        (
            "doubled, 8",
            Scenario {
                front_ends: 8,
                defect: Some(InjectedDefect::Doubled),
                ..tight(room())
            },
        ),
        (
            "doubled, 64",
            Scenario {
                front_ends: 64,
                defect: Some(InjectedDefect::Doubled),
                ..tight(room())
            },
        ),
        (
            "renewed",
            Scenario {
                defect: Some(InjectedDefect::RenewedWhole),
                ..restarted
            },
        ),
    ];
    for (name, scenario) in table {
        let result = measure(scenario, WINDOWS);
        print_row(name, &result);
        assert!(result.over > 0, "{name}: {result:?}");
    }
}
