//! Simulated rollouts are stopped by a regression, but not by a change without effect or by a loss that changed and
//! unchanged front ends share.

use tansy_simulation::rollout::{many, Regression, RolloutOptions};

fn stopped(regression: Regression) -> (f64, f64) {
    let summary = many(
        &RolloutOptions {
            regression,
            ..RolloutOptions::default()
        },
        1,
        10,
        2,
    );
    (summary.stopped, summary.stages[0])
}

#[test]
fn changes_without_a_regression_complete() {
    for regression in [Regression::None, Regression::ZoneLost, Regression::Doubles] {
        assert_eq!(stopped(regression).0, 0.0, "{regression:?}");
    }
}

#[test]
fn regressions_are_stopped_in_the_first_stage() {
    let regressions = [
        Regression::All(0.03),
        Regression::All(0.1),
        Regression::Class(0.1),
        Regression::Zone(0.05),
        Regression::Slow(0.03),
        Regression::Leak(1.0),
        // Rejections are fast and shift load to unchanged front ends.
        Regression::Shed(0.05),
    ];
    for regression in regressions {
        assert_eq!(stopped(regression), (1.0, 1.0), "{regression:?}");
    }
}

#[test]
fn a_late_regression_is_stopped_before_the_third_stage() {
    let summary = many(
        &RolloutOptions {
            regression: Regression::Late(0.05),
            ..RolloutOptions::default()
        },
        1,
        10,
        2,
    );
    assert_eq!(
        (summary.stopped, summary.stages[2] + summary.stages[3]),
        (1.0, 0.0),
        "{summary:?}"
    );
}

#[test]
fn rollouts_are_deterministic() {
    let options = RolloutOptions {
        regression: Regression::All(0.03),
        front_ends: 9,
        ..RolloutOptions::default()
    };
    let text = |threads| {
        serde_json::to_string(&many(&options, 3, 6, threads)).expect("the summary serializes")
    };
    assert_eq!(text(1), text(4));
}
