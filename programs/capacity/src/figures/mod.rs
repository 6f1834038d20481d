//! Slopes, assumptions and figures, as `figures.toml` defines them, and their values.
//!
//! - [`Definitions`]: the file, read and checked.
//! - [`Measurement`]: the runs of a slope and the fit through them.
//! - [`Evaluation`]: the values of slopes and figures, each an [`Estimate`] or an [`EstimateError`].
//! - [`Verdict`]: an estimate beside its budget.
//!
//! A figure is a sum of terms, each a product of factors joined by `*` and `/`, the first perhaps after `-`. A factor is
//! a number, a given size, an assumption, an earlier figure, or a slope at a size: `bytes(front_ends)`, `seat(15000)`.

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
