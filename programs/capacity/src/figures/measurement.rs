//! The runs of a slope, selected by its filter, and the fit through them.

use super::file::Slope;
use crate::fit::{fit, Fit, FitError, Point};
use crate::runs::Run;
use thiserror::Error;

/// The inputs of a run: runs of one slope differ in none but its own input, unless its filter says so.
const INPUTS: [&str; 28] = [
    "front_ends",
    "functions",
    "instances",
    "changes_hour",
    "away_hour",
    "dead",
    "tier",
    "regions",
    "cut_regions",
    "real",
    "what",
    "seats",
    "stay",
    "stay_seconds",
    "lease_ms",
    "strict_every",
    "burst",
    "cut_seconds",
    "unlisted",
    "changes",
    "by_scope",
    "scopes",
    "rack",
    "zone",
    "rolling",
    "evenly",
    "held",
    "held_by_dead",
];

/// A slope's runs and the fit through them.
#[derive(Debug)]
pub struct Measurement {
    /// A point for each run.
    pub points: Vec<Point>,
    /// Runs ignored because they failed.
    pub failed_runs: usize,
    /// Runs ignored because they lack the input or the output.
    pub incomplete_runs: usize,
    /// The command of the run at the largest size.
    pub command: String,
    /// The fit, or the reason that there is none.
    pub fit: Result<Fit, FitError>,
}

/// The reason that runs can't be combined in one slope.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum MeasurementError {
    /// They differ in an input that is neither that of the slope nor in its filter.
    #[error("its runs differ in {input} ({first}, {second}); right is one value of it in filter, or \"any\"")]
    DifferentInputs {
        /// The input's field.
        input: &'static str,
        /// One of its values, as JSON.
        first: String,
        /// Another of its values, as JSON.
        second: String,
    },
}

impl Measurement {
    /// Selects the runs of a slope and fits a form to them.
    pub(super) fn new(slope: &Slope, runs: &[Run]) -> Result<Measurement, MeasurementError> {
        let selected: Vec<(&Run, Option<Point>)> = runs
            .iter()
            .filter(|run| slope.selects(run))
            .map(|run| (run, slope.point(run)))
            .collect();
        let incomplete_runs = selected
            .iter()
            .filter(|(run, point)| run.ok() && point.is_none())
            .count();
        let complete = selected.iter().filter_map(|(run, p)| Some((*run, (*p)?)));
        let (used, failed): (Vec<_>, Vec<_>) = complete.partition(|(run, _)| run.ok());
        check_inputs(slope, &used)?;
        let largest = used.iter().max_by(|a, b| a.1.x.total_cmp(&b.1.x));
        let points: Vec<Point> = used.iter().map(|(_, point)| *point).collect();
        Ok(Measurement {
            failed_runs: failed.len(),
            incomplete_runs,
            command: largest.map_or_else(String::new, |(run, _)| run.command().into()),
            fit: fit(&points, slope.hold_out),
            points,
        })
    }
}

impl Slope {
    /// Whether a run is one of the slope's.
    fn selects(&self, run: &Run) -> bool {
        let is_small_enough = |max: f64| run.number(&self.input).is_none_or(|size| size <= max);
        let passes =
            |(name, wanted): (&String, &toml::Value)| matches_filter(run.value.get(name), wanted);
        self.max_size.is_none_or(is_small_enough)
            && run.tool() == self.tool
            && self.filter.iter().all(passes)
    }

    /// The point that a run measured, if it has both fields.
    fn point(&self, run: &Run) -> Option<Point> {
        Some(Point {
            x: run.number(&self.input)?,
            y: run.number(&self.output)?,
        })
    }
}

/// Checks that runs have the same inputs, but for the slope's own and those of its filter.
fn check_inputs(slope: &Slope, runs: &[(&Run, Point)]) -> Result<(), MeasurementError> {
    for input in INPUTS {
        if input == slope.input || slope.filter.contains_key(input) {
            continue;
        }
        let text = |run: &Run| match run.value.get(input) {
            Some(value) => value.to_string(),
            None => "nothing".into(),
        };
        let mut values: Vec<String> = runs.iter().map(|(run, _)| text(run)).collect();
        values.sort();
        values.dedup();
        if let [first, second, ..] = &values[..] {
            return Err(MeasurementError::DifferentInputs {
                input,
                first: first.clone(),
                second: second.clone(),
            });
        }
    }
    Ok(())
}

/// Whether a run's field has the value that a filter asks for.
pub fn matches_filter(field: Option<&serde_json::Value>, wanted: &toml::Value) -> bool {
    match (field, wanted) {
        (_, toml::Value::String(any)) if any == "any" => true,
        // An input that was added later was 0 before.
        (None, toml::Value::Integer(0)) => true,
        (Some(serde_json::Value::String(field)), toml::Value::String(wanted)) => field == wanted,
        (Some(serde_json::Value::Bool(field)), toml::Value::Boolean(wanted)) => field == wanted,
        (Some(field), toml::Value::Integer(wanted)) => field.as_f64() == Some(*wanted as f64),
        (Some(field), toml::Value::Float(wanted)) => field.as_f64() == Some(*wanted),
        _ => false,
    }
}
