//! SVG plots of simulation results.

use crate::fleet::SimulationSummary;
use crate::rollout::{DecisionRule, Regression, RolloutSummary};
use plotters::prelude::*;
use std::path::{Path, PathBuf};

type DrawingError = DrawingAreaErrorKind<std::io::Error>;

/// Why a plot could not be drawn.
#[derive(Debug, thiserror::Error)]
pub enum PlotError {
    /// There are no summaries to plot.
    #[error("there are no simulation results to plot")]
    NoSummary,
    /// The chart could not be laid out or the file not be written.
    #[error("{}: {source}", path.display())]
    Drawing {
        /// The output file.
        path: PathBuf,
        /// The underlying error.
        source: DrawingError,
    },
}

impl PlotError {
    fn drawing(path: &Path) -> impl FnOnce(DrawingError) -> PlotError + '_ {
        move |source| PlotError::Drawing {
            path: path.to_path_buf(),
            source,
        }
    }
}

/// Plots the time from the proposal of a version until it is in force at every front end against the fleet size, as median
/// and 99th percentile.
pub fn versions_in_force(path: &Path, summaries: &[SimulationSummary]) -> Result<(), PlotError> {
    let sizes: Vec<f64> = summaries.iter().map(|s| s.front_ends as f64).collect();
    let (Some(min_size), Some(max_size)) = (
        sizes.iter().copied().reduce(f64::min),
        sizes.iter().copied().reduce(f64::max),
    ) else {
        return Err(PlotError::NoSummary);
    };
    let max_ms = summaries
        .iter()
        .map(|s| s.in_force_ms[1])
        .max()
        .unwrap_or(1)
        .max(1) as f64
        * 1.1;
    draw_in_force(
        path,
        summaries,
        min_size,
        max_size.max(min_size + 1.0),
        max_ms,
    )
    .map_err(PlotError::drawing(path))
}

fn draw_in_force(
    path: &Path,
    summaries: &[SimulationSummary],
    min_size: f64,
    max_size: f64,
    max_ms: f64,
) -> Result<(), DrawingError> {
    let area = SVGBackend::new(path, (720, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "Time until a version is in force at every front end",
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d((min_size..max_size).log_scale(), 0.0..max_ms)?;
    let whole = |x: &f64| format!("{x:.0}");
    chart
        .configure_mesh()
        .x_desc("front ends")
        .y_desc("milliseconds")
        .x_label_formatter(&whole)
        .y_label_formatter(&whole)
        .draw()?;
    for (index, name, color) in [(0, "median", BLUE), (1, "99th percentile", RED)] {
        let points: Vec<(f64, f64)> = summaries
            .iter()
            .map(|s| (s.front_ends as f64, s.in_force_ms[index] as f64))
            .collect();
        let key = move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color);
        chart
            .draw_series(LineSeries::new(points.clone(), color))?
            .label(name)
            .legend(key);
        chart.draw_series(
            points
                .into_iter()
                .map(|p| Circle::new(p, 3, color.filled())),
        )?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

/// Plots the share of stopped rollouts against the share of requests that the change loses, for each decision rule.
pub fn stopped_rollouts(path: &Path, summaries: &[RolloutSummary]) -> Result<(), PlotError> {
    let percent_lost = |regression: Regression| match regression {
        Regression::None => Some(0.0),
        Regression::All(share) => Some(share * 100.0),
        _ => None,
    };
    let line = |name: &'static str, has_rule: fn(&DecisionRule) -> bool| {
        let of_rule = summaries.iter().filter(|s| has_rule(&s.options.rule));
        let points: Vec<(f64, f64)> = of_rule
            .filter_map(|s| Some((percent_lost(s.options.regression)?, s.stopped * 100.0)))
            .collect();
        (name, points)
    };
    let lines = [
        line("canary analysis", |rule| *rule == DecisionRule::Verdict),
        line("fixed threshold", |rule| {
            matches!(rule, DecisionRule::Threshold(_))
        }),
        line("difference from the loss before the change", |rule| {
            matches!(rule, DecisionRule::OwnPast(_))
        }),
    ];
    draw_rollouts(path, &lines).map_err(PlotError::drawing(path))
}

fn draw_rollouts(
    path: &Path,
    lines: &[(&'static str, Vec<(f64, f64)>)],
) -> Result<(), DrawingError> {
    let area = SVGBackend::new(path, (720, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Stopped rollouts", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..20.0, 0.0..105.0)?;
    chart
        .configure_mesh()
        .x_desc("requests lost to the change, percentage points")
        .y_desc("stopped, percent")
        .draw()?;
    for ((name, points), color) in lines.iter().zip([BLUE, RED, GREEN]) {
        if points.is_empty() {
            continue;
        }
        let key = move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color);
        chart
            .draw_series(LineSeries::new(points.iter().copied(), color))?
            .label(*name)
            .legend(key);
        chart.draw_series(points.iter().map(|p| Circle::new(*p, 3, color.filled())))?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
