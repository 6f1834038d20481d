//! Ordinary least squares for one form, with prediction intervals by Student's t-distribution.

use super::{Form, Point};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Confidence level of the two-sided prediction interval.
const CONFIDENCE_LEVEL: f64 = 0.95;

/// A value with its 95% prediction interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    /// The prediction.
    pub mid: f64,
    /// The lower bound.
    pub low: f64,
    /// The upper bound.
    pub high: f64,
}

/// A form with fitted coefficients, and the statistics needed for prediction intervals.
#[derive(Clone, Copy, Debug)]
pub struct FittedLine {
    /// The form.
    pub form: Form,
    /// The intercept `a`.
    pub intercept: f64,
    /// The coefficient `b`; 0 for the constant form.
    pub coefficient: f64,
    /// Root mean square of the residuals, in units of the output.
    pub rms: f64,
    point_count: f64,
    mean_z: f64,
    /// Sum of the squared deviations of `z` from its mean.
    squared_deviations_z: f64,
    /// Standard deviation of the residuals; NaN without degrees of freedom.
    residual_deviation: f64,
    /// Quantile of Student's t-distribution for the two-sided interval; NaN without degrees of freedom.
    t_quantile: f64,
}

impl FittedLine {
    /// Fits a form to the points, with equal weights. Returns `None` if the points do not determine the coefficients or
    /// the form is not defined at one of them.
    pub fn least_squares(form: Form, points: &[Point]) -> Option<FittedLine> {
        let point_count = points.len() as f64;
        let degrees_of_freedom = point_count - if form == Form::Constant { 1.0 } else { 2.0 };
        if degrees_of_freedom < 0.0 || points.iter().any(|p| !form.is_defined_at(p.x)) {
            return None;
        }
        let mean_z = points.iter().map(|p| form.transform(p.x)).sum::<f64>() / point_count;
        let mean_y = points.iter().map(|p| p.y).sum::<f64>() / point_count;
        let squared_deviations_z = points
            .iter()
            .map(|p| (form.transform(p.x) - mean_z).powi(2))
            .sum::<f64>();
        let coefficient = match form {
            Form::Constant => 0.0,
            _ if squared_deviations_z <= 0.0 => return None,
            _ => {
                points
                    .iter()
                    .map(|p| (form.transform(p.x) - mean_z) * (p.y - mean_y))
                    .sum::<f64>()
                    / squared_deviations_z
            }
        };
        let intercept = mean_y - coefficient * mean_z;
        let squares = points
            .iter()
            .map(|p| (p.y - intercept - coefficient * form.transform(p.x)).powi(2))
            .sum::<f64>();
        Some(FittedLine {
            form,
            intercept,
            coefficient,
            rms: (squares / point_count).sqrt(),
            point_count,
            mean_z,
            squared_deviations_z,
            residual_deviation: residual_standard_deviation(squares, degrees_of_freedom),
            t_quantile: t_quantile(degrees_of_freedom),
        })
    }

    /// The prediction at a size.
    pub fn predict(&self, size: f64) -> f64 {
        match self.form {
            Form::Constant => self.intercept,
            form => self.intercept + self.coefficient * form.transform(size),
        }
    }

    /// The prediction at a size, with the interval in which a further run lies with 95% probability. Returns `None` if
    /// the form is not defined at the size, or no degree of freedom is left to estimate the variance.
    pub fn predict_interval(&self, size: f64) -> Option<Interval> {
        let has_variance_estimate =
            self.residual_deviation.is_finite() && self.t_quantile.is_finite();
        if !self.form.is_defined_at(size) || !has_variance_estimate {
            return None;
        }
        let leverage = match self.form {
            Form::Constant => 0.0,
            form => (form.transform(size) - self.mean_z).powi(2) / self.squared_deviations_z,
        };
        let half_width = self.t_quantile
            * self.residual_deviation
            * (1.0 + 1.0 / self.point_count + leverage).sqrt();
        let mid = self.predict(size);
        Some(Interval {
            mid,
            low: mid - half_width,
            high: mid + half_width,
        })
    }

    /// Whether the form may be chosen: it is constant, or its coefficient is positive at the 97.5% level.
    pub(super) fn is_candidate(&self) -> bool {
        let standard_error = self.residual_deviation / self.squared_deviations_z.sqrt();
        self.form == Form::Constant || self.coefficient > self.t_quantile * standard_error
    }
}

fn residual_standard_deviation(squares: f64, degrees_of_freedom: f64) -> f64 {
    if degrees_of_freedom > 0.0 {
        (squares / degrees_of_freedom).sqrt()
    } else {
        f64::NAN
    }
}

fn t_quantile(degrees_of_freedom: f64) -> f64 {
    StudentsT::new(0.0, 1.0, degrees_of_freedom)
        .map_or(f64::NAN, |t| t.inverse_cdf((1.0 + CONFIDENCE_LEVEL) / 2.0))
}
