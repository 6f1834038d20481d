//! Why a run could not go on.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A part of the run that could not be started; it says nothing about the front ends under test.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// No listener, or no reservation, on this address.
    #[error("{part}, {address}: {source}")]
    Listen {
        /// Who was to listen there.
        part: &'static str,
        /// The address; port 0 is any.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// A file or folder of the run could not be written.
    #[error("{}: {source}", path.display())]
    File {
        /// Its path.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The front end's program could not be started.
    #[error("{}: {source}", program.display())]
    StartProgram {
        /// Its path.
        program: PathBuf,
        /// The system's error.
        source: io::Error,
    },
}

impl SoakError {
    /// For `map_err`: this part could not listen on this address.
    pub(crate) fn listen(
        part: &'static str,
        address: SocketAddr,
    ) -> impl FnOnce(io::Error) -> SoakError {
        move |source| SoakError::Listen {
            part,
            address,
            source,
        }
    }

    /// For `map_err`: this file or folder could not be written.
    pub(crate) fn file(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> SoakError {
        let path = path.into();
        move |source| SoakError::File { path, source }
    }
}
