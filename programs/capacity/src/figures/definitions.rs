//! Parsing and validation of `figures.toml`, and lookup of its definitions by name.

use super::expression::{Term, TermError};
use super::file::{Assumption, FigureFile, FiguresFile, Number, Slope};
use crate::error::{CapacityError, Errors};
use crate::runs::{required_fields, UnknownTool};
use std::collections::BTreeMap;
use thiserror::Error;
use toml::Spanned;

/// Values that replace given numbers and assumptions, by name.
pub type Overrides<'a> = BTreeMap<&'a str, f64>;

/// A value computed from slopes, given numbers, assumptions and other figures.
#[derive(Debug)]
pub struct Figure {
    /// The name by which terms refer to it.
    pub id: String,
    /// The kind of process that bears the cost; figures are grouped by role.
    pub role: String,
    /// The description on the page.
    pub description: String,
    /// The unit of its value.
    pub unit: String,
    /// The budget: a number, or the name of a given number or an assumption.
    pub budget: Option<Number>,
    /// The mechanism that causes the cost.
    pub mechanism: String,
    pub(super) terms: Vec<Term>,
}

/// The content of `figures.toml`.
#[derive(Debug)]
pub struct Definitions {
    /// Target sizes and budgets, by name.
    pub given: BTreeMap<String, f64>,
    /// Inputs of figures that were not measured.
    pub assumptions: Vec<Assumption>,
    /// Measured outputs as functions of an input.
    pub slopes: Vec<Slope>,
    /// Values computed from the other definitions.
    pub figures: Vec<Figure>,
}

/// A name that is neither a given number nor an assumption.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{name}: expected a number, or one of {}", .known.join(", "))]
pub struct UnknownNumber {
    /// The undefined name.
    pub name: String,
    /// The defined names.
    pub known: Vec<String>,
}

/// A name that is not a slope.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{id} is not a slope; expected one of {}", .known.join(", "))]
pub struct UnknownSlope {
    /// The undefined name.
    pub id: String,
    /// The ids of the defined slopes.
    pub known: Vec<String>,
}

/// An error in a definition.
#[derive(Debug, Error)]
pub enum DefinitionError {
    /// The file is not valid TOML, or has a wrong structure.
    #[error("{}", .0.message().replace('\n', "; "))]
    Format(toml::de::Error),
    /// An id with characters that are not allowed in terms.
    #[error("{0:?} is not a valid id; expected letters, digits and _, such as memory_mb")]
    InvalidId(String),
    /// An id that is already defined.
    #[error("{0} is defined twice; ids must be unique")]
    DuplicateId(String),
    /// A slope with an unknown tool.
    #[error("{slope}: {source}")]
    UnknownTool {
        /// The id of the slope.
        slope: String,
        /// The cause.
        source: UnknownTool,
    },
    /// A size or budget that is an undefined name.
    #[error(transparent)]
    UnknownNumber(#[from] UnknownNumber),
    /// A term that can't be parsed.
    #[error("{term:?}: {source}")]
    Term {
        /// The text of the term.
        term: String,
        /// The cause.
        source: TermError,
    },
    /// A figure without terms.
    #[error("{0} has no terms; expected at least one")]
    NoTerms(String),
}

/// Collects the errors found while the text is parsed.
struct DefinitionParser<'a> {
    file: &'a str,
    text: &'a str,
    errors: Errors,
}

