//! Errors that end a run.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A part of the run could not be started. Such an error is a failure of the harness, not of the front ends under test.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A part of the harness could not listen on an address, or reserve it.
    #[error("{part}, {address}: {source}")]
    Listen {
        /// The part of the harness.
        part: &'static str,
        /// The address; with port 0 the kernel chooses the port.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file or folder of the run could not be written.
    #[error("{}: {source}", path.display())]
    File {
        /// The path of the file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The front end's program could not be started.
    #[error("{}: {source}", program.display())]
    StartProgram {
        /// The path of the program.
        program: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
}

impl SoakError {
    /// Converts an error of listening on, or reserving, an address; for `map_err`.
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

    /// Converts an error of writing a file or folder; for `map_err`.
    pub(crate) fn file(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> SoakError {
        let path = path.into();
        move |source| SoakError::File { path, source }
    }
}
