//! The report on a rollout: a self-contained HTML page.

use crate::FleetError;
use plotters::prelude::*;
use tansy_canary::{Measurement, Verdict};
use tansy_rollout::{Rollout, RolloutChange, RolloutPhase, StageObservation};

/// The verdict on a stage, for operators.
pub fn verdict_text(observation: &StageObservation) -> String {
    match &observation.verdict {
        None => "no verdict yet".into(),
        Some(Verdict::Pass) => "no worse".into(),
        Some(Verdict::Fail { reason }) => format!("worse: {reason}"),
        Some(Verdict::Inconclusive { needs, .. }) => format!("inconclusive: {needs}"),
        Some(Verdict::SharedFault { slices }) => {
            format!("changed and unchanged front ends in trouble for {slices} slices")
        }
    }
}

/// The page up to its first heading.
const PAGE_HEAD: &str = "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Rollout</title><style>body{font:15px sans-serif;\
    max-width:60em;margin:2em auto;padding:0 1em}table{border-collapse:collapse}td,th{border-bottom:1px solid #ccc;\
    padding:.2em .8em;text-align:right}td:first-child,th:first-child{text-align:left}</style></head><body>";

/// Escapes text for HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// Draws the losses with their confidence intervals as an SVG image.
fn loss_chart(measurements: &[Measurement]) -> Result<String, FleetError> {
    let mut svg = String::new();
    {
        let height = 60 + 28 * measurements.len() as u32;
        let area = SVGBackend::with_string(&mut svg, (760, height)).into_drawing_area();
        draw(&area, measurements).map_err(|error| FleetError::Report(error.to_string()))?;
    }
    Ok(svg)
}

/// Half width up to which a confidence interval is drawn, so that a wide one does not flatten the others.
const MAX_HALF_WIDTH: f64 = 0.2;

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;
type DrawingError<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

/// A loss and the half width of its confidence interval, in percentage points.
fn loss_points(measurement: &Measurement) -> (f64, f64) {
    (
        measurement.loss * 100.0,
        measurement.half_width.min(MAX_HALF_WIDTH) * 100.0,
    )
}

fn draw<'a>(area: &Area<'a>, measurements: &[Measurement]) -> Result<(), DrawingError<'a>> {
    area.fill(&WHITE)?;
    let extent = |measurement: &Measurement| {
        (measurement.loss.abs() + measurement.half_width.min(MAX_HALF_WIDTH)) * 100.0
    };
    let limit = measurements.iter().map(extent).fold(1.0, f64::max) * 1.1;
    let count = measurements.len() as f64;
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(190)
        .build_cartesian_2d(-limit..limit, -0.5..count - 0.5)?;
    let name = |y: &f64| {
        let row = y.round();
        let is_row = (y - row).abs() < 1e-6 && row >= 0.0;
        measurements
            .get(row as usize)
            .filter(|_| is_row)
            .map_or(String::new(), |measurement| measurement.metric.clone())
    };
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(measurements.len() * 2 + 1)
        .y_label_formatter(&name)
        .x_desc("loss by the change in percentage points, with its confidence interval")
        .draw()?;
    for (row, measurement) in measurements.iter().enumerate() {
        let y = row as f64;
        let (x, half_width) = loss_points(measurement);
        let color = if x - half_width > 0.0 { RED } else { BLUE };
        let interval = vec![(x - half_width, y), (x + half_width, y)];
        chart.draw_series([PathElement::new(interval, color.stroke_width(2))])?;
        chart.draw_series([Circle::new((x, y), 4, color.filled())])?;
    }
    let zero = vec![(0.0, -0.5), (0.0, count - 0.5)];
    chart.draw_series([PathElement::new(zero, BLACK)])?;
    area.present()
}

/// Returns the HTML page on a rollout.
pub fn page(rollout: &Rollout) -> Result<String, FleetError> {
    let change = match &rollout.change {
        RolloutChange::Program { label, path } => format!("program {path} ({label})"),
        RolloutChange::Settings => "settings".to_string(),
    };
    let end = match rollout.phase {
        RolloutPhase::Completed => "Completed: all front ends are changed.",
        RolloutPhase::RolledBack => "Rolled back: all front ends are unchanged.",
        RolloutPhase::RollingBack => "Rolling back.",
        RolloutPhase::Changing | RolloutPhase::Analysing => "In progress.",
    };
    let mut html = String::from(PAGE_HEAD);
    html += &format!(
        "<h1>Rollout {}</h1><p>Change: {}. <b>{}</b></p>",
        rollout.id,
        escape(&change),
        end
    );
    html += &format!("<p>{}</p>", escape(&rollout.reason));
    for observation in &rollout.observations {
        add_stage(&mut html, rollout, observation)?;
    }
    html += "<h2>Steps</h2><ol>";
    for step in &rollout.steps {
        html += &format!("<li>{}</li>", escape(step));
    }
    html += "</ol><details><summary>Rollout as JSON</summary><pre>";
    let json = serde_json::to_string_pretty(rollout);
    html += &escape(&json.map_err(|error| FleetError::Report(error.to_string()))?);
    html += "</pre></details></body></html>";
    Ok(html)
}

fn add_stage(
    html: &mut String,
    rollout: &Rollout,
    observation: &StageObservation,
) -> Result<(), FleetError> {
    let names: Vec<&str> = rollout
        .plan
        .stages
        .get(observation.stage)
        .into_iter()
        .flatten()
        .map(|target| target.name.as_str())
        .collect();
    *html += &format!(
        "<h2>Stage {}</h2><p>{}. Analysed for {} s: {}</p>",
        observation.stage + 1,
        escape(&names.join(", ")),
        observation.elapsed_seconds,
        escape(&verdict_text(observation))
    );
    if observation.measurements.is_empty() {
        return Ok(());
    }
    *html += "<table><tr><th>metric</th><th>old</th><th>new</th><th>loss, points</th><th>+-</th><th>slices</th></tr>";
    for measurement in &observation.measurements {
        *html += &format!(
            "<tr><td>{}</td><td>{:.3}%</td><td>{:.3}%</td><td>{:+.3}</td><td>{:.3}</td><td>{}</td></tr>",
            escape(&measurement.metric),
            measurement.baseline_loss_rate * 100.0,
            measurement.canary_loss_rate * 100.0,
            measurement.loss * 100.0,
            measurement.half_width * 100.0,
            measurement.slices
        );
    }
    *html += "</table>";
    *html += &loss_chart(&observation.measurements)?;
    Ok(())
}
