//! Errors of a measurement and of its processes of hollow front ends.

use std::io;
use std::net::SocketAddr;
use tansy_fleet_wire::{DecodeError, MAX_MESSAGE_BYTES};
use tansy_net_fleet::client::RequestError;
use tansy_net_fleet::StartError;

/// An error that ends a measurement or a process of hollow front ends.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The event loop of a process of hollow front ends failed.
    #[error(transparent)]
    EventLoop(#[from] calloop::Error),
    /// The generated settings were rejected.
    #[error(transparent)]
    Settings(#[from] tansy_settings::Errors),
    /// A message could not be written as JSON.
    #[error(transparent)]
    Encode(#[from] serde_json::Error),
    /// A part of a front end's answer can't be decoded.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// A request to a front end failed.
    #[error(transparent)]
    Request(#[from] RequestError),
    /// A hollow front end could not start its fleet transport.
    #[error(transparent)]
    Transport(#[from] StartError),
    /// The run was ended by SIGINT or SIGTERM.
    #[error("interrupted")]
    Interrupted,
    /// No port could be reserved for a real front end.
    #[error("cannot reserve a port at {address}: {source}")]
    ReserveAddress {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// A hollow front end can't listen.
    #[error("{name} cannot listen at {address}: {source}")]
    Listen {
        /// The front end.
        name: String,
        /// Its address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// A request for the counters of a real front end failed.
    #[error("cannot read the counters of the front end at {address}: {source}")]
    Counters {
        /// Its address.
        address: SocketAddr,
        /// Why the request failed.
        source: RequestError,
    },
    /// A child process has no pipe for its output.
    #[error("{0}")]
    MissingPipe(&'static str),
    /// A command was sent to a process of hollow front ends that is not started.
    #[error("the process of hollow front ends is not started")]
    NoSuchProcess,
    /// A process of hollow front ends has closed its input.
    #[error("a process of hollow front ends accepts no commands: {0}")]
    CommandPipe(io::Error),
    /// A process of hollow front ends reported an error.
    #[error("a process of hollow front ends failed: {0}")]
    HollowFailed(String),
    /// A process of hollow front ends exited during the run.
    #[error("process {0} of hollow front ends exited")]
    HollowExited(usize),
    /// A real front end exited during the run.
    #[error("the front end {0:?} exited")]
    FrontEndExited(String),
    /// A front end admitted calls by a class of a function that was no longer in force.
    #[error(
        "front end {name:?} admitted calls of {function} by a class that was no longer in force"
    )]
    StaleAdmission {
        /// The front end; `None` if its index is not one of this fleet.
        name: Option<String>,
        /// The function whose class had changed.
        function: String,
    },
    /// A condition did not hold in time.
    #[error("timed out waiting for {awaited}: {joined} of {running} front ends have joined")]
    Timeout {
        /// The condition.
        awaited: &'static str,
        /// Front ends that have held a lease and a session since their start.
        joined: usize,
        /// Front ends that run.
        running: usize,
    },
    /// The leader has no settings yet.
    #[error("the leader has no version of the settings")]
    NoVersion,
    /// The leader has a change in progress.
    #[error("a change is in progress")]
    ChangeInProgress,
    /// Every attempt to append an entry to the leader's log failed.
    #[error("the leader refused a log entry: {0}")]
    EntryRefused(RequestError),
    /// Every attempt to propose a version of the settings failed.
    #[error("the leader refused a version of the settings: {0}")]
    ProposalRefused(RequestError),
    /// Functions that were set at the start did not come in force.
    #[error("not all of {requested} functions came in force; the leader abandoned {abandoned}")]
    FunctionsNotInForce {
        /// Functions in the request.
        requested: usize,
        /// Functions whose update the leader abandoned.
        abandoned: usize,
    },
    /// Hollow front ends did not subscribe to all functions that they call.
    #[error(
        "hollow front ends subscribed to {subscribed} of the {called} functions that they call"
    )]
    NotSubscribed {
        /// Subscriptions of all hollow front ends.
        subscribed: usize,
        /// Functions that the hollow front ends call, summed over them.
        called: usize,
    },
    /// The leader's answer and the request differ in the number of functions.
    #[error("the leader answered for {received} functions, expected {requested}")]
    FunctionCountMismatch {
        /// Functions in the answer.
        received: usize,
        /// Functions in the request.
        requested: usize,
    },
    /// The leader does not know a function that was set before.
    #[error("the leader does not know the function {0}")]
    UnknownFunction(String),
    /// A version of the settings exceeds the largest message.
    #[error(
        "settings with {functions} functions need a message of {bytes} bytes, above the limit of {MAX_MESSAGE_BYTES}"
    )]
    VersionTooLarge {
        /// Functions in the settings.
        functions: usize,
        /// Size of the message that would carry the settings.
        bytes: usize,
    },
    /// A file of kernel counters can't be read or parsed.
    #[error("{0} can't be read")]
    KernelCounters(&'static str),
    /// A line on standard input is not a valid command.
    #[error("invalid command: {0}")]
    InvalidCommand(serde_json::Error),
    /// A process of hollow front ends received another command before the one that initializes it.
    #[error("received a command before initialization")]
    NotInitialized,
    /// The settings of a process of hollow front ends have no `fleet`.
    #[error("the settings have no `fleet`")]
    NoFleet,
    /// A hollow front end was to start before its process was connected to the others.
    #[error("not connected to the other processes of hollow front ends")]
    NotConnected,
}
