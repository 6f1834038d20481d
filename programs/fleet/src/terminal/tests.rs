//! What the terminal shows.

use super::*;
use ratatui::backend::TestBackend;
use ratatui::Terminal;
use tansy_canary::Measurement;
use tansy_rollout::{RolloutEntry, RolloutPlan, StageObservation, Target};

#[test]
fn a_rollout_is_drawn_whole_in_a_small_terminal_too() {
    let target = Target {
        name: "f1".into(),
        zone: "a".into(),
        is_voter: false,
    };
    let plan = RolloutPlan {
        stages: vec![vec![target]],
        ..RolloutPlan::default()
    };
    let what = RolloutChange::Program {
        label: "l".into(),
        path: "/opt/new".into(),
    };
    let mut rollout = Rollout::begin(5, what, plan, "why it is done".into()).expect("a plan");
    rollout
        .apply(RolloutEntry::TakeControl {
            fence: 1,
            controller: "machine-1".into(),
        })
        .expect("there is no controller yet");
    let measured = Measurement {
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
        measurements: vec![measured],
        verdict: None,
    });
    for (wide, high) in [(100, 30), (20, 6)] {
        let mut terminal = Terminal::new(TestBackend::new(wide, high)).expect("a terminal");
        terminal
            .draw(|frame| draw(frame, &rollout))
            .expect("it is drawn");
        if wide == 100 {
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
