//! The data series and axis ranges of a plot.

use crate::figures::{Axes, Evaluation, Measurement, Overrides, Slope, UnknownNumber};
use crate::fit::{Fit, Interval};

/// Number of segments of the fitted curve.
const CURVE_STEPS: usize = 60;
/// Minimum length of an axis that starts at 0, so that its range is never empty.
const MIN_AXIS_LENGTH: f64 = 1e-9;

/// The data series and axes of a plot.
pub(super) struct PlotData<'a> {
    pub(super) slope: &'a Slope,
    pub(super) measurement: &'a Measurement,
    pub(super) fit: Option<&'a Fit>,
    pub(super) budget: Option<f64>,
    pub(super) x_axis: Axis,
    pub(super) y_axis: Axis,
    /// The fit's predictions, in ascending order of size.
    pub(super) curve: Vec<CurvePoint>,
}

/// The range of an axis: the data with a margin, never empty.
#[derive(Clone, Copy)]
pub(super) struct Axis {
    pub(super) low: f64,
    pub(super) high: f64,
    pub(super) is_log: bool,
}

/// A fit's prediction at a size.
pub(super) struct CurvePoint {
    pub(super) size: f64,
    pub(super) interval: Interval,
}

/// The range of sizes that a plot shows.
#[derive(Clone, Copy)]
struct SizeRange {
    smallest: f64,
    largest: f64,
    is_log: bool,
}

impl<'a> PlotData<'a> {
    pub(super) fn new(
        evaluation: &Evaluation,
        slope: &'a Slope,
        measurement: &'a Measurement,
        axes: Axes,
    ) -> Result<PlotData<'a>, UnknownNumber> {
        let number = |number| evaluation.definitions.resolve(number, &Overrides::new());
        let target = number(slope.target_size.get_ref())?;
        let budget = match &slope.budget {
            Some(budget) => Some(number(budget.get_ref())?),
            None => None,
        };
        let sizes = SizeRange::new(measurement, target, axes);
        let curve = curve(evaluation, slope, sizes);
        Ok(PlotData {
            slope,
            measurement,
            fit: measurement.fit.as_ref().ok(),
            budget,
            x_axis: sizes.axis(),
            y_axis: output_axis(measurement, &curve, budget, axes),
            curve,
        })
    }
}

impl SizeRange {
    /// The range of the measured sizes and the target size.
    fn new(measurement: &Measurement, target: f64, axes: Axes) -> SizeRange {
        let sizes = || measurement.points.iter().map(|point| point.x);
        let are_positive = sizes().all(|size| size > 0.0) && target > 0.0;
        SizeRange {
            smallest: sizes().fold(target, f64::min),
            largest: sizes().fold(target, f64::max),
            is_log: axes != Axes::Plain && are_positive,
        }
    }

    /// The size at a step of the curve; steps are evenly spaced on the axis.
    fn at_step(self, step: usize) -> f64 {
        let share = step as f64 / CURVE_STEPS as f64;
        if self.is_log {
            self.smallest * (self.largest / self.smallest).powf(share)
        } else {
            self.smallest + (self.largest - self.smallest) * share
        }
    }

    fn axis(self) -> Axis {
        let (low, high) = if self.is_log {
            (
                self.smallest * 0.9,
                self.largest.max(self.smallest * 1.01) * 1.1,
            )
        } else {
            (0.0, self.largest.max(MIN_AXIS_LENGTH) * 1.05)
        };
        Axis {
            low,
            high,
            is_log: self.is_log,
        }
    }
}

/// The fit's predictions over the range of sizes; empty without a fit.
fn curve(evaluation: &Evaluation, slope: &Slope, sizes: SizeRange) -> Vec<CurvePoint> {
    (0..=CURVE_STEPS)
        .filter_map(|step| {
            let size = sizes.at_step(step);
            let estimate = evaluation.estimate_slope(slope.id(), size).ok()?;
            Some(CurvePoint {
                size,
                interval: estimate.interval,
            })
        })
        .collect()
}

/// The output axis; it includes the measurements, the predictions and the budget.
fn output_axis(
    measurement: &Measurement,
    curve: &[CurvePoint],
    budget: Option<f64>,
    axes: Axes,
) -> Axis {
    let measured = measurement.points.iter().map(|point| point.y);
    let predicted = curve
        .iter()
        .flat_map(|point| [point.interval.mid, point.interval.high]);
    let outputs: Vec<f64> = measured.chain(predicted).chain(budget).collect();
    let top = outputs.iter().copied().fold(0.0, f64::max);
    let bottom = outputs
        .iter()
        .copied()
        .filter(|output| *output > 0.0)
        .fold(top, f64::min);
    let is_log = axes == Axes::LogLog && bottom > 0.0;
    let (low, high) = if is_log {
        (bottom * 0.7, top * 1.4)
    } else {
        (0.0, top.max(MIN_AXIS_LENGTH) * 1.1)
    };
    Axis { low, high, is_log }
}
