//! The content of `figures.toml`: reading, validation, and lookup by name.

use super::expression::{Term, TermError};
use super::file::{Assumption, FigureFile, FiguresFile, Number, Slope};
use crate::error::{CapacityError, Errors};
use crate::runs::{required_fields, UnknownTool};
use std::collections::BTreeMap;
use thiserror::Error;
use toml::Spanned;

/// Values by name that replace given numbers and assumptions.
pub type Overrides<'a> = BTreeMap<&'a str, f64>;

/// A value computed from slopes, given numbers and assumptions: a line of a role's table.
#[derive(Debug)]
pub struct Figure {
    /// Its name in terms.
    pub id: String,
    /// The role whose cost it is.
    pub role: String,
    /// Its title on the page.
    pub description: String,
    /// The unit of its value.
    pub unit: String,
    /// Its budget: a number or the name of a given one.
    pub budget: Option<Number>,
    /// The mechanism that carries it.
    pub mechanism: String,
    pub(super) terms: Vec<Term>,
}

/// The content of `figures.toml`.
#[derive(Debug)]
pub struct Definitions {
    /// Sizes and budgets that were asked for.
    pub given: BTreeMap<String, f64>,
    /// Numbers that were not measured.
    pub assumptions: Vec<Assumption>,
    /// Measured outputs by size.
    pub slopes: Vec<Slope>,
    /// Values computed from the rest, for each role.
    pub figures: Vec<Figure>,
}

/// A name that is neither of a given number nor of an assumption.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{name}: right is a number, or one of {}", .known.join(", "))]
pub struct UnknownNumber {
    /// The name.
    pub name: String,
    /// The names that there are.
    pub known: Vec<String>,
}

/// A name that is of no slope.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{id} is no slope; right is one of {}", .known.join(", "))]
pub struct UnknownSlope {
    /// The name.
    pub id: String,
    /// The slopes that there are.
    pub known: Vec<String>,
}

/// An error in a definition.
#[derive(Debug, Error)]
pub enum DefinitionError {
    /// The file is not in its format.
    #[error("{}", .0.message().replace('\n', "; "))]
    Format(toml::de::Error),
    /// A name with other characters than a term can have.
    #[error("{0:?} is no name; right are letters, digits and _, such as memory_mb")]
    InvalidId(String),
    /// A name that stands for something already.
    #[error("{0} is there twice; right is a name of its own")]
    DuplicateId(String),
    /// A slope of runs that no tool prints.
    #[error("{slope}: {source}")]
    UnknownTool {
        /// The slope.
        slope: String,
        /// The tool.
        source: UnknownTool,
    },
    /// A size or budget that is not known.
    #[error(transparent)]
    UnknownNumber(#[from] UnknownNumber),
    /// A term that can't be parsed.
    #[error("{term:?}: {source}")]
    Term {
        /// The term as written.
        term: String,
        /// The cause.
        source: TermError,
    },
    /// A figure without terms.
    #[error("{0} has no terms; right is at least one")]
    NoTerms(String),
}

/// The text that definitions are read from, and the errors found in it.
struct DefinitionParser<'a> {
    file: &'a str,
    text: &'a str,
    errors: Errors,
}

impl DefinitionParser<'_> {
    /// Adds an error at a byte of the text.
    fn report(&mut self, offset: usize, source: DefinitionError) {
        let before = self.text.get(..offset);
        self.errors.push(CapacityError::Definition {
            file: self.file.into(),
            line: before.map_or(1, |text| text.matches('\n').count() + 1),
            source,
        });
    }

    /// Checks that names can stand in terms, and each for one thing only.
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

    /// Checks the tool of a slope, and its numbers.
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

    /// Parses the terms of a figure; they can name the figures defined before it.
    fn parse_figure(&mut self, definitions: &Definitions, written: FigureFile) -> Figure {
        let mut terms = Vec::new();
        for text in &written.terms {
            match Term::parse(text.get_ref(), definitions) {
                Ok(term) => terms.push(term),
                Err(source) => {
                    let term = text.get_ref().clone();
                    self.report(text.span().start, DefinitionError::Term { term, source });
                }
            }
        }
        if written.terms.is_empty() {
            let id = written.id.get_ref().clone();
            self.report(written.id.span().start, DefinitionError::NoTerms(id));
        }
        if let Some(number) = &written.budget {
            self.check_number(definitions, number);
        }
        Figure {
            id: written.id.into_inner(),
            role: written.role,
            description: written.description,
            unit: written.unit,
            budget: written.budget.map(Spanned::into_inner),
            mechanism: written.mechanism,
            terms,
        }
    }
}

fn is_identifier(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '_';
    !text.is_empty() && text.chars().all(is_allowed)
}

impl Definitions {
    /// Reads `figures.toml`.
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
        for written in file.figures {
            let figure = parser.parse_figure(&definitions, written);
            definitions.figures.push(figure);
        }
        parser.errors.into_result(definitions)
    }

    /// The value of a number, looked up if it is a name.
    pub fn resolve(&self, number: &Number, overrides: &Overrides) -> Result<f64, UnknownNumber> {
        match number {
            Number::Plain(value) => Ok(*value),
            Number::Named(name) => self.lookup(name, overrides).ok_or_else(|| UnknownNumber {
                name: name.clone(),
                known: self.number_names(),
            }),
        }
    }

    /// The value of a name: overridden, given or assumed.
    pub(super) fn lookup(&self, name: &str, overrides: &Overrides) -> Option<f64> {
        let assumption = || self.assumptions.iter().find(|a| a.id() == name);
        overrides
            .get(name)
            .or_else(|| self.given.get(name))
            .copied()
            .or_else(|| Some(assumption()?.value))
    }

    /// The names of given numbers and of assumptions.
    pub(super) fn number_names(&self) -> Vec<String> {
        let assumed = self.assumptions.iter().map(|a| a.id().to_string());
        self.given.keys().cloned().chain(assumed).collect()
    }

    /// The position of a slope.
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
