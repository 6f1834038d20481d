//! Parsing and dispatch of placeholders.

use super::{budget, figure_tables, inline, slope_tables};
use crate::figures::{Evaluation, UnknownSlope};
use crate::format;
use crate::runs::RunStore;
use thiserror::Error;

/// An error in a placeholder.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PlaceholderError {
    /// No such placeholder exists.
    #[error(
        "no such placeholder; expected measured, slope ID, at ID SIZE, figure ID, sum ID, verdict ID, \
         run TOOL FIELD NAME=VALUE..., plot ID, table slopes, commands, assumptions, first or a role"
    )]
    Unknown,
    /// The placeholder refers to an undefined slope.
    #[error(transparent)]
    UnknownSlope(#[from] UnknownSlope),
    /// The placeholder refers to an undefined figure.
    #[error("{id} is not a figure; expected one of {}", .known.join(", "))]
    UnknownFigure {
        /// The undefined name.
        id: String,
        /// The ids of the defined figures.
        known: Vec<String>,
    },
    /// The placeholder refers to an unknown table.
    #[error(
        "{name} is not a table; expected slopes, commands, assumptions, first, {}",
        .roles.join(", ")
    )]
    UnknownTable {
        /// The undefined name.
        name: String,
        /// The roles of the defined figures.
        roles: Vec<String>,
    },
    /// The size of a slope is not a number.
    #[error("{0} is not a size; expected a number")]
    InvalidSize(String),
    /// An input of runs is not in the form `NAME=VALUE`.
    #[error("{0} is not an input; expected NAME=VALUE")]
    InvalidInput(String),
    /// The slope defines no plot.
    #[error("{0} has no plot; set plot = \"log-log\", \"log-x\" or \"plain\" in figures.toml")]
    NoPlot(String),
}

/// Expands the text between the braces of a placeholder.
pub(super) fn expand(
    text: &str,
    evaluation: &Evaluation,
    store: &RunStore,
) -> Result<String, PlaceholderError> {
    let words: Vec<&str> = text.split_whitespace().collect();
    match &words[..] {
        ["measured"] => Ok(inline::measurement_summary(store)),
        ["slope", id] => inline::slope_summary(evaluation, id),
        ["at", id, size] => slope_at(evaluation, id, size),
        ["figure", id] => inline::figure_value(evaluation, id),
        ["sum", id] => inline::figure_sum(evaluation, id),
        ["verdict", id] => verdict(evaluation, id),
        ["run", tool, field, inputs @ ..] => inline::run_field_summary(store, tool, field, inputs),
        ["plot", id] => inline::plot_image(evaluation, id),
        ["table", "slopes"] => Ok(slope_tables::fit_table(evaluation)),
        ["table", "commands"] => Ok(slope_tables::command_table(evaluation)),
        ["table", "assumptions"] => Ok(figure_tables::assumption_table(evaluation)),
        ["table", "first"] => Ok(figure_tables::budget_share_table(evaluation)),
        ["table", role @ ..] if !role.is_empty() => {
            figure_tables::role_table(evaluation, &role.join(" "))
        }
        _ => Err(PlaceholderError::Unknown),
    }
}

fn slope_at(evaluation: &Evaluation, id: &str, size: &str) -> Result<String, PlaceholderError> {
    let (slope, _) = evaluation.slope(id)?;
    let size = size
        .replace('_', "")
        .parse()
        .map_err(|_| PlaceholderError::InvalidSize(size.into()))?;
    let estimate = evaluation.estimate_slope(id, size);
    Ok(format::estimate(&estimate, &slope.unit))
}

fn verdict(evaluation: &Evaluation, id: &str) -> Result<String, PlaceholderError> {
    if let Ok((slope, _)) = evaluation.slope(id) {
        return Ok(budget::slope_verdict(evaluation, slope));
    }
    let (figure, estimate) = inline::find_figure(evaluation, id)?;
    Ok(budget::figure_verdict(evaluation, figure, &estimate))
}
