//! Why a benchmark gave no figures.

use std::fmt::Display;
use thiserror::Error;

/// Why nothing was measured, as one line.
#[derive(Debug, Error)]
pub enum BenchError {
    /// The command line names no measurement.
    #[error("--what: nothing to measure is named: want one, as --what module")]
    NoMeasurement,
    /// The requested size does not fit into memory.
    #[error(
        "{arguments}: it would hold up to {needed_mb:.0} MB, allowed is half of this machine's memory, {allowed_mb:.0} MB: want \
         fewer functions, instances or front ends"
    )]
    TooLarge {
        /// The arguments that were given.
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
    /// A step on `subject` that failed for this reason, of which the first line is kept.
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

    /// The exit code: 2 for arguments that can't be measured, 1 for a measurement that failed.
    pub fn exit_code(&self) -> u8 {
        match self {
            BenchError::NoMeasurement | BenchError::TooLarge { .. } => 2,
            BenchError::Failed { .. } => 1,
        }
    }
}
