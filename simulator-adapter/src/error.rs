//! What ends a session early.

use std::io;
use tansy_conf::SettingsError;
use tansyrouter::InvalidSettings;

/// Why a session ended before its input did.
#[derive(Debug, thiserror::Error)]
pub enum SessionError {
    /// A line can't be read, understood or answered.
    #[error("line {number}: {source}")]
    Line {
        /// The line's number, from 1.
        number: u64,
        /// What is wrong with it.
        source: LineError,
    },
    /// The input ends between a `Clock` and its `Commit`.
    #[error("line {number}: the input ends inside batch {sequence}")]
    UnfinishedBatch {
        /// The number that the next line would have.
        number: u64,
        /// The batch's sequence number.
        sequence: u64,
    },
}

/// What is wrong with a line of the input.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// It can't be read from the input.
    #[error(transparent)]
    Read(io::Error),
    /// It is no message: not JSON, or a message of no known form.
    #[error(transparent)]
    Malformed(serde_json::Error),
    /// A `Clock` before the `Commit` of the batch that is open.
    #[error("a Clock inside a batch")]
    ClockInsideBatch,
    /// A `Commit` without a `Clock` before it.
    #[error("a Commit outside a batch")]
    CommitOutsideBatch,
    /// An event without a `Clock` before it.
    #[error("an event outside a batch")]
    EventOutsideBatch,
    /// An event for a front end that was not started, or that was stopped.
    #[error("instance {front_end} is not up")]
    UnknownFrontEnd {
        /// The front end's number.
        front_end: u64,
    },
    /// Settings of a front end with a value that makes no sense.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Settings of a front end that the router does not accept.
    #[error(transparent)]
    Router(#[from] InvalidSettings),
    /// A list of workers in a mode other than 1 to 4.
    #[error("mode {mode} of Targets is unknown")]
    UnknownListMode {
        /// The mode.
        mode: u8,
    },
    /// A worker in a state other than 1 to 3.
    #[error("health {health} of {worker} is unknown")]
    UnknownWorkerState {
        /// The state.
        health: u8,
        /// The worker's name.
        worker: String,
    },
    /// A function's name that is not 16 hexadecimal digits.
    #[error("callee {name:?} is not 16 hex digits")]
    InvalidFunctionName {
        /// The name.
        name: String,
    },
    /// The commands can't be written to the output.
    #[error("writing the reply: {0}")]
    Write(io::Error),
}
