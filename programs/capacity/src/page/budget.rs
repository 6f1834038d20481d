//! Comparison of slopes and figures with their budgets.

use crate::figures::{
    verdict, Definitions, EstimateResult, Evaluation, Figure, Number, Overrides, Slope, Verdict,
};

const NO_BUDGET: &str = "no budget";
const NO_VALUE: &str = "not told";

/// The comparison of a figure's estimate with its budget.
pub(super) struct BudgetComparison {
    pub(super) verdict: Verdict,
    /// The ratio of the estimate to the budget.
    pub(super) share: f64,
}

/// Compares a figure with its budget; `None` without a budget or an estimate.
pub(super) fn compare_with_budget(
    definitions: &Definitions,
    figure: &Figure,
    estimate: &EstimateResult,
    overrides: &Overrides,
) -> Option<BudgetComparison> {
    let budget = definitions
        .resolve(figure.budget.as_ref()?, overrides)
        .ok()?;
    let estimate = *estimate.as_ref().ok()?;
    Some(BudgetComparison {
        verdict: verdict(estimate, budget),
        share: estimate.interval.mid / budget,
    })
}

/// The verdict on a figure, or a note that it has no budget or no value.
pub(super) fn figure_verdict(
    evaluation: &Evaluation,
    figure: &Figure,
    estimate: &EstimateResult,
) -> String {
    figure_verdict_with(evaluation, figure, estimate, &Overrides::new())
}

/// Like [`figure_verdict`], with overrides.
pub(super) fn figure_verdict_with(
    evaluation: &Evaluation,
    figure: &Figure,
    estimate: &EstimateResult,
    overrides: &Overrides,
) -> String {
    if figure.budget.is_none() {
        return NO_BUDGET.into();
    }
    compare_with_budget(&evaluation.definitions, figure, estimate, overrides).map_or_else(
        || NO_VALUE.into(),
        |comparison| comparison.verdict.to_string(),
    )
}

/// The verdict on a slope at its target size, or a note that it has no budget or no value.
pub(super) fn slope_verdict(evaluation: &Evaluation, slope: &Slope) -> String {
    if slope.budget.is_none() {
        return NO_BUDGET.into();
    }
    let estimate = evaluation.estimate_slope(slope.id(), target_size(evaluation, slope));
    match (estimate, slope_budget(evaluation, slope)) {
        (Ok(estimate), Some(budget)) => verdict(estimate, budget).to_string(),
        _ => NO_VALUE.into(),
    }
}

/// The target size of a slope; NaN if it is not defined.
pub(super) fn target_size(evaluation: &Evaluation, slope: &Slope) -> f64 {
    resolve(evaluation, slope.target_size.get_ref()).unwrap_or(f64::NAN)
}

/// The budget of a slope.
pub(super) fn slope_budget(evaluation: &Evaluation, slope: &Slope) -> Option<f64> {
    resolve(evaluation, slope.budget.as_ref()?.get_ref())
}

/// The budget of a figure.
pub(super) fn figure_budget(evaluation: &Evaluation, figure: &Figure) -> Option<f64> {
    resolve(evaluation, figure.budget.as_ref()?)
}

fn resolve(evaluation: &Evaluation, number: &Number) -> Option<f64> {
    let resolved = evaluation.definitions.resolve(number, &Overrides::new());
    resolved.ok()
}
