//! Regression of a cost on size: least squares in one of a few functional forms.
//!
//! Each form is `a + b z(x)`. The form is selected as follows:
//!
//! 1. One size, the hold-out, is excluded from the fit, and is compared with the prediction of the fit.
//! 2. A form other than the constant one is a candidate if `b` is positive at the 97.5% level by Student's t-test. A cost
//!    that falls with size is therefore fitted as constant.
//! 3. Each candidate is cross-validated: each size in turn is left out and its mean predicted from the other sizes. The
//!    error is the RMS over sizes. The simplest candidate is chosen whose error is at most 10% above the smallest.
//!
//! ```
//! use tansy_capacity::fit::{fit, Form, Point};
//!
//! let points = [10.0, 20.0, 40.0, 80.0, 160.0].map(|x| Point { x, y: 5.0 + 2.0 * x });
//! let fit = fit(&points, None).expect("five sizes are enough");
//! assert_eq!(fit.line.form, Form::Linear);
//! // The largest size is the hold-out.
//! assert_eq!(fit.hold_out.size, 160.0);
//! assert!(fit.hold_out.error().abs() < 1e-9);
//! ```

mod form;
mod line;

pub use form::Form;
pub use line::{FittedLine, Interval};

use thiserror::Error;

/// The minimum number of sizes for a fit: one is the hold-out, and a line through two has no residuals.
pub const MIN_SIZES: usize = 4;
/// The simplest form is chosen whose error is at most this multiple of the smallest.
const MAX_ERROR_RATIO: f64 = 1.1;
/// Differences of errors up to this fraction of the mean are attributed to floating-point rounding.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// A relative error at the hold-out size up to this value is not a miss, even if outside the interval.
const MAX_RELATIVE_ERROR: f64 = 0.1;

/// The output of one run at a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The size.
    pub x: f64,
    /// The output.
    pub y: f64,
}

/// The size excluded from a fit, to validate its prediction.
#[derive(Clone, Copy, Debug)]
pub struct HoldOut {
    /// The size.
    pub size: f64,
    /// The mean of the outputs measured at the size.
    pub measured: f64,
    /// The fit's prediction at the size.
    pub predicted: Interval,
}

impl HoldOut {
    /// The relative error of the prediction: 0.1 if it is 10% too high.
    pub fn error(&self) -> f64 {
        (self.predicted.mid - self.measured) / self.measured.abs().max(f64::MIN_POSITIVE)
    }

    /// Whether the measured value is outside the prediction interval and the relative error is above 10%.
    pub fn missed(&self) -> bool {
        let within = self.predicted.low <= self.measured && self.measured <= self.predicted.high;
        !within && self.error().abs() > MAX_RELATIVE_ERROR
    }
}

/// The selected form, with statistics on the quality of the fit.
#[derive(Clone, Debug)]
pub struct Fit {
    /// The selected form, fitted to all sizes except the hold-out.
    pub line: FittedLine,
    /// RMS of the residuals, relative to the mean output.
    pub relative_rms: f64,
    /// The cross-validation error of each form that can be fitted, in units of the output.
    pub validation_errors: Vec<(Form, f64)>,
    /// The candidate of another form with the smallest cross-validation error.
    pub runner_up: Option<FittedLine>,
    /// The size excluded from the fit.
    pub hold_out: HoldOut,
    /// Number of sizes measured, including the hold-out.
    pub size_count: usize,
    /// Number of runs in the fit.
    pub run_count: usize,
    /// The smallest and the largest size in the fit.
    pub size_range: (f64, f64),
}

/// The reason that points can't be fitted.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum FitError {
    /// Fewer sizes than [`MIN_SIZES`] were measured, or no form is a candidate. Holds the number of sizes.
    #[error("{}", too_few_sizes(*.0))]
    TooFewSizes(usize),
    /// The hold-out size was not measured.
    #[error("the size kept out, {0}, was not measured")]
    HoldOutNotMeasured(f64),
}

fn too_few_sizes(measured: usize) -> String {
    match measured {
        0 => "not measured".into(),
        n => format!("too few sizes to claim anything ({n} of {MIN_SIZES} at least)"),
    }
}

