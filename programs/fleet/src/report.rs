//! One page on a roll, with everything in it.

use plotters::prelude::*;
use tansy_canary::{Measurement, Verdict};
use tansy_rollout::{Rollout, RolloutChange, RolloutPhase, StageObservation};

/// What was said of a stage, in words.
pub fn said(seen: &StageObservation) -> String {
    match &seen.verdict {
        None => "nothing said yet".into(),
        Some(Verdict::Fine) => "no worse".into(),
        Some(Verdict::Worse { why }) => format!("worse: {why}"),
        Some(Verdict::Open { needs, .. }) => format!("not known yet: {needs}"),
        Some(Verdict::Held { slices }) => format!("both sides in trouble for {slices} slices"),
    }
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// Losses with their intervals.
fn bars(all: &[Measurement]) -> Result<String, String> {
    let mut svg = String::new();
    {
        let height = 60 + 28 * all.len() as u32;
        let area = SVGBackend::with_string(&mut svg, (760, height)).into_drawing_area();
        draw(&area, all).map_err(|e| e.to_string())?;
    }
    Ok(svg)
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw(area: &Area<'_>, all: &[Measurement]) -> Result<(), Box<dyn std::error::Error>> {
    area.fill(&WHITE)?;
    let far = |m: &Measurement| (m.loss.abs() + m.half.min(0.2)) * 100.0;
    let most = all.iter().map(far).fold(1.0, f64::max) * 1.1;
    let count = all.len() as f64;
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(190)
        .build_cartesian_2d(-most..most, -0.5..count - 0.5)?;
    let name = |y: &f64| {
        let n = y.round();
        let is = (y - n).abs() < 1e-6 && n >= 0.0;
        all.get(n as usize)
            .filter(|_| is)
            .map_or(String::new(), |m| m.what.clone())
    };
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(all.len() * 2 + 1)
        .y_label_formatter(&name)
        .x_desc("points lost by the new side, with the interval that holds at all looks")
        .draw()?;
    for (n, m) in all.iter().enumerate() {
        let (y, x, half) = (n as f64, m.loss * 100.0, m.half.min(0.2) * 100.0);
        let color = if x - half > 0.0 { RED } else { BLUE };
        chart.draw_series([PathElement::new(
            vec![(x - half, y), (x + half, y)],
            color.stroke_width(2),
        )])?;
        chart.draw_series([Circle::new((x, y), 4, color.filled())])?;
    }
    chart.draw_series([PathElement::new(
        vec![(0.0, -0.5), (0.0, count - 0.5)],
        BLACK,
    )])?;
    area.present()?;
    Ok(())
}

/// The page.
pub fn page(roll: &Rollout) -> Result<String, String> {
    let what = match &roll.what {
        RolloutChange::Program { label, path } => format!("the program {path}, {label}"),
        RolloutChange::Settings => "settings".to_string(),
    };
    let end = match roll.phase {
        RolloutPhase::Done => "done: all front ends are changed",
        RolloutPhase::Stopped => "stopped: all front ends are as they were",
        RolloutPhase::Back => "going back",
        RolloutPhase::Moving | RolloutPhase::Judging => "under way",
    };
    let mut out = String::from(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Roll</title><style>body{font:15px sans-serif;\
         max-width:60em;margin:2em auto;padding:0 1em}table{border-collapse:collapse}td,th{border-bottom:1px solid #ccc;\
         padding:.2em .8em;text-align:right}td:first-child,th:first-child{text-align:left}</style></head><body>",
    );
    out += &format!(
        "<h1>Roll {}</h1><p>Of {}. <b>{}</b></p>",
        roll.id,
        escaped(&what),
        end
    );
    out += &format!("<p>{}</p>", escaped(&roll.why));
    for seen in &roll.seen {
        let names: Vec<&str> = roll
            .plan
            .stages
            .get(seen.stage)
            .into_iter()
            .flatten()
            .map(|p| p.name.as_str())
            .collect();
        out += &format!(
            "<h2>Stage {}</h2><p>{}. Stood for {} s. {}</p>",
            seen.stage + 1,
            escaped(&names.join(", ")),
            seen.elapsed_seconds,
            escaped(&said(seen))
        );
        if seen.measurements.is_empty() {
            continue;
        }
        out += "<table><tr><th>share lost</th><th>old</th><th>new</th><th>loss, points</th><th>give or take</th><th>slices</th></tr>";
        for m in &seen.measurements {
            out += &format!(
                "<tr><td>{}</td><td>{:.3}%</td><td>{:.3}%</td><td>{:+.3}</td><td>{:.3}</td><td>{}</td></tr>",
                escaped(&m.what),
                m.old * 100.0,
                m.new * 100.0,
                m.loss * 100.0,
                m.half * 100.0,
                m.slices
            );
        }
        out += "</table>";
        out += &bars(&seen.measurements)?;
    }
    out += "<h2>Steps</h2><ol>";
    roll.steps
        .iter()
        .for_each(|s| out += &format!("<li>{}</li>", escaped(s)));
    out += "</ol><details><summary>All as JSON</summary><pre>";
    out += &escaped(&serde_json::to_string_pretty(roll).map_err(|e| e.to_string())?);
    out += "</pre></details></body></html>";
    Ok(out)
}
