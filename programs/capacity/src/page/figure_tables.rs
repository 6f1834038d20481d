//! Tables of figures: by role, by share of the budget, and by sensitivity to assumptions.

use super::budget::{compare_with_budget, figure_budget, figure_verdict, figure_verdict_with};
use super::placeholder::PlaceholderError;
use super::table::table;
use crate::figures::{Assumption, EstimateResult, Evaluation, Figure, Overrides};
use crate::format;

/// The given number that is the size of the fleet.
const FLEET_SIZE_NAME: &str = "front_ends";
/// The search for the fleet size at which a budget is used up stops at this multiple of the given size.
const MAX_GROWTH_FACTOR: f64 = 100.0;
/// Number of bisection steps in the search.
const BISECTION_STEPS: usize = 60;

const ROLE_COLUMNS: [&str; 6] = [
    "what",
    "at the size",
    "budget",
    "verdict",
    "from",
    "carried by",
];
const ASSUMPTION_COLUMNS: [&str; 5] = ["assumption", "value", "why", "at half", "at double"];
const SHARE_COLUMNS: [&str; 4] = [
    "figure",
    "share of the budget",
    "verdict",
    "front ends at which it is used up, all else as given",
];

/// The table of the figures of a role with their budgets.
pub(super) fn role_table(evaluation: &Evaluation, role: &str) -> Result<String, PlaceholderError> {
    let figures = &evaluation.definitions.figures;
    let estimates = evaluation.estimate_figures(&Overrides::new());
    let rows: Vec<Vec<String>> = figures
        .iter()
        .zip(&estimates)
        .filter(|(figure, _)| figure.role == role)
        .map(|(figure, estimate)| role_row(evaluation, figure, estimate))
        .collect();
    if rows.is_empty() {
        let mut roles: Vec<String> = figures.iter().map(|f| f.role.clone()).collect();
        roles.dedup();
        return Err(PlaceholderError::UnknownTable {
            name: role.into(),
            roles,
        });
    }
    Ok(table(&ROLE_COLUMNS, &rows))
}

fn role_row(evaluation: &Evaluation, figure: &Figure, estimate: &EstimateResult) -> Vec<String> {
    let slopes: Vec<String> = evaluation
        .underlying_slopes(figure)
        .iter()
        .map(|slope| format!("`{slope}`"))
        .collect();
    let slopes = if slopes.is_empty() {
        "no slope".into()
    } else {
        slopes.join(", ")
    };
    vec![
        figure.description.clone(),
        format::estimate(estimate, &figure.unit),
        format::budget(figure_budget(evaluation, figure), &figure.unit),
        figure_verdict(evaluation, figure, estimate),
        slopes,
        figure.mechanism.clone(),
    ]
}

/// The table of assumptions, each with the figures that change if it is halved or doubled.
pub(super) fn assumption_table(evaluation: &Evaluation) -> String {
    let estimates = evaluation.estimate_figures(&Overrides::new());
    let rows: Vec<Vec<String>> = evaluation
        .definitions
        .assumptions
        .iter()
        .map(|assumption| assumption_row(evaluation, assumption, &estimates))
        .collect();
    table(&ASSUMPTION_COLUMNS, &rows)
}

fn assumption_row(
    evaluation: &Evaluation,
    assumption: &Assumption,
    estimates: &[EstimateResult],
) -> Vec<String> {
    let id = assumption.id();
    let changed = |value: f64| {
        let overrides = Overrides::from([(id, value)]);
        changed_figures(evaluation, &overrides, estimates)
    };
    vec![
        format!("`{id}`: {}", assumption.description),
        format!("{} {}", format::number(assumption.value), assumption.unit),
        assumption.reason.clone(),
        changed(assumption.value / 2.0),
        changed(assumption.value * 2.0),
    ]
}

