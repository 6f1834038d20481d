//! Why a measurement, or one of its processes of hollow front ends, can't go on.

use std::io;
use std::net::SocketAddr;
use tansy_fleet_wire::{DecodeError, MAX_MESSAGE_BYTES};
use tansy_net_fleet::client::RequestError;
use tansy_net_fleet::StartError;

/// Why a measurement can't go on.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The system refused something that needs no further explanation.
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
    /// A front end's answer holds a part that can't be read.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// A request to a front end failed.
    #[error(transparent)]
    Request(#[from] RequestError),
    /// A hollow front end could not start its fleet transport.
    #[error(transparent)]
    Transport(#[from] StartError),
    /// SIGINT or SIGTERM ended the run.
    #[error("interrupted")]
    Interrupted,
    /// An address could not be reserved for a real front end.
    #[error("{address}: {source}")]
    ReserveAddress {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// A hollow front end can't listen.
    #[error("{name} at {address}: {source}")]
    Listen {
        /// The front end.
        name: String,
        /// Its address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// A real front end answered no request for its counters.
    #[error("{address}: {source}")]
    Counters {
        /// Its address.
        address: SocketAddr,
        /// Why there is no answer.
        source: RequestError,
    },
    /// A process was started without a pipe that is read.
    #[error("{0}")]
    MissingPipe(&'static str),
    /// A command is for a process of hollow front ends that was not started.
    #[error("no such process")]
    NoSuchProcess,
    /// A process of hollow front ends has closed its input.
    #[error("a process of hollow front ends accepts no commands: {0}")]
    CommandPipe(io::Error),
    /// A process of hollow front ends reported an error.
    #[error("a process of hollow front ends: {0}")]
    HollowFailed(String),
    /// A process of hollow front ends exited during the run.
    #[error("process {0} of hollow front ends has ended")]
    HollowExited(usize),
    /// A real front end exited during the run.
    #[error("the front end {0:?} has ended")]
    FrontEndExited(String),
    /// A front end still admitted calls under settings that had been replaced.
    #[error("{name:?} applied an earlier class of {function}, which was no longer in force")]
    StaleAdmission {
        /// The front end; none if it is not one of this fleet.
        name: Option<String>,
        /// The function whose class had changed.
        function: String,
    },
    /// A condition did not hold in time.
    #[error("timed out waiting for {awaited}: {joined} of {running} act")]
    Timeout {
        /// What was waited for.
        awaited: &'static str,
        /// Front ends that hold a lease and a session.
        joined: usize,
        /// Front ends that run.
        running: usize,
    },
    /// The leader has no settings yet.
    #[error("the leader has no version of the settings")]
    NoVersion,
    /// The leader carries out another change.
    #[error("a change is under way")]
    ChangeInProgress,
    /// The leader refused a log entry on each attempt.
    #[error("a change was refused: {0}")]
    EntryRefused(RequestError),
    /// The leader refused a version of the settings on each attempt.
    #[error("a proposal was refused: {0}")]
    ProposalRefused(RequestError),
    /// Functions that were set at the start did not come in force.
    #[error(
        "of {requested} functions that were set {abandoned} were abandoned, others are not in force"
    )]
    FunctionsNotInForce {
        /// Functions in the request.
        requested: usize,
        /// Of them abandoned by the leader.
        abandoned: usize,
    },
    /// Hollow front ends did not subscribe to all functions that they call.
    #[error("hollow front ends subscribe to {subscribed} of {called} functions that they call")]
    NotSubscribed {
        /// Subscriptions, over all hollow front ends.
        subscribed: usize,
        /// Functions that they call.
        called: usize,
    },
    /// The leader's answer has another number of functions than the request.
    #[error("the leader answered for {received} functions, not {requested}")]
    FunctionCountMismatch {
        /// Functions in the answer.
        received: usize,
        /// Functions in the request.
        requested: usize,
    },
    /// The leader does not know a function that was set before.
    #[error("the leader knows no function {0}")]
    UnknownFunction(String),
    /// A version of the settings is larger than any message.
    #[error(
        "a version of {functions} functions is a message of {bytes} bytes, which may have {MAX_MESSAGE_BYTES}: it can't be sent"
    )]
    VersionTooLarge {
        /// Functions of the settings.
        functions: usize,
        /// Bytes of the message that would carry them.
        bytes: usize,
    },
    /// A file of the kernel's counters has another form than expected.
    #[error("{0} can't be read")]
    KernelCounters(&'static str),
    /// A line on standard input is no command.
    #[error("a command that can't be read: {0}")]
    InvalidCommand(serde_json::Error),
    /// A command came before the one that sets a hollow process up.
    #[error("a command before the one that sets the process up")]
    NotInitialized,
    /// The settings of a hollow process have no `fleet`.
    #[error("settings without a fleet")]
    NoFleet,
    /// A hollow front end was to start before its process knew the others.
    #[error("no connections to the other processes")]
    NotConnected,
}