/// Selects a form and fits it to the points. The hold-out is the given size, by default the largest.
pub fn fit(points: &[Point], hold_out: Option<f64>) -> Result<Fit, FitError> {
    let sizes = distinct_sizes(points);
    let hold_out = choose_hold_out_size(&sizes, hold_out)?;
    let (hold_out_points, fitted_points): (Vec<Point>, Vec<Point>) =
        points.iter().partition(|p| p.x == hold_out);
    let fitted_sizes: Vec<f64> = sizes.iter().copied().filter(|x| *x != hold_out).collect();
    let validation_errors: Vec<(Form, f64)> = Form::ALL
        .into_iter()
        .filter_map(|f| Some((f, validation_error(f, &fitted_points, &fitted_sizes)?)))
        .collect();
    let scale = mean(&fitted_points).abs();
    let candidates = candidates(&validation_errors, &fitted_points, hold_out);
    let no_candidate = FitError::TooFewSizes(sizes.len());
    let line = simplest_within_tolerance(&candidates, scale).ok_or(no_candidate)?;
    let predicted = line.predict_interval(hold_out).ok_or(no_candidate)?;
    Ok(Fit {
        line,
        relative_rms: line.rms / scale.max(f64::MIN_POSITIVE),
        validation_errors,
        runner_up: runner_up(&candidates, line.form),
        hold_out: HoldOut {
            size: hold_out,
            measured: mean(&hold_out_points),
            predicted,
        },
        size_count: sizes.len(),
        run_count: fitted_points.len(),
        size_range: (fitted_sizes[0], fitted_sizes[fitted_sizes.len() - 1]),
    })
}

/// The distinct sizes of the points, in ascending order.
pub fn distinct_sizes(points: &[Point]) -> Vec<f64> {
    let mut sizes: Vec<f64> = points.iter().map(|p| p.x).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    sizes
}

/// The hold-out size. Fails if it or enough other sizes were not measured.
fn choose_hold_out_size(sizes: &[f64], requested: Option<f64>) -> Result<f64, FitError> {
    let largest = *sizes.last().ok_or(FitError::TooFewSizes(0))?;
    let size = requested.unwrap_or(largest);
    if !sizes.contains(&size) {
        return Err(FitError::HoldOutNotMeasured(size));
    }
    if sizes.len() < MIN_SIZES {
        return Err(FitError::TooFewSizes(sizes.len()));
    }
    Ok(size)
}

/// The fitted candidates that have a prediction interval at the hold-out size, each with its cross-validation error.
fn candidates(
    errors: &[(Form, f64)],
    points: &[Point],
    hold_out_size: f64,
) -> Vec<(FittedLine, f64)> {
    let fitted = |form: Form| {
        FittedLine::least_squares(form, points)
            .filter(|l| l.is_candidate() && l.predict_interval(hold_out_size).is_some())
    };
    errors
        .iter()
        .filter_map(|(form, error)| Some((fitted(*form)?, *error)))
        .collect()
}

/// The simplest candidate whose error is within the tolerance of the smallest.
fn simplest_within_tolerance(candidates: &[(FittedLine, f64)], scale: f64) -> Option<FittedLine> {
    let smallest_error = candidates
        .iter()
        .map(|(_, error)| *error)
        .fold(f64::INFINITY, f64::min);
    candidates
        .iter()
        .find(|(_, error)| *error <= smallest_error * MAX_ERROR_RATIO + scale * ROUNDING_TOLERANCE)
        .map(|(line, _)| *line)
}

/// The candidate with the smallest error among those of other forms.
fn runner_up(candidates: &[(FittedLine, f64)], chosen: Form) -> Option<FittedLine> {
    candidates
        .iter()
        .filter(|(line, _)| line.form != chosen)
        .min_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(line, _)| *line)
}

fn mean(points: &[Point]) -> f64 {
    points.iter().map(|p| p.y).sum::<f64>() / points.len().max(1) as f64
}

/// The cross-validation error of a form: the RMS error of predicting the mean at each size from the other sizes.
fn validation_error(form: Form, points: &[Point], sizes: &[f64]) -> Option<f64> {
    let mut squares = 0.0;
    for size in sizes {
        let (left_out, rest): (Vec<Point>, Vec<Point>) = points.iter().partition(|p| p.x == *size);
        let line = FittedLine::least_squares(form, &rest)?;
        squares += (line.predict(*size) - mean(&left_out)).powi(2);
    }
    Some((squares / sizes.len() as f64).sqrt())
}
