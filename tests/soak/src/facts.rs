//! Facts: timestamped observations of sockets and processes. They are the only input of the oracle.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The id of a request.
pub type RequestId = u64;
/// The front-end index; all processes of a front end have the same.
pub type FrontEndIndex = usize;
/// The number of a worker.
pub type WorkerId = usize;

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The request may run more than once.
    Safe,
    /// The request must not run twice.
    Unsafe,
    /// Workers drop repeats of the request for [`crate::configuration::REPEAT_WINDOW`].
    Keyed,
}

/// How the front end ended a client's connection while a request was open on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The connection was closed or reset before the first byte of a response.
    Closed,
    /// The connection ended within a response.
    Truncated,
}

/// One observation.
#[derive(Clone, Debug)]
pub enum Fact {
    /// A client wrote the last byte of a request.
    RequestSent {
        /// The request.
        id: RequestId,
        /// The front end that it was sent to.
        front_end: FrontEndIndex,
        /// The number of the front end's process.
        process: u64,
        /// Whether the request may be repeated.
        effect: Effect,
        /// The request's timeout.
        timeout: Duration,
        /// Whether the connection was idle before: if it then ends within [`crate::clients::CLOSE_RACE_WINDOW`], the client sends
        /// the request again.
        idle_before: bool,
    },
    /// A client read a complete response.
    ResponseReceived {
        /// The request.
        id: RequestId,
        /// The response status.
        status: u16,
        /// Whether the body is the one that a worker returns for this request.
        body_matches: bool,
    },
    /// The client closed or reset its connection while the request was open on it.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// The front end ended the client's connection while the request was open on it.
    ConnectionLost {
        /// The request.
        id: RequestId,
        /// How the connection ended.
        end: ConnectionEnd,
    },
    /// The client stopped waiting: no response came within the timeout and the slack after it.
    ResponseTimedOut {
        /// The request.
        id: RequestId,
    },
    /// A worker's proxy read a complete attempt.
    AttemptStarted {
        /// The request.
        id: RequestId,
        /// The worker.
        worker: WorkerId,
        /// The proxy's connection.
        connection: u64,
        /// The timeout in the attempt, in milliseconds.
        timeout_ms: u64,
        /// Whether the attempt may have waited in the listen backlog while the proxy accepted no connections.
        maybe_queued: bool,
    },
    /// An attempt ended: the proxy read the worker's answer or the front end's cancellation, or the connection ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The proxy's connection.
        connection: u64,
        /// Whether the worker answered that the attempt did not run.
        never_ran: bool,
    },
    /// A worker's proxy read a request to load at least one instance.
    LoadStarted {
        /// The worker.
        worker: WorkerId,
        /// The proxy's connection.
        connection: u64,
    },
    /// A worker's proxy accepted a connection.
    ConnectionAccepted {
        /// The proxy's connection.
        connection: u64,
        /// The front end's port.
        port: u16,
    },
    /// A worker's state changed at the coordinator.
    WorkerStateChanged {
        /// The number of the event.
        event: u64,
        /// The worker.
        worker: WorkerId,
        /// Whether the worker takes calls.
        ready: bool,
    },
    /// The coordinator read a poll, which acknowledges the events up to this one.
    PollReceived {
        /// The front end.
        front_end: FrontEndIndex,
        /// The number of the front end's process.
        process: u64,
        /// The last event that the front end has received.
        event: u64,
    },
    /// The coordinator's mode changed.
    DiscoveryAvailability {
        /// Whether the coordinator sends complete replies from now on, delayed or not.
        answers: bool,
    },
    /// The coordinator began a reply with the events up to this one.
    PollReplyStarted {
        /// The front end.
        front_end: FrontEndIndex,
        /// The number of the front end's process.
        process: u64,
        /// The last event of the reply.
        event: u64,
    },
    /// A process was started.
    ProcessStarted {
        /// The front end.
        front_end: FrontEndIndex,
        /// The number of the front end's process.
        process: u64,
    },
    /// A process answered a liveness request for the first time.
    ProcessReady {
        /// The front end.
        front_end: FrontEndIndex,
        /// The number of the front end's process.
        process: u64,
    },
    /// A signal was sent to a process.
    SignalSent {
        /// The front end.
        front_end: FrontEndIndex,
        /// The number of the front end's process.
        process: u64,
        /// The signal.
        signal: Signal,
    },
    /// A process ended.
    ProcessExited {
        /// The front end.
        front_end: FrontEndIndex,
        /// The number of the front end's process.
        process: u64,
        /// The exit code; `None` if a signal ended the process.
        code: Option<i32>,
        /// The last line of the standard output.
        last_line: String,
    },
    /// A front end reacted to a malformed request, or did not.
    MalformedRequest {
        /// The front end.
        front_end: FrontEndIndex,
        /// The number of the front end's process.
        process: u64,
        /// Time from the connect to the answer or close; `None` if neither came while the client waited.
        after: Option<Duration>,
        /// Whether the front end answered with status 200.
        served: bool,
    },
    /// The harness itself was delayed by this time; facts of that time may be recorded late.
    HarnessDelayed(Duration),
    /// A fault of the network, of discovery or of clients began or ended; the text describes it.
    FaultChanged(String),
}

/// A signal that the harness sends to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM.
    Terminate,
    /// SIGKILL.
    Kill,
    /// SIGHUP.
    Reload,
    /// SIGSTOP.
    Stop,
    /// SIGCONT.
    Continue,
}

/// The facts of one run, in the order in which they were recorded.
#[derive(Debug)]
pub struct Facts {
    started: Instant,
    all: Mutex<Vec<(Duration, Fact)>>,
}

impl Default for Facts {
    fn default() -> Facts {
        Facts {
            started: Instant::now(),
            all: Mutex::default(),
        }
    }
}

impl Facts {
    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Records a fact with the present time.
    pub fn record(&self, fact: Fact) {
        let mut all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.started.elapsed();
        all.push((now, fact));
    }

    /// Removes and returns all recorded facts.
    pub fn take(&self) -> Vec<(Duration, Fact)> {
        std::mem::take(&mut *self.all.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