/// The figures that the overrides change, each with its new value and verdict.
fn changed_figures(
    evaluation: &Evaluation,
    overrides: &Overrides,
    estimates: &[EstimateResult],
) -> String {
    let changed = evaluation.estimate_figures(overrides);
    let mut texts = Vec::new();
    let figures = &evaluation.definitions.figures;
    for ((figure, before), after) in figures.iter().zip(estimates).zip(&changed) {
        if before == after {
            continue;
        }
        let value = match after {
            Ok(estimate) => {
                let mid = format::number(estimate.interval.mid);
                format!("{mid} {}", figure.unit)
            }
            Err(error) => error.to_string(),
        };
        let verdict = figure_verdict_with(evaluation, figure, after, overrides);
        texts.push(format!("`{}` {value}, {verdict}", figure.id));
    }
    if texts.is_empty() {
        "nothing moves".into()
    } else {
        texts.join("; ")
    }
}

/// The table of figures in descending order of their share of the budget, with the fleet size at which the budget is
/// used up.
pub(super) fn budget_share_table(evaluation: &Evaluation) -> String {
    let definitions = &evaluation.definitions;
    let estimates = evaluation.estimate_figures(&Overrides::new());
    let mut rows: Vec<(f64, Vec<String>)> = Vec::new();
    for (index, (figure, estimate)) in definitions.figures.iter().zip(&estimates).enumerate() {
        let Some(comparison) =
            compare_with_budget(definitions, figure, estimate, &Overrides::new())
        else {
            continue;
        };
        let row = vec![
            format!("`{}`: {}, {}", figure.id, figure.role, figure.description),
            format::share(comparison.share),
            comparison.verdict.to_string(),
            fleet_size_at_budget(evaluation, index),
        ];
        rows.push((comparison.share, row));
    }
    if rows.is_empty() {
        return "No figure with a budget has been measured.".into();
    }
    rows.sort_by(|a, b| b.0.total_cmp(&a.0));
    let rows: Vec<Vec<String>> = rows.into_iter().map(|(_, row)| row).collect();
    table(&SHARE_COLUMNS, &rows)
}

/// The fleet size at which a figure reaches its budget, between one front end and the maximum growth of the given fleet.
fn fleet_size_at_budget(evaluation: &Evaluation, index: usize) -> String {
    let Some(given) = evaluation.definitions.given.get(FLEET_SIZE_NAME).copied() else {
        return "-".into();
    };
    let share = |growth: f64| share_of_budget(evaluation, index, given * growth);
    let smallest_growth = 1.0 / given;
    match (share(smallest_growth), share(MAX_GROWTH_FACTOR)) {
        (Some(low), Some(high)) if low == high => "does not depend on it".into(),
        (Some(low), _) if low > 1.0 => "at any".into(),
        (_, Some(high)) if high <= 1.0 => {
            format!("over {}", format::number(given * MAX_GROWTH_FACTOR))
        }
        (Some(_), Some(_)) => {
            let growth = max_growth_within_budget(smallest_growth, MAX_GROWTH_FACTOR, share);
            format::number((given * growth).floor())
        }
        _ => "-".into(),
    }
}

/// The share of its budget that a figure takes at a fleet size.
fn share_of_budget(evaluation: &Evaluation, index: usize, front_ends: f64) -> Option<f64> {
    let overrides = Overrides::from([(FLEET_SIZE_NAME, front_ends)]);
    let definitions = &evaluation.definitions;
    let figure = definitions.figures.get(index)?;
    let estimates = evaluation.estimate_figures(&overrides);
    let comparison = compare_with_budget(definitions, figure, estimates.get(index)?, &overrides)?;
    Some(comparison.share)
}

/// The largest growth factor between `low` and `high` with a share of at most 1, by bisection on a logarithmic scale.
fn max_growth_within_budget(low: f64, high: f64, share: impl Fn(f64) -> Option<f64>) -> f64 {
    let (mut low, mut high) = (low, high);
    for _ in 0..BISECTION_STEPS {
        let middle = (low * high).sqrt();
        match share(middle) {
            Some(share) if share <= 1.0 => low = middle,
            _ => high = middle,
        }
    }
    low
}