impl DefinitionParser<'_> {
    /// Adds an error at a byte offset of the text.
    fn report(&mut self, offset: usize, source: DefinitionError) {
        let before = self.text.get(..offset);
        self.errors.push(CapacityError::Definition {
            file: self.file.into(),
            line: before.map_or(1, |text| text.matches('\n').count() + 1),
            source,
        });
    }

    /// Checks that ids are valid in terms and unique.
    fn check_ids(&mut self, file: &FiguresFile) {
        let mut names: Vec<&str> = file.given.keys().map(String::as_str).collect();
        let assumptions = file.assumptions.iter().map(|a| &a.id);
        let slopes = file.slopes.iter().map(|s| &s.id);
        let figures = file.figures.iter().map(|f| &f.id);
        for id in assumptions.chain(slopes).chain(figures) {
            let offset = id.span().start;
            let id = id.get_ref();
            if !is_identifier(id) {
                self.report(offset, DefinitionError::InvalidId(id.clone()));
            }
            if names.contains(&id.as_str()) {
                self.report(offset, DefinitionError::DuplicateId(id.clone()));
            }
            names.push(id);
        }
    }

    /// Checks the tool, the target size and the budget of a slope.
    fn check_slope(&mut self, definitions: &Definitions, slope: &Slope) {
        if let Err(source) = required_fields(&slope.tool) {
            let error = DefinitionError::UnknownTool {
                slope: slope.id().into(),
                source,
            };
            self.report(slope.id.span().start, error);
        }
        for number in slope.budget.iter().chain([&slope.target_size]) {
            self.check_number(definitions, number);
        }
    }

    fn check_number(&mut self, definitions: &Definitions, number: &Spanned<Number>) {
        if let Err(error) = definitions.resolve(number.get_ref(), &Overrides::new()) {
            self.report(number.span().start, error.into());
        }
    }

    /// Parses a figure; its terms may refer to the figures in `definitions`, which precede it.
    fn parse_figure(&mut self, definitions: &Definitions, unparsed: FigureFile) -> Figure {
        let mut terms = Vec::new();
        for text in &unparsed.terms {
            match Term::parse(text.get_ref(), definitions) {
                Ok(term) => terms.push(term),
                Err(source) => {
                    let term = text.get_ref().clone();
                    self.report(text.span().start, DefinitionError::Term { term, source });
                }
            }
        }
        if unparsed.terms.is_empty() {
            let id = unparsed.id.get_ref().clone();
            self.report(unparsed.id.span().start, DefinitionError::NoTerms(id));
        }
        if let Some(number) = &unparsed.budget {
            self.check_number(definitions, number);
        }
        Figure {
            id: unparsed.id.into_inner(),
            role: unparsed.role,
            description: unparsed.description,
            unit: unparsed.unit,
            budget: unparsed.budget.map(Spanned::into_inner),
            mechanism: unparsed.mechanism,
            terms,
        }
    }
}

fn is_identifier(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '_';
    !text.is_empty() && text.chars().all(is_allowed)
}

impl Definitions {
    /// Parses and validates `figures.toml`. `name` is the file name for errors.
    pub fn parse(name: &str, text: &str) -> Result<Definitions, Errors> {
        let mut parser = DefinitionParser {
            file: name,
            text,
            errors: Errors::default(),
        };
        let file: FiguresFile = match toml::from_str(text) {
            Ok(file) => file,
            Err(error) => {
                let offset = error.span().map_or(0, |span| span.start);
                parser.report(offset, DefinitionError::Format(error));
                return Err(parser.errors);
            }
        };
        parser.check_ids(&file);
        let mut definitions = Definitions {
            given: file.given,
            assumptions: file.assumptions,
            slopes: file.slopes,
            figures: Vec::new(),
        };
        for slope in &definitions.slopes {
            parser.check_slope(&definitions, slope);
        }
        for unparsed in file.figures {
            let figure = parser.parse_figure(&definitions, unparsed);
            definitions.figures.push(figure);
        }
        parser.errors.into_result(definitions)
    }

    /// The value of a literal or named number.
    pub fn resolve(&self, number: &Number, overrides: &Overrides) -> Result<f64, UnknownNumber> {
        match number {
            Number::Plain(value) => Ok(*value),
            Number::Named(name) => self.lookup(name, overrides).ok_or_else(|| UnknownNumber {
                name: name.clone(),
                known: self.number_names(),
            }),
        }
    }

    /// The value of a name: an override, a given number or an assumption, in this order of precedence.
    pub(super) fn lookup(&self, name: &str, overrides: &Overrides) -> Option<f64> {
        let assumption = || self.assumptions.iter().find(|a| a.id() == name);
        overrides
            .get(name)
            .or_else(|| self.given.get(name))
            .copied()
            .or_else(|| Some(assumption()?.value))
    }

    /// The names of all given numbers and assumptions.
    pub(super) fn number_names(&self) -> Vec<String> {
        let assumed = self.assumptions.iter().map(|a| a.id().to_string());
        self.given.keys().cloned().chain(assumed).collect()
    }

    /// The index of a slope in `slopes`.
    pub(super) fn slope_index(&self, id: &str) -> Result<usize, UnknownSlope> {
        self.slopes
            .iter()
            .position(|slope| slope.id() == id)
            .ok_or_else(|| UnknownSlope {
                id: id.into(),
                known: self.slopes.iter().map(|s| s.id().to_string()).collect(),
            })
    }
}
