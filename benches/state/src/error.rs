//! Errors of benchmarks.

use std::fmt::Display;
use thiserror::Error;

/// Why a benchmark produced no figures. Formats as a single line.
#[derive(Debug, Error)]
pub enum BenchError {
    /// The command line names no measurement.
    #[error("--what: no measurement given; for example --what module")]
    NoMeasurement,
    /// The requested size does not fit into memory.
    #[error(
        "{arguments}: would use up to {needed_mb:.0} MB, more than half of this machine's memory ({allowed_mb:.0} MB); use \
         fewer functions, instances or front ends"
    )]
    TooLarge {
        /// The command-line arguments.
        arguments: String,
        /// Upper estimate of the memory that the measurement needs.
        needed_mb: f64,
        /// Memory that a measurement may use.
        allowed_mb: f64,
    },
    /// A step of a measurement failed.
    #[error("{subject}: {reason}")]
    Failed {
        /// What the step worked on.
        subject: String,
        /// The first line of the cause.
        reason: String,
    },
}

impl BenchError {
    /// Creates [`BenchError::Failed`] with the first line of `reason`.
    pub(crate) fn failed(subject: &str, reason: impl Display) -> BenchError {
        let reason = reason.to_string();
        BenchError::Failed {
            subject: subject.to_string(),
            reason: reason
                .lines()
                .next()
                .unwrap_or("no reason given")
                .to_string(),
        }
    }

    /// The exit code: 2 for rejected arguments, 1 for a failed measurement.
    pub fn exit_code(&self) -> u8 {
        match self {
            BenchError::NoMeasurement | BenchError::TooLarge { .. } => 2,
            BenchError::Failed { .. } => 1,
        }
    }
}
