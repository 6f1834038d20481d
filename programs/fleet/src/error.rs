//! Why a command was not done.

use crate::processes::ProcessError;
use std::path::Path;
use tansy_net_fleet::client::RequestError;

/// Why a command was not done. The texts are for operators and say what would be right.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A front end, or what is needed to reach one, is not available.
    #[error("{0}")]
    Unreachable(String),
    /// The arguments, the settings or a file are wrong.
    #[error("{0}")]
    Invalid(String),
    /// A file can't be read, written or understood.
    #[error("{path}: {reason}")]
    File {
        /// The file.
        path: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A process of the machine, or its folder.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The page of a report can't be made.
    #[error("{0}")]
    Report(String),
    /// The fleet refused.
    #[error("{0}")]
    Rejected(String),
    /// The change was not in force in the time that was waited.
    #[error("{0}")]
    TimedOut(String),
    /// The change was proposed, and the fleet gave it up.
    #[error("{0}")]
    Abandoned(String),
}

impl FleetError {
    /// The program's exit code.
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

/// The text of a file.
pub(crate) fn read_file(path: &Path) -> Result<String, FleetError> {
    std::fs::read_to_string(path).map_err(|error| FleetError::file(path, error))
}
