//! Placeholders, and which text each becomes.

use super::{budget, figure_tables, inline, slope_tables};
use crate::figures::{Evaluation, UnknownSlope};
use crate::format;
use crate::runs::RunStore;
use thiserror::Error;

/// An error in a placeholder.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PlaceholderError {
    /// It is none of those that there are.
    #[error(
        "no such placeholder; right is measured, slope ID, at ID SIZE, figure ID, sum ID, verdict ID, \
         run TOOL FIELD NAME=VALUE..., plot ID, table slopes, commands, assumptions, first or a role"
    )]
    Unknown,
    /// It names a slope that is not defined.
    #[error(transparent)]
    UnknownSlope(#[from] UnknownSlope),
    /// It names a figure that is not defined.
    #[error("{id} is no figure; right is one of {}", .known.join(", "))]
    UnknownFigure {
        /// The name.
        id: String,
        /// The figures that there are.
        known: Vec<String>,
    },
    /// It names a table that there is not.
    #[error(
        "{name} is no table; right is slopes, commands, assumptions, first, {}",
        .roles.join(", ")
    )]
    UnknownTable {
        /// The name.
        name: String,
        /// The roles that have a table.
        roles: Vec<String>,
    },
    /// A slope's size is no number.
    #[error("{0} is no size; right is a number")]
    InvalidSize(String),
    /// An input of runs has no value.
    #[error("{0} is no input; right is NAME=VALUE")]
    InvalidInput(String),
    /// It asks for the plot of a slope that has none.
    #[error(
        "{0} has no plot; right is plot = \"log-log\", \"log-x\" or \"plain\" in figures.toml"
    )]
    NoPlot(String),
}

/// The text that a placeholder becomes.
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
