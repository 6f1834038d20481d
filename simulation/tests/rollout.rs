//! Whole rollouts: a regression stops them, a change without effect does not, and neither does a loss that both sides share.

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
fn a_change_without_effect_is_done() {
    for regression in [Regression::None, Regression::ZoneLost, Regression::Doubles] {
        assert_eq!(stopped(regression).0, 0.0, "{regression:?}");
    }
}

#[test]
fn a_regression_is_stopped_in_the_first_stage() {
    let regressions = [
        Regression::All(0.03),
        Regression::All(0.1),
        Regression::Class(0.1),
        Regression::Zone(0.05),
        Regression::Slow(0.03),
        Regression::Leak(1.0),
        // It rejects cheaply, and pushes what it rejects onto its siblings.
        Regression::Shed(0.05),
    ];
    for regression in regressions {
        assert_eq!(stopped(regression), (1.0, 1.0), "{regression:?}");
    }
}

#[test]
fn a_regression_after_two_minutes_is_stopped_before_the_last_stage() {
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
fn a_rollout_depends_on_its_seed_alone() {
    let options = RolloutOptions {
        regression: Regression::All(0.03),
        front_ends: 9,
        ..RolloutOptions::default()
    };
    let text = |threads| serde_json::to_string(&many(&options, 3, 6, threads)).expect("a summary");
    assert_eq!(text(1), text(4));
}
