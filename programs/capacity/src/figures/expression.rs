//! Parsing and evaluation of the terms of figures.

use super::definitions::{Definitions, Overrides, UnknownNumber, UnknownSlope};
use super::estimate::{Estimate, EstimateError, EstimateResult};
use super::evaluation::Evaluation;
use super::file::Number;
use thiserror::Error;

/// An error in a term.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum TermError {
    /// The term refers to an undefined slope.
    #[error(transparent)]
    UnknownSlope(#[from] UnknownSlope),
    /// The size of a slope is an undefined name.
    #[error(transparent)]
    UnknownNumber(#[from] UnknownNumber),
    /// A factor is neither a number, a slope, a figure nor a defined name.
    #[error(
        "{text:?} is not a factor; expected a number, a slope at a size as in bytes(15000), an earlier figure, or one of {}",
        .known.join(", ")
    )]
    UnknownFactor {
        /// The text of the factor.
        text: String,
        /// The names of all given numbers and assumptions.
        known: Vec<String>,
    },
}

/// A product that is added to or subtracted from the value of a figure.
#[derive(Debug)]
pub(super) struct Term {
    /// The text of the term.
    pub(super) text: String,
    /// Whether it is subtracted.
    pub(super) is_negative: bool,
    factors: Vec<(Operator, Factor)>,
}

#[derive(Clone, Copy, Debug)]
enum Operator {
    Multiply,
    Divide,
}

#[derive(Debug)]
enum Factor {
    Literal(f64),
    /// The name of a given number or of an assumption.
    Named(String),
    /// The index of a figure defined earlier.
    Figure(usize),
    /// The id of a slope, and the size at which it is evaluated.
    Slope(String, Number),
}

impl Term {
    /// Parses a term that may refer to the given definitions.
    pub(super) fn parse(text: &str, definitions: &Definitions) -> Result<Term, TermError> {
        let trimmed = text.trim();
        let unsigned = trimmed.strip_prefix('-');
        let mut rest = unsigned.unwrap_or(trimmed);
        let mut operator = Operator::Multiply;
        let mut factors = Vec::new();
        loop {
            let end = rest.find(['*', '/']).unwrap_or(rest.len());
            let factor = Factor::parse(rest[..end].trim(), definitions)?;
            factors.push((operator, factor));
            operator = match rest[end..].chars().next() {
                None => break,
                Some('/') => Operator::Divide,
                Some(_) => Operator::Multiply,
            };
            rest = &rest[end + 1..];
        }
        Ok(Term {
            text: text.into(),
            is_negative: unsigned.is_some(),
            factors,
        })
    }

    /// The value regardless of a leading `-`. `figures` holds the values of the figures that it may refer to.
    pub(super) fn evaluate_unsigned(
        &self,
        evaluation: &Evaluation,
        overrides: &Overrides,
        figures: &[EstimateResult],
    ) -> EstimateResult {
        let mut product = Estimate::exact(1.0);
        for (operator, factor) in &self.factors {
            let value = factor.evaluate(evaluation, overrides, figures)?;
            product = match operator {
                Operator::Multiply => product.times(value),
                Operator::Divide => product.times(value.reciprocal()?),
            };
        }
        Ok(product)
    }

    /// The slopes and figures that the term refers to.
    pub(super) fn references(&self) -> impl Iterator<Item = Reference<'_>> {
        self.factors.iter().filter_map(|(_, factor)| match factor {
            Factor::Slope(id, _) => Some(Reference::Slope(id)),
            Factor::Figure(index) => Some(Reference::Figure(*index)),
            Factor::Literal(_) | Factor::Named(_) => None,
        })
    }
}

/// A definition that a term depends on.
pub(super) enum Reference<'a> {
    Slope(&'a str),
    Figure(usize),
}

impl Factor {
    fn parse(text: &str, definitions: &Definitions) -> Result<Factor, TermError> {
        if let Some((slope, size)) = text.strip_suffix(')').and_then(|t| t.split_once('(')) {
            return Factor::parse_slope(slope, size, definitions);
        }
        let starts_as_number = text.starts_with(|c: char| c.is_ascii_digit());
        if let Some(value) = parse_number(text).filter(|_| starts_as_number) {
            return Ok(Factor::Literal(value));
        }
        if let Some(index) = definitions.figures.iter().position(|f| f.id == text) {
            return Ok(Factor::Figure(index));
        }
        match definitions.lookup(text, &Overrides::new()) {
            Some(_) => Ok(Factor::Named(text.into())),
            None => Err(TermError::UnknownFactor {
                text: text.into(),
                known: definitions.number_names(),
            }),
        }
    }

    fn parse_slope(
        slope: &str,
        size: &str,
        definitions: &Definitions,
    ) -> Result<Factor, TermError> {
        definitions.slope_index(slope)?;
        let size = match parse_number(size) {
            Some(value) => Number::Plain(value),
            None => Number::Named(size.trim().into()),
        };
        definitions.resolve(&size, &Overrides::new())?;
        Ok(Factor::Slope(slope.into(), size))
    }

    fn evaluate(
        &self,
        evaluation: &Evaluation,
        overrides: &Overrides,
        figures: &[EstimateResult],
    ) -> EstimateResult {
        let definitions = &evaluation.definitions;
        match self {
            Factor::Literal(value) => Ok(Estimate::exact(*value)),
            Factor::Named(name) => {
                let number = Number::Named(name.clone());
                Ok(Estimate::exact(definitions.resolve(&number, overrides)?))
            }
            Factor::Figure(index) => figures
                .get(*index)
                .cloned()
                .unwrap_or(Err(EstimateError::UnknownFigure)),
            Factor::Slope(id, size) => {
                evaluation.estimate_slope(id, definitions.resolve(size, overrides)?)
            }
        }
    }
}

fn parse_number(text: &str) -> Option<f64> {
    let digits = text.replace('_', "");
    digits.parse::<f64>().ok().filter(|n| n.is_finite())
}
