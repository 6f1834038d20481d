//! The screen fits terminals of any size and shows the rollout's state.

use super::*;
use ratatui::backend::TestBackend;
use ratatui::Terminal;
use tansy_canary::Measurement;
use tansy_rollout::{RolloutEntry, RolloutPlan, StageObservation, Target};

#[test]
fn a_rollout_is_drawn_in_a_large_and_a_small_terminal() {
    let target = Target {
        name: "f1".into(),
        zone: "a".into(),
        is_voter: false,
    };
    let plan = RolloutPlan {
        stages: vec![vec![target]],
        ..RolloutPlan::default()
    };
    let change = RolloutChange::Program {
        label: "l".into(),
        path: "/opt/new".into(),
    };
    let mut rollout =
        Rollout::begin(5, change, plan, "why it is done".into()).expect("the plan is valid");
    rollout
        .apply(RolloutEntry::TakeControl {
            fence: 1,
            controller: "machine-1".into(),
        })
        .expect("there is no controller yet");
    let measurement = Measurement {
        metric: "service".into(),
        baseline_loss_rate: 0.01,
        canary_loss_rate: 0.05,
        loss: 0.04,
        half_width: 0.01,
        recent_loss: 0.04,
        slices: 9,
    };
    rollout.observations.push(StageObservation {
        stage: 0,
        elapsed_seconds: 45,
        measurements: vec![measurement],
        verdict: None,
    });
    for (width, height) in [(100, 30), (20, 6)] {
        let mut terminal =
            Terminal::new(TestBackend::new(width, height)).expect("the terminal is created");
        terminal
            .draw(|frame| draw(frame, &rollout))
            .expect("the screen is drawn");
        if width == 100 {
            let text = terminal.backend().to_string();
            for part in [
                "machine-1",
                "/opt/new",
                "why it is done",
                "service",
                "+4.000",
                "machine-1 steers",
                "rollout 5, controller: machine-1",
            ] {
                assert!(text.contains(part), "{part}: {text}");
            }
        }
    }
}
