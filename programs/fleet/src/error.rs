//! Errors of commands.

use crate::processes::ProcessError;
use std::path::Path;
use tansy_net_fleet::client::RequestError;

/// Why a command failed. The messages are for operators.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A front end could not be reached, or its answer not be understood.
    #[error("{0}")]
    Unreachable(String),
    /// The arguments or the settings are invalid.
    #[error("{0}")]
    Invalid(String),
    /// A file could not be read, written or parsed.
    #[error("{path}: {reason}")]
    File {
        /// Path of the file.
        path: String,
        /// What is wrong.
        reason: String,
    },
    /// The supervisor could not use its folder, a program or a process.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The report on a rollout could not be made.
    #[error("{0}")]
    Report(String),
    /// The fleet rejected the request.
    #[error("{0}")]
    Rejected(String),
    /// The change was not in force within the waiting time.
    #[error("{0}")]
    TimedOut(String),
    /// The fleet abandoned the change.
    #[error("{0}")]
    Abandoned(String),
}

impl FleetError {
    /// Exit code of the program.
    pub fn exit_code(&self) -> u8 {
        match self {
            FleetError::Unreachable(_) => 1,
            FleetError::Invalid(_)
            | FleetError::File { .. }
            | FleetError::Process(_)
            | FleetError::Report(_) => 2,
            FleetError::Rejected(_) => 3,
            FleetError::TimedOut(_) => 4,
            FleetError::Abandoned(_) => 5,
        }
    }

    pub(crate) fn invalid(error: impl std::fmt::Display) -> FleetError {
        FleetError::Invalid(error.to_string())
    }

    pub(crate) fn unreachable(error: impl std::fmt::Display) -> FleetError {
        FleetError::Unreachable(error.to_string())
    }

    pub(crate) fn file(path: &Path, error: impl std::fmt::Display) -> FleetError {
        FleetError::File {
            path: path.display().to_string(),
            reason: error.to_string(),
        }
    }
}

impl From<RequestError> for FleetError {
    fn from(error: RequestError) -> FleetError {
        match error {
            RequestError::Unreachable(reason) => FleetError::Unreachable(reason),
            RequestError::Rejected(..) => FleetError::Rejected(error.to_string()),
        }
    }
}

/// Reads a text file.
pub(crate) fn read_file(path: &Path) -> Result<String, FleetError> {
    std::fs::read_to_string(path).map_err(|error| FleetError::file(path, error))
}
