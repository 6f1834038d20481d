//! The terminal screen of `rollout status --watch`.

use crate::report::verdict_text;
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Color, Style};
use ratatui::text::Line;
use ratatui::widgets::{Block, Gauge, List, ListItem, Paragraph, Row, Table, Wrap};
use ratatui::Frame;
use tansy_rollout::{Rollout, RolloutChange, RolloutPhase};

/// Maximum number of steps shown, the latest ones.
const MAX_STEPS: usize = 7;

/// Draws a rollout.
pub(crate) fn draw(frame: &mut Frame<'_>, rollout: &Rollout) {
    let [state, progress, measurements, steps] = Layout::vertical([
        Constraint::Length(4),
        Constraint::Length(3),
        Constraint::Min(8),
        Constraint::Length(9),
    ])
    .areas(frame.area());
    let (phase, color) = match rollout.phase {
        RolloutPhase::Changing => ("changing front ends", Color::Yellow),
        RolloutPhase::Analysing => ("analysing", Color::Yellow),
        RolloutPhase::RollingBack => ("rolling back", Color::Red),
        RolloutPhase::Completed => ("done", Color::Green),
        RolloutPhase::RolledBack => ("rolled back", Color::Red),
    };
    draw_state(frame, state, rollout, phase, color);
    draw_progress(frame, progress, rollout, color);
    draw_measurements(frame, measurements, rollout);
    draw_steps(frame, steps, rollout);
}

fn draw_state(frame: &mut Frame<'_>, area: Rect, rollout: &Rollout, phase: &str, color: Color) {
    let change = match &rollout.change {
        RolloutChange::Program { path, .. } => format!("program {path}"),
        RolloutChange::Settings => "settings".to_string(),
    };
    let paused = if rollout.paused { ", paused" } else { "" };
    let text = vec![
        Line::styled(format!("{change}: {phase}{paused}"), Style::new().fg(color)),
        Line::raw(rollout.reason.clone()),
    ];
    let title = format!("rollout {}, controller: {}", rollout.id, rollout.controller);
    let state = Paragraph::new(text)
        .wrap(Wrap { trim: true })
        .block(Block::bordered().title(title));
    frame.render_widget(state, area);
}

/// Draws how many of the plan's front ends are changed, and which of them are released to be changed or changed back now.
fn draw_progress(frame: &mut Frame<'_>, area: Rect, rollout: &Rollout, color: Color) {
    let target_count = rollout.plan.targets().count().max(1);
    let share = (rollout.changed.len() as f64 / target_count as f64).clamp(0.0, 1.0);
    let released: Vec<&str> = rollout.released.iter().map(String::as_str).collect();
    let label = format!(
        "stage {} of {}; {} of all {target_count} front ends changed; released: [{}]",
        rollout.stage + 1,
        rollout.plan.stages.len(),
        rollout.changed.len(),
        released.join(" ")
    );
    let gauge = Gauge::default()
        .block(Block::bordered())
        .gauge_style(color)
        .ratio(share)
        .label(label);
    frame.render_widget(gauge, area);
}

fn draw_steps(frame: &mut Frame<'_>, area: Rect, rollout: &Rollout) {
    let hidden = rollout.steps.len().saturating_sub(MAX_STEPS);
    let items = rollout.steps.iter().skip(hidden);
    let list = List::new(items.map(|step| ListItem::new(step.as_str())))
        .block(Block::bordered().title("steps"));
    frame.render_widget(list, area);
}

/// Draws the last observed measurements: the loss rate of the unchanged and of the changed front ends, the loss caused by the change
/// with the half width of its confidence interval, and the number of time slices measured. A row is red if the whole interval is
/// above zero.
fn draw_measurements(frame: &mut Frame<'_>, area: Rect, rollout: &Rollout) {
    let Some(observation) = rollout.observations.last() else {
        let empty = Paragraph::new("no measurements yet").block(Block::bordered());
        return frame.render_widget(empty, area);
    };
    let row = |measurement: &tansy_canary::Measurement| {
        let color = if measurement.loss - measurement.half_width > 0.0 {
            Color::Red
        } else {
            Color::Reset
        };
        Row::new(vec![
            measurement.metric.clone(),
            format!("{:.3}%", measurement.baseline_loss_rate * 100.0),
            format!("{:.3}%", measurement.canary_loss_rate * 100.0),
            format!("{:+.3}", measurement.loss * 100.0),
            format!("{:.3}", measurement.half_width * 100.0),
            measurement.slices.to_string(),
        ])
        .style(Style::new().fg(color))
    };
    let widths = [30, 10, 10, 10, 12, 8].map(Constraint::Length);
    let title = format!(
        "stage {}, analysed for {} s: {}",
        observation.stage + 1,
        observation.elapsed_seconds,
        verdict_text(observation)
    );
    let table = Table::new(observation.measurements.iter().map(row), widths)
        .header(Row::new([
            "metric",
            "unchanged",
            "changed",
            "loss",
            "half width",
            "slices",
        ]))
        .block(Block::bordered().title(title));
    frame.render_widget(table, area);
}

#[cfg(test)]
mod tests;
