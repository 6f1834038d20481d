//! Errors of all commands. Each prints as one line with the file, the line number if known, the cause, and what was
//! expected.

use crate::check::Difference;
use crate::figures::{DefinitionError, MeasurementError};
use crate::page::TemplateError;
use crate::plot::PlotError;
use crate::runs::{Machine, MachineError, RunError};
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// An error of a command.
#[derive(Debug, Error)]
pub enum CapacityError {
    /// Reading, writing or deleting a file or folder failed.
    #[error("{}: {source}", .path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A line in a file of runs is not a valid run.
    #[error("{file}:{line}: {source}")]
    Run {
        /// The file's name.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The cause.
        source: RunError,
    },
    /// The file of recorded runs is malformed.
    #[error("{file}:{}: {source}; expected {{\"day\": ..., \"machine\": ..., \"runs\": [...]}}", .source.line())]
    RunStore {
        /// The file's name.
        file: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// A run in the file of recorded runs is not valid.
    #[error("{file}: run {number}: {source}")]
    RecordedRun {
        /// The file's name.
        file: String,
        /// The run's position, from 1.
        number: usize,
        /// The cause.
        source: RunError,
    },
    /// The properties of this machine could not be determined.
    #[error(transparent)]
    Machine(#[from] MachineError),
    /// The recorded runs were measured on another machine.
    #[error(
        "{}: recorded on a machine with {} cores and {} GiB, this one has {} and {}; use the same machine, or --anew",
        .path.display(), .recorded.cores, .recorded.memory_gb, .current.cores, .current.memory_gb
    )]
    MachineMismatch {
        /// The file of recorded runs.
        path: PathBuf,
        /// The machine on which its runs were measured.
        recorded: Machine,
        /// This machine.
        current: Machine,
    },
    /// A definition in `figures.toml` is invalid.
    #[error("{file}:{line}: {source}")]
    Definition {
        /// The file's name.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The cause.
        source: DefinitionError,
    },
    /// The runs of a slope can't be combined.
    #[error("{file}: slope {slope}: {source}")]
    Measurement {
        /// The name of the file in which the slope is defined.
        file: String,
        /// The id of the slope.
        slope: String,
        /// The cause.
        source: MeasurementError,
    },
    /// A placeholder in the template is invalid.
    #[error("{file}:{line}: {source}")]
    Template {
        /// The template's file name.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The cause.
        source: TemplateError,
    },
    /// Drawing a plot failed.
    #[error("{file}: {source}")]
    Plot {
        /// The plot's file name.
        file: String,
        /// The cause.
        source: PlotError,
    },
    /// A generated or recorded file is out of date.
    #[error(transparent)]
    Difference(#[from] Difference),
}

impl CapacityError {
    /// Attaches a path to an I/O error, for use with `map_err`.
    pub(crate) fn io(path: &Path) -> impl FnOnce(io::Error) -> CapacityError + '_ {
        |source| CapacityError::Io {
            path: path.to_path_buf(),
            source,
        }
    }
}

/// All errors found, in the order in which they were found.
#[derive(Debug, Default)]
pub struct Errors(Vec<CapacityError>);

impl Errors {
    /// Iterates over the errors.
    pub fn iter(&self) -> impl Iterator<Item = &CapacityError> {
        self.0.iter()
    }

    /// The message of each error.
    pub fn messages(&self) -> Vec<String> {
        self.iter().map(ToString::to_string).collect()
    }

    /// The messages joined with a separator.
    pub fn join(&self, separator: &str) -> String {
        self.messages().join(separator)
    }

    pub(crate) fn push(&mut self, error: impl Into<CapacityError>) {
        self.0.push(error.into());
    }

    pub(crate) fn append(&mut self, mut other: Errors) {
        self.0.append(&mut other.0);
    }

    /// `Ok(value)` if no error was added, else the errors.
    pub(crate) fn into_result<T>(self, value: T) -> Result<T, Errors> {
        if self.0.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl From<CapacityError> for Errors {
    fn from(error: CapacityError) -> Errors {
        Errors(vec![error])
    }
}

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.join("\n"))
    }
}

impl std::error::Error for Errors {}
