//! Estimated values and their interval arithmetic.

use super::definitions::{UnknownNumber, UnknownSlope};
use crate::fit::{FitError, Form, Interval};
use thiserror::Error;

/// A value computed from fits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The value with its interval.
    pub interval: Interval,
    /// Whether any of the fits missed its hold-out.
    pub missed_hold_out: bool,
}

/// An estimate, or the reason that the value can't be computed.
pub type EstimateResult = Result<Estimate, EstimateError>;

/// The reason that a value can't be computed.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum EstimateError {
    /// The slope is not defined.
    #[error(transparent)]
    UnknownSlope(#[from] UnknownSlope),
    /// The number is not defined.
    #[error(transparent)]
    UnknownNumber(#[from] UnknownNumber),
    /// The figure is not defined before the one that refers to it.
    #[error("no such figure")]
    UnknownFigure,
    /// The slope has no fit.
    #[error("{slope}: {source}")]
    NoFit {
        /// The id of the slope.
        slope: String,
        /// The cause.
        source: FitError,
    },
    /// The fitted form is not defined at the size, or has no prediction interval there.
    #[error("{slope}: no {} at {size}", .form.name())]
    UndefinedAt {
        /// The id of the slope.
        slope: String,
        /// The fitted form.
        form: Form,
        /// The size.
        size: f64,
    },
    /// The divisor's interval includes zero.
    #[error("divides by what may be nothing")]
    DivisorIncludesZero,
}

impl Estimate {
    /// A value without uncertainty.
    pub(super) fn exact(value: f64) -> Estimate {
        Estimate {
            interval: Interval {
                mid: value,
                low: value,
                high: value,
            },
            missed_hold_out: false,
        }
    }

    pub(super) fn plus(self, other: Estimate) -> Estimate {
        Estimate {
            interval: Interval {
                mid: self.interval.mid + other.interval.mid,
                low: self.interval.low + other.interval.low,
                high: self.interval.high + other.interval.high,
            },
            missed_hold_out: self.missed_hold_out || other.missed_hold_out,
        }
    }

    pub(super) fn negated(self) -> Estimate {
        Estimate {
            interval: Interval {
                mid: -self.interval.mid,
                low: -self.interval.high,
                high: -self.interval.low,
            },
            ..self
        }
    }

    pub(super) fn times(self, other: Estimate) -> Estimate {
        let (left, right) = (self.interval, other.interval);
        let ends = [
            left.low * right.low,
            left.low * right.high,
            left.high * right.low,
            left.high * right.high,
        ];
        Estimate {
            interval: Interval {
                mid: left.mid * right.mid,
                low: ends.into_iter().fold(f64::INFINITY, f64::min),
                high: ends.into_iter().fold(f64::NEG_INFINITY, f64::max),
            },
            missed_hold_out: self.missed_hold_out || other.missed_hold_out,
        }
    }

    pub(super) fn reciprocal(self) -> EstimateResult {
        let Interval { mid, low, high } = self.interval;
        if low <= 0.0 && high >= 0.0 {
            return Err(EstimateError::DivisorIncludesZero);
        }
        Ok(Estimate {
            interval: Interval {
                mid: 1.0 / mid,
                low: 1.0 / high,
                high: 1.0 / low,
            },
            ..self
        })
    }
}
