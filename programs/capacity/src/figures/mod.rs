//! The definitions in `figures.toml` and their evaluation.
//!
//! - [`Definitions`]: the parsed and validated file.
//! - [`Measurement`]: the runs of a slope and their fit.
//! - [`Evaluation`]: the values of slopes and figures, each an [`Estimate`] or an [`EstimateError`].
//! - [`Verdict`]: whether an estimate is within its budget.
//!
//! A figure is a sum of terms. A term is a product of factors joined by `*` and `/`, with an optional leading `-`. A
//! factor is a literal, a given number, an assumption, an earlier figure, or a slope at a size, such as
//! `bytes(front_ends)` or `bytes(15000)`.

mod definitions;
mod estimate;
mod evaluation;
mod expression;
mod file;
mod measurement;
mod verdict;

pub use definitions::{
    DefinitionError, Definitions, Figure, Overrides, UnknownNumber, UnknownSlope,
};
pub use estimate::{Estimate, EstimateError, EstimateResult};
pub use evaluation::Evaluation;
pub use expression::TermError;
pub use file::{Assumption, Axes, Number, Slope};
pub use measurement::{matches_filter, Measurement, MeasurementError};
pub use verdict::{verdict, Verdict};
