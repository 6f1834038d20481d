//! Tables of slopes: their fits, and the commands that repeat their measurements.

use super::budget::{slope_budget, slope_verdict, target_size};
use super::table::table;
use crate::figures::{Evaluation, Measurement, Slope};
use crate::fit::{Fit, FitError, FittedLine, Form, HoldOut};
use crate::format;

const FIT_COLUMNS: [&str; 12] = [
    "slope",
    "against",
    "form",
    "residual",
    "sizes (runs)",
    "kept out",
    "predicted, measured",
    "error",
    "at the size asked for",
    "next best form there",
    "budget",
    "verdict",
];
const COMMAND_COLUMNS: [&str; 5] = [
    "slope",
    "measured with (its largest size)",
    "runs",
    "left out, not ok",
    "left out, without the field",
];

/// The table of all slopes with their fits, values and verdicts.
pub(super) fn fit_table(evaluation: &Evaluation) -> String {
    let rows: Vec<Vec<String>> = evaluation
        .slopes()
        .map(|(slope, measurement)| fit_row(evaluation, slope, measurement))
        .collect();
    table(&FIT_COLUMNS, &rows)
}

fn fit_row(evaluation: &Evaluation, slope: &Slope, measurement: &Measurement) -> Vec<String> {
    let size_limit = slope.max_size.map_or_else(String::new, |size| {
        format!(" up to {}", format::number(size))
    });
    let mut row = vec![
        format!("`{}`: {}", slope.id(), slope.description),
        format!("`{}`{size_limit}", slope.input),
    ];
    row.extend(match &measurement.fit {
        Ok(fit) => fit_cells(evaluation, slope, fit),
        Err(error) => cells_without_fit(*error, measurement.points.len()),
    });
    row.push(format::budget(slope_budget(evaluation, slope), &slope.unit));
    row.push(slope_verdict(evaluation, slope));
    row
}

/// The cells of the columns from the form to the next best form.
fn fit_cells(evaluation: &Evaluation, slope: &Slope, fit: &Fit) -> Vec<String> {
    let line = &fit.line;
    let hold_out = &fit.hold_out;
    let size = target_size(evaluation, slope);
    let (smallest, largest) = fit.size_range;
    let residual = format::number(line.rms);
    let relative = format::share(fit.relative_rms);
    let predicted = format::interval(hold_out.predicted);
    let measured = format::number(hold_out.measured);
    vec![
        format!("{}: {}", line.form.name(), format::formula(fit)),
        format!("{residual} ({relative})"),
        format!(
            "{}, {} to {} ({})",
            fit.size_count - 1,
            format::number(smallest),
            format::number(largest),
            fit.run_count
        ),
        format::number(hold_out.size),
        format!("{predicted}, {measured}"),
        hold_out_error(hold_out),
        value_at_target(evaluation, slope, size, largest),
        fit.runner_up
            .as_ref()
            .map_or_else(|| "-".into(), |line| value_in_form(line, size)),
    ]
}

/// The same cells as [`fit_cells`], for a slope without a fit.
fn cells_without_fit(error: FitError, run_count: usize) -> Vec<String> {
    let none = || String::from("-");
    vec![
        error.to_string(),
        none(),
        format!("({run_count})"),
        none(),
        none(),
        none(),
        "not told".into(),
        none(),
    ]
}

fn hold_out_error(hold_out: &HoldOut) -> String {
    let missed = if hold_out.missed() {
        ", **missed**"
    } else {
        ""
    };
    format!("{}{missed}", format::share(hold_out.error()))
}

/// The value at the target size, and by which factor that exceeds the largest fitted size.
fn value_at_target(evaluation: &Evaluation, slope: &Slope, size: f64, largest: f64) -> String {
    let mut estimate = evaluation.estimate_slope(slope.id(), size);
    if let Ok(estimate) = &mut estimate {
        // The error column already shows that the fit missed its hold-out.
        estimate.missed_hold_out = false;
    }
    let value = format::estimate(&estimate, &slope.unit);
    let beyond = if size > largest {
        format!(
            ", {} times the fit's largest",
            format::number(size / largest)
        )
    } else {
        String::new()
    };
    format!("{value} at {}{beyond}", format::number(size))
}

fn value_in_form(line: &FittedLine, size: f64) -> String {
    let form = match line.form {
        Form::Constant => "flat",
        form => form.term(),
    };
    format!("{} ({form})", format::number(line.predict(size).max(0.0)))
}

/// The table of all slopes with the commands that measure them, and the numbers of used and ignored runs.
pub(super) fn command_table(evaluation: &Evaluation) -> String {
    let rows: Vec<Vec<String>> = evaluation
        .slopes()
        .map(|(slope, measurement)| command_row(slope, measurement))
        .collect();
    table(&COMMAND_COLUMNS, &rows)
}

fn command_row(slope: &Slope, measurement: &Measurement) -> Vec<String> {
    let command = if measurement.command.is_empty() {
        "not measured".into()
    } else {
        format!("`{}`", measurement.command)
    };
    vec![
        format!("`{}`", slope.id()),
        command,
        measurement.points.len().to_string(),
        count_or_dash(measurement.failed_runs),
        count_or_dash(measurement.incomplete_runs),
    ]
}

fn count_or_dash(count: usize) -> String {
    match count {
        0 => "-".into(),
        count => count.to_string(),
    }
}
