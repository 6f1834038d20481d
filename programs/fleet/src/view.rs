//! A roll in a terminal, looked at again and again.

use crate::report::said;
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Color, Style};
use ratatui::text::Line;
use ratatui::widgets::{Block, Gauge, List, ListItem, Paragraph, Row, Table, Wrap};
use ratatui::Frame;
use tansy_rollout::{Rollout, RolloutChange, RolloutPhase};

/// Draws it.
pub(crate) fn draw(frame: &mut Frame<'_>, roll: &Rollout) {
    let [head, bar, middle, steps] = Layout::vertical([
        Constraint::Length(4),
        Constraint::Length(3),
        Constraint::Min(8),
        Constraint::Length(9),
    ])
    .areas(frame.area());
    let what = match &roll.what {
        RolloutChange::Program { path, .. } => format!("program {path}"),
        RolloutChange::Settings => "settings".to_string(),
    };
    let (phase, color) = match roll.phase {
        RolloutPhase::Moving => ("changing front ends", Color::Yellow),
        RolloutPhase::Judging => ("under judgement", Color::Yellow),
        RolloutPhase::Back => ("going back", Color::Red),
        RolloutPhase::Done => ("done", Color::Green),
        RolloutPhase::Stopped => ("stopped", Color::Red),
    };
    let paused = if roll.paused { ", paused" } else { "" };
    let text = vec![
        Line::styled(format!("{what}: {phase}{paused}"), Style::new().fg(color)),
        Line::raw(roll.why.clone()),
    ];
    let title = format!("roll {}, steered by {}", roll.id, roll.steerer);
    frame.render_widget(
        Paragraph::new(text)
            .wrap(Wrap { trim: true })
            .block(Block::bordered().title(title)),
        head,
    );
    let all = roll.plan.stages.iter().flatten().count().max(1);
    let share = (roll.moved.len() as f64 / all as f64).clamp(0.0, 1.0);
    let label = format!(
        "stage {} of {}: {} of {all} changed, on their way {}",
        roll.stage + 1,
        roll.plan.stages.len(),
        roll.moved.len(),
        roll.moving.iter().cloned().collect::<Vec<_>>().join(" ")
    );
    let gauge = Gauge::default()
        .block(Block::bordered())
        .gauge_style(color)
        .ratio(share)
        .label(label);
    frame.render_widget(gauge, bar);
    measured(frame, middle, roll);
    let late = roll.steps.len().saturating_sub(7);
    let items: Vec<ListItem<'_>> = roll
        .steps
        .iter()
        .skip(late)
        .map(|s| ListItem::new(s.as_str()))
        .collect();
    frame.render_widget(
        List::new(items).block(Block::bordered().title("steps")),
        steps,
    );
}

fn measured(frame: &mut Frame<'_>, area: Rect, roll: &Rollout) {
    let Some(seen) = roll.seen.last() else {
        let waits = Paragraph::new("nothing is compared yet").block(Block::bordered());
        return frame.render_widget(waits, area);
    };
    let row = |m: &tansy_canary::Measurement| {
        let color = if m.loss - m.half > 0.0 {
            Color::Red
        } else {
            Color::Reset
        };
        Row::new(vec![
            m.what.clone(),
            format!("{:.3}%", m.old * 100.0),
            format!("{:.3}%", m.new * 100.0),
            format!("{:+.3}", m.loss * 100.0),
            format!("{:.3}", m.half * 100.0),
            m.slices.to_string(),
        ])
        .style(Style::new().fg(color))
    };
    let widths = [30, 10, 10, 10, 12, 8].map(Constraint::Length);
    let title = format!(
        "stage {}, {} s: {}",
        seen.stage + 1,
        seen.elapsed_seconds,
        said(seen)
    );
    let table = Table::new(seen.measurements.iter().map(row), widths)
        .header(Row::new([
            "share lost",
            "old",
            "new",
            "loss",
            "give or take",
            "slices",
        ]))
        .block(Block::bordered().title(title));
    frame.render_widget(table, area);
}

#[cfg(test)]
mod tests {
    use super::*;
    use ratatui::backend::TestBackend;
    use ratatui::Terminal;
    use tansy_canary::Measurement;
    use tansy_rollout::{RolloutEntry, RolloutPlan, StageObservation, Target};

    #[test]
    fn a_roll_is_drawn_whole_in_a_small_terminal_too() {
        let place = Target {
            name: "f1".into(),
            zone: "a".into(),
            seat: false,
        };
        let plan = RolloutPlan {
            stages: vec![vec![place]],
            ..RolloutPlan::default()
        };
        let what = RolloutChange::Program {
            label: "l".into(),
            path: "/opt/new".into(),
        };
        let mut roll = Rollout::begin(5, what, plan, "why it is done".into()).expect("a plan");
        roll.apply(RolloutEntry::TakeControl {
            fence: 1,
            controller: "machine-1".into(),
        })
        .expect("nobody steers");
        let measured = Measurement {
            what: "service".into(),
            old: 0.01,
            new: 0.05,
            loss: 0.04,
            half: 0.01,
            recent_loss: 0.04,
            slices: 9,
        };
        roll.seen.push(StageObservation {
            stage: 0,
            elapsed_seconds: 45,
            measurements: vec![measured],
            verdict: None,
        });
        for (wide, high) in [(100, 30), (20, 6)] {
            let mut terminal = Terminal::new(TestBackend::new(wide, high)).expect("a terminal");
            terminal
                .draw(|frame| draw(frame, &roll))
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
                ] {
                    assert!(text.contains(part), "{part}: {text}");
                }
            }
        }
    }
}
