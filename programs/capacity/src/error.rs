//! Errors in runs, definitions and pages. Each prints as one line: the file, the line where there is one, the fault, and
//! the remedy.

use crate::check::Difference;
use crate::figures::{DefinitionError, MeasurementError};
use crate::page::TemplateError;
use crate::plot::PlotError;
use crate::runs::{Machine, MachineError, RunError};
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// An error in a file.
#[derive(Debug, Error)]
pub enum CapacityError {
    /// A file or folder can't be read, written or removed.
    #[error("{}: {source}", .path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A line of a file of runs is not a valid run.
    #[error("{file}:{line}: {source}")]
    Run {
        /// The file's name.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The cause.
        source: RunError,
    },
    /// The file of recorded runs is not in its format.
    #[error("{file}:{}: {source}; right is {{\"day\": ..., \"machine\": ..., \"runs\": [...]}}", .source.line())]
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
    /// The machine can't be described.
    #[error(transparent)]
    Machine(#[from] MachineError),
    /// The recorded runs were measured on another machine.
    #[error(
        "{}: its runs are of a machine of {} cores and {} GiB, this has {} and {}; right is the same, or --anew",
        .path.display(), .recorded.cores, .recorded.memory_gb, .current.cores, .current.memory_gb
    )]
    MachineMismatch {
        /// The file of recorded runs.
        path: PathBuf,
        /// The machine of its runs.
        recorded: Machine,
        /// This machine.
        current: Machine,
    },
    /// A definition is wrong.
    #[error("{file}:{line}: {source}")]
    Definition {
        /// The file's name.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The cause.
        source: DefinitionError,
    },
    /// The runs of a slope do not belong together.
    #[error("{file}: slope {slope}: {source}")]
    Measurement {
        /// The name of the file that defines the slope.
        file: String,
        /// The slope.
        slope: String,
        /// The cause.
        source: MeasurementError,
    },
    /// A placeholder of the template is wrong.
    #[error("{file}:{line}: {source}")]
    Template {
        /// The template's name.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The cause.
        source: TemplateError,
    },
    /// A plot can't be drawn.
    #[error("{file}: {source}")]
    Plot {
        /// The plot's file name.
        file: String,
        /// The cause.
        source: PlotError,
    },
    /// A file is not up to date.
    #[error(transparent)]
    Difference(#[from] Difference),
}

impl CapacityError {
    /// Adds the path to an error of reading, writing or removing it.
    pub(crate) fn io(path: &Path) -> impl FnOnce(io::Error) -> CapacityError + '_ {
        |source| CapacityError::Io {
            path: path.to_path_buf(),
            source,
        }
    }
}

/// All errors found, in the order of the text.
#[derive(Debug, Default)]
pub struct Errors(Vec<CapacityError>);

impl Errors {
    /// The errors one by one.
    pub fn iter(&self) -> impl Iterator<Item = &CapacityError> {
        self.0.iter()
    }

    /// The lines that the errors print as.
    pub fn messages(&self) -> Vec<String> {
        self.iter().map(ToString::to_string).collect()
    }

    /// The lines that the errors print as, as one text.
    pub fn join(&self, separator: &str) -> String {
        self.messages().join(separator)
    }

    pub(crate) fn push(&mut self, error: impl Into<CapacityError>) {
        self.0.push(error.into());
    }

    pub(crate) fn append(&mut self, mut other: Errors) {
        self.0.append(&mut other.0);
    }

    /// The value if nothing was wrong, or else the errors.
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
