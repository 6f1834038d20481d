//! Errors that end a session.

use std::io;
use tansy_conf::SettingsError;
use tansyrouter::InvalidSettings;

/// Why a session ended before the end of its input.
#[derive(Debug, thiserror::Error)]
pub enum SessionError {
    /// A line cannot be read, processed or answered.
    #[error("line {number}: {source}")]
    Line {
        /// The line number, from 1.
        number: u64,
        /// The error.
        source: LineError,
    },
    /// The input ends between a `Clock` and its `Commit`.
    #[error("line {number}: the input ends inside batch {sequence}")]
    UnfinishedBatch {
        /// The number of the missing line.
        number: u64,
        /// The sequence number of the batch.
        sequence: u64,
    },
}

/// Errors of a single input line.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The line cannot be read.
    #[error(transparent)]
    Read(io::Error),
    /// The line is not JSON or not a known message.
    #[error(transparent)]
    Malformed(serde_json::Error),
    /// A `Clock` while a batch is open.
    #[error("Clock inside a batch, before its Commit")]
    ClockInsideBatch,
    /// A `Commit` without an open batch.
    #[error("Commit outside a batch, without a Clock before it")]
    CommitOutsideBatch,
    /// An event outside a batch.
    #[error("event outside a batch, without a Clock before it")]
    EventOutsideBatch,
    /// An event for a front end that is not running.
    #[error("front end {front_end} is not running")]
    UnknownFrontEnd {
        /// The number of the front end.
        front_end: u64,
    },
    /// Invalid settings of a front end.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Settings that the router rejects.
    #[error(transparent)]
    Router(#[from] InvalidSettings),
    /// A worker list with an unknown mode.
    #[error("unknown mode {mode} in Targets")]
    UnknownListMode {
        /// The mode.
        mode: u8,
    },
    /// A worker with an unknown state.
    #[error("unknown health {health} of worker {worker:?}")]
    UnknownWorkerState {
        /// The state.
        health: u8,
        /// The name of the worker.
        worker: String,
    },
    /// A function name that is not 16 hexadecimal digits.
    #[error("callee {name:?} is not 16 hex digits")]
    InvalidFunctionName {
        /// The name.
        name: String,
    },
    /// The output cannot be written.
    #[error("cannot write the output: {0}")]
    Write(io::Error),
}
