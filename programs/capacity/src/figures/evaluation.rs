//! Evaluation of slopes and figures.

use super::definitions::{Definitions, Figure, Overrides, UnknownSlope};
use super::estimate::{Estimate, EstimateError, EstimateResult};
use super::expression::{Reference, Term};
use super::file::Slope;
use super::measurement::Measurement;
use crate::error::{CapacityError, Errors};
use crate::fit::Interval;
use crate::runs::Run;

/// Definitions with the measurements of their slopes.
#[derive(Debug)]
pub struct Evaluation {
    /// The content of `figures.toml`.
    pub definitions: Definitions,
    /// The measurement of each slope, in the order of `definitions.slopes`.
    pub measurements: Vec<Measurement>,
}

impl Evaluation {
    /// Selects the runs of each slope and fits them. `name` is the file name of the definitions, for errors.
    pub fn new(name: &str, definitions: Definitions, runs: &[Run]) -> Result<Evaluation, Errors> {
        let mut errors = Errors::default();
        let mut measurements = Vec::new();
        for slope in &definitions.slopes {
            match Measurement::new(slope, runs) {
                Ok(measurement) => measurements.push(measurement),
                Err(source) => errors.push(CapacityError::Measurement {
                    file: name.into(),
                    slope: slope.id().into(),
                    source,
                }),
            }
        }
        errors.into_result(Evaluation {
            definitions,
            measurements,
        })
    }

    /// Iterates over the slopes and their measurements.
    pub fn slopes(&self) -> impl Iterator<Item = (&Slope, &Measurement)> {
        self.definitions.slopes.iter().zip(&self.measurements)
    }

    /// The slope with this id, and its measurement.
    pub fn slope(&self, id: &str) -> Result<(&Slope, &Measurement), UnknownSlope> {
        let index = self.definitions.slope_index(id)?;
        Ok((&self.definitions.slopes[index], &self.measurements[index]))
    }

    /// The prediction of a slope at a size.
    pub fn estimate_slope(&self, id: &str, size: f64) -> EstimateResult {
        let (_, measurement) = self.slope(id)?;
        let fit = match &measurement.fit {
            Ok(fit) => fit,
            Err(source) => {
                return Err(EstimateError::NoFit {
                    slope: id.into(),
                    source: *source,
                })
            }
        };
        let undefined = || EstimateError::UndefinedAt {
            slope: id.into(),
            form: fit.line.form,
            size,
        };
        let interval = fit.line.predict_interval(size).ok_or_else(undefined)?;
        Ok(Estimate {
            // A fit may predict negative values outside the measured range, but a cost is never negative.
            interval: Interval {
                mid: interval.mid.max(0.0),
                low: interval.low.max(0.0),
                high: interval.high.max(0.0),
            },
            missed_hold_out: fit.hold_out.missed(),
        })
    }

    /// The values of all figures, in the order of `definitions.figures`.
    pub fn estimate_figures(&self, overrides: &Overrides) -> Vec<EstimateResult> {
        let mut estimates: Vec<EstimateResult> = Vec::new();
        for figure in &self.definitions.figures {
            estimates.push(self.sum_terms(figure, overrides, &estimates));
        }
        estimates
    }

    /// The value of a figure. `earlier` holds the values of the figures defined before it.
    fn sum_terms(
        &self,
        figure: &Figure,
        overrides: &Overrides,
        earlier: &[EstimateResult],
    ) -> EstimateResult {
        let mut sum = Estimate::exact(0.0);
        for term in &figure.terms {
            let value = term.evaluate_unsigned(self, overrides, earlier)?;
            let signed = if term.is_negative {
                value.negated()
            } else {
                value
            };
            sum = sum.plus(signed);
        }
        Ok(sum)
    }

    /// The text of each term of a figure, with its value regardless of a leading `-`.
    pub fn estimate_terms<'a>(&'a self, figure: &'a Figure) -> Vec<(&'a str, EstimateResult)> {
        let overrides = Overrides::new();
        let figures = self.estimate_figures(&overrides);
        let value = |term: &Term| term.evaluate_unsigned(self, &overrides, &figures);
        figure
            .terms
            .iter()
            .map(|term| (term.text.as_str(), value(term)))
            .collect()
    }

    /// The ids of the slopes that a figure depends on, directly or through other figures.
    pub fn underlying_slopes<'a>(&'a self, figure: &'a Figure) -> Vec<&'a str> {
        let mut slopes: Vec<&str> = Vec::new();
        for reference in figure.terms.iter().flat_map(|term| term.references()) {
            let referenced = match reference {
                Reference::Slope(id) => vec![id],
                Reference::Figure(index) => self
                    .definitions
                    .figures
                    .get(index)
                    .map_or(vec![], |earlier| self.underlying_slopes(earlier)),
            };
            for id in referenced {
                if !slopes.contains(&id) {
                    slopes.push(id);
                }
            }
        }
        slopes
    }
}
