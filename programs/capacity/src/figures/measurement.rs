//! Selection of the runs of a slope, and their fit.

use super::file::Slope;
use crate::fit::{fit, Fit, FitError, Point};
use crate::runs::Run;
use thiserror::Error;

/// The fields of runs that are inputs. The runs of a slope must agree in all of them except its own input and those in
/// its filter.
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

/// The runs of a slope and their fit.
#[derive(Debug)]
pub struct Measurement {
    /// A point for each run used.
    pub points: Vec<Point>,
    /// Runs ignored because they failed.
    pub failed_runs: usize,
    /// Runs ignored because they lack the input or the output.
    pub incomplete_runs: usize,
    /// The command line of the run at the largest size.
    pub command: String,
    /// The fit, or the reason that the points can't be fitted.
    pub fit: Result<Fit, FitError>,
}

/// The reason that runs can't be combined in one slope.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum MeasurementError {
    /// They differ in an input that is neither the input of the slope nor in its filter.
    #[error(
        "its runs differ in {input} ({first}, {second}); set one value in its filter, or \"any\""
    )]
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
    /// Selects the runs of a slope and fits their outputs.
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
    /// Whether a run matches the tool, the filter and the maximum size of the slope.
    fn selects(&self, run: &Run) -> bool {
        let is_small_enough = |max: f64| run.number(&self.input).is_none_or(|size| size <= max);
        let passes =
            |(name, wanted): (&String, &toml::Value)| matches_filter(run.value.get(name), wanted);
        self.max_size.is_none_or(is_small_enough)
            && run.tool() == self.tool
            && self.filter.iter().all(passes)
    }

    /// The input and output of a run; `None` if either is absent.
    fn point(&self, run: &Run) -> Option<Point> {
        Some(Point {
            x: run.number(&self.input)?,
            y: run.number(&self.output)?,
        })
    }
}

/// Checks that runs have equal inputs, except the slope's own input and those in its filter.
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

/// Whether the value of a run's field matches that of a filter. `"any"` matches every value.
pub fn matches_filter(field: Option<&serde_json::Value>, wanted: &toml::Value) -> bool {
    match (field, wanted) {
        (_, toml::Value::String(any)) if any == "any" => true,
        // Runs recorded before an input was introduced lack its field; its value was 0.
        (None, toml::Value::Integer(0)) => true,
        (Some(serde_json::Value::String(field)), toml::Value::String(wanted)) => field == wanted,
        (Some(serde_json::Value::Bool(field)), toml::Value::Boolean(wanted)) => field == wanted,
        (Some(field), toml::Value::Integer(wanted)) => field.as_f64() == Some(*wanted as f64),
        (Some(field), toml::Value::Float(wanted)) => field.as_f64() == Some(*wanted),
        _ => false,
    }
}
