//! Slopes and figures beside their budgets.

use crate::figures::{
    verdict, Definitions, EstimateResult, Evaluation, Figure, Overrides, Slope, Verdict,
};

const NO_BUDGET: &str = "no budget";
const NO_VALUE: &str = "not told";

/// A figure's estimate beside its budget.
pub(super) struct Judgement {
    pub(super) verdict: Verdict,
    /// The estimate as a share of the budget.
    pub(super) share: f64,
}

/// A figure beside its budget; none without a budget or an estimate.
pub(super) fn judge(
    definitions: &Definitions,
    figure: &Figure,
    estimate: &EstimateResult,
    overrides: &Overrides,
) -> Option<Judgement> {
    let budget = definitions
        .number(figure.budget.as_ref()?, overrides)
        .ok()?;
    let estimate = *estimate.as_ref().ok()?;
    Some(Judgement {
        verdict: verdict(estimate, budget),
        share: estimate.interval.mid / budget,
    })
}

/// The verdict on a figure, or why there is none.
pub(super) fn figure_verdict(
    evaluation: &Evaluation,
    figure: &Figure,
    estimate: &EstimateResult,
) -> String {
    overridden_verdict(evaluation, figure, estimate, &Overrides::new())
}

/// The verdict on a figure with some numbers replaced, or why there is none.
pub(super) fn overridden_verdict(
    evaluation: &Evaluation,
    figure: &Figure,
    estimate: &EstimateResult,
    overrides: &Overrides,
) -> String {
    if figure.budget.is_none() {
        return NO_BUDGET.into();
    }
    judge(&evaluation.definitions, figure, estimate, overrides).map_or_else(
        || NO_VALUE.into(),
        |judgement| judgement.verdict.to_string(),
    )
}

/// The verdict on a slope at the size asked for, or why there is none.
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

/// The size that a slope is asked for.
pub(super) fn target_size(evaluation: &Evaluation, slope: &Slope) -> f64 {
    evaluation
        .definitions
        .number(slope.target_size.get_ref(), &Overrides::new())
        .unwrap_or(f64::NAN)
}

/// What a slope may cost at the size that it is asked for.
pub(super) fn slope_budget(evaluation: &Evaluation, slope: &Slope) -> Option<f64> {
    let budget = slope.budget.as_ref()?.get_ref();
    let number = evaluation.definitions.number(budget, &Overrides::new());
    number.ok()
}
