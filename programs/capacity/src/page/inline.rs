//! Placeholders that expand to text within a sentence.

use super::budget::target_size;
use super::placeholder::PlaceholderError;
use crate::figures::{matches_filter, EstimateResult, Evaluation, Figure, Overrides};
use crate::format;
use crate::plot;
use crate::runs::RunStore;
use std::fmt::Write;

const NOT_MEASURED: &str = "not measured";

/// The date of the last recorded run, the machine, and the number of runs.
pub(super) fn measurement_summary(store: &RunStore) -> String {
    let machine = &store.machine;
    format!(
        "{}, {} cores, {} GiB, {} runs, {} of them ok",
        store.date,
        machine.cores,
        machine.memory_gb,
        store.runs.len(),
        store.runs.iter().filter(|run| run.ok()).count()
    )
}

/// A slope's form, coefficients, and value at the target size.
pub(super) fn slope_summary(evaluation: &Evaluation, id: &str) -> Result<String, PlaceholderError> {
    let (slope, measurement) = evaluation.slope(id)?;
    let fit = match &measurement.fit {
        Ok(fit) => fit,
        Err(error) => return Ok(error.to_string()),
    };
    let size = target_size(evaluation, slope);
    let estimate = evaluation.estimate_slope(id, size);
    Ok(format!(
        "{}, {}; at {}: {}",
        fit.line.form.name(),
        format::formula(fit),
        format::number(size),
        format::estimate(&estimate, &slope.unit)
    ))
}

/// A figure's value with its interval.
pub(super) fn figure_value(evaluation: &Evaluation, id: &str) -> Result<String, PlaceholderError> {
    let (figure, estimate) = find_figure(evaluation, id)?;
    Ok(format::estimate(&estimate, &figure.unit))
}

/// The figure with this id, and its value.
pub(super) fn find_figure<'a>(
    evaluation: &'a Evaluation,
    id: &str,
) -> Result<(&'a Figure, EstimateResult), PlaceholderError> {
    let figures = &evaluation.definitions.figures;
    let estimates = evaluation.estimate_figures(&Overrides::new());
    figures
        .iter()
        .zip(estimates)
        .find(|(figure, _)| figure.id == id)
        .ok_or_else(|| PlaceholderError::UnknownFigure {
            id: id.into(),
            known: figures.iter().map(|figure| figure.id.clone()).collect(),
        })
}

/// The terms of a figure with their values, and their sum.
pub(super) fn figure_sum(evaluation: &Evaluation, id: &str) -> Result<String, PlaceholderError> {
    let (figure, total) = find_figure(evaluation, id)?;
    let mut text = String::new();
    let terms = evaluation.estimate_terms(figure);
    for (index, (term_text, estimate)) in terms.into_iter().enumerate() {
        let negated = term_text.trim().strip_prefix('-');
        let sign = match (index, negated) {
            (0, None) => "",
            (0, Some(_)) => "-",
            (_, Some(_)) => " - ",
            (_, None) => " + ",
        };
        let term = negated.map_or(term_text, str::trim);
        let value = match estimate {
            Ok(estimate) => format::number(estimate.interval.mid),
            Err(error) => error.to_string(),
        };
        let _ = write!(text, "{sign}`{term}` ({value})");
    }
    let total = format::estimate(&total, &figure.unit);
    Ok(format!("{text} = {total}"))
}

/// The mean and range of a field over the runs of a tool with the given inputs.
pub(super) fn run_field_summary(
    store: &RunStore,
    tool: &str,
    field: &str,
    inputs: &[&str],
) -> Result<String, PlaceholderError> {
    let mut filter = vec![("tool", toml::Value::from(tool))];
    for input in inputs {
        filter.push(parse_input(input)?);
    }
    let values: Vec<f64> = store
        .runs
        .iter()
        .filter(|run| {
            filter
                .iter()
                .all(|(name, wanted)| matches_filter(run.value.get(*name), wanted))
        })
        .filter_map(|run| run.number(field))
        .collect();
    Ok(mean_and_range(&values))
}

/// Parses an input in the form `NAME=VALUE`.
fn parse_input(input: &str) -> Result<(&str, toml::Value), PlaceholderError> {
    let (name, text) = input
        .split_once('=')
        .ok_or_else(|| PlaceholderError::InvalidInput(input.into()))?;
    let value = match (text.parse::<f64>(), text.parse::<bool>()) {
        (Ok(number), _) => toml::Value::from(number),
        (_, Ok(flag)) => toml::Value::from(flag),
        _ => toml::Value::from(text),
    };
    Ok((name, value))
}

fn mean_and_range(values: &[f64]) -> String {
    let Some(minimum) = values.iter().copied().reduce(f64::min) else {
        return NOT_MEASURED.into();
    };
    let maximum = values.iter().copied().fold(minimum, f64::max);
    let mean = format::number(values.iter().sum::<f64>() / values.len() as f64);
    match values.len() {
        1 => format!("{mean} (1 run)"),
        count => format!(
            "{mean} ({} to {}, {count} runs)",
            format::number(minimum),
            format::number(maximum)
        ),
    }
}

/// The Markdown image of a slope's plot, or a note if the slope was not measured.
pub(super) fn plot_image(evaluation: &Evaluation, id: &str) -> Result<String, PlaceholderError> {
    let (slope, measurement) = evaluation.slope(id)?;
    if slope.plot.is_none() {
        return Err(PlaceholderError::NoPlot(id.into()));
    }
    let description = &slope.description;
    if measurement.points.is_empty() {
        return Ok(format!("(no plot of {description}: {NOT_MEASURED})"));
    }
    Ok(format!("![{description}](img/{})", plot::file_name(slope)))
}
