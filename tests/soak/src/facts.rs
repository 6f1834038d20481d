//! What was seen on the sockets and of the processes, with the time: the only thing that the oracle judges from.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A request's id.
pub type RequestId = u64;
/// A front end's number; a restarted process keeps it.
pub type FrontEndIndex = usize;
/// A worker's number.
pub type WorkerId = usize;

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may run again.
    Safe,
    /// It must not run twice.
    Unsafe,
    /// Workers drop its repeats for a while ([`crate::configuration::REPEAT_WINDOW`]).
    Keyed,
}

/// How a client's connection ended with a request open on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The front end closed or reset it, with nothing of an answer.
    Closed,
    /// The response was cut short.
    Truncated,
}

/// One thing that was seen.
#[derive(Clone, Debug)]
pub enum Fact {
    /// A client wrote the last byte of a request.
    RequestSent {
        /// The request.
        id: RequestId,
        /// The front end that it was sent to.
        front_end: FrontEndIndex,
        /// The number of its process.
        process: u64,
        /// What running it twice would do.
        effect: Effect,
        /// How long its client waits.
        timeout: Duration,
        /// The connection had been idle before: its end within the crossing time makes the client send once more.
        idle_before: bool,
    },
    /// A client read a whole response.
    ResponseReceived {
        /// The request.
        id: RequestId,
        /// Its status.
        status: u16,
        /// The body is the one that a worker makes for this request.
        body_matches: bool,
    },
    /// The client closed or reset its connection with the request open on it.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// The front end ended the client's connection with the request open on it.
    ConnectionLost {
        /// The request.
        id: RequestId,
        /// How.
        end: ConnectionEnd,
    },
    /// The client gave up: no response came until long after its timeout.
    ResponseTimedOut {
        /// The request.
        id: RequestId,
    },
    /// A worker's proxy read a whole attempt.
    AttemptStarted {
        /// The request.
        id: RequestId,
        /// The worker.
        worker: WorkerId,
        /// The proxy's connection.
        connection: u64,
        /// The timeout that the worker was given, in milliseconds.
        timeout_ms: u64,
        /// It may have waited in the kernel's queue of connections while the proxy accepted none.
        maybe_queued: bool,
    },
    /// An attempt ended: the worker's answer was written, it was given up, or its connection ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The proxy's connection.
        connection: u64,
        /// The worker said that it did not run.
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
        /// The other side's port.
        port: u16,
    },
    /// A worker's state changed at the coordinator.
    WorkerStateChanged {
        /// The event's number.
        event: u64,
        /// The worker.
        worker: WorkerId,
        /// It takes work.
        ready: bool,
    },
    /// The coordinator read a poll, which acknowledges the events up to this one.
    PollReceived {
        /// The front end.
        front_end: FrontEndIndex,
        /// The number of its process.
        process: u64,
        /// The last event that the front end has received.
        event: u64,
    },
    /// The coordinator answers whole replies from now on, however slowly, or does not.
    DiscoveryAvailability {
        /// It does.
        answers: bool,
    },
    /// The coordinator began a reply with the events up to this one.
    PollReplyStarted {
        /// The front end.
        front_end: FrontEndIndex,
        /// The number of its process.
        process: u64,
        /// The last event of the reply.
        event: u64,
    },
    /// A process was started.
    ProcessStarted {
        /// The front end.
        front_end: FrontEndIndex,
        /// The number of its process.
        process: u64,
    },
    /// It answered a liveness request.
    ProcessReady {
        /// The front end.
        front_end: FrontEndIndex,
        /// The number of its process.
        process: u64,
    },
    /// A signal was sent to it.
    SignalSent {
        /// The front end.
        front_end: FrontEndIndex,
        /// The number of its process.
        process: u64,
        /// Which.
        signal: Signal,
    },
    /// It ended.
    ProcessExited {
        /// The front end.
        front_end: FrontEndIndex,
        /// The number of its process.
        process: u64,
        /// Its exit code; none: a signal ended it.
        code: Option<i32>,
        /// The last line of its standard output.
        last_line: String,
    },
    /// What a front end did with a client that sent what is no request.
    MalformedRequest {
        /// The front end.
        front_end: FrontEndIndex,
        /// The number of its process.
        process: u64,
        /// How long after it had connected it was answered or closed; none: not at all.
        after: Option<Duration>,
        /// It was served.
        served: bool,
    },
    /// This harness itself ran late by so much: what happened in that time is recorded late.
    HarnessDelayed(Duration),
    /// A fault of the network, of discovery or of clients began or ended, in words.
    FaultChanged(String),
}

/// A signal that the soak sends.
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

/// The facts of one run, in the order in which they were seen.
#[derive(Debug)]
pub struct Facts {
    began: Instant,
    all: Mutex<Vec<(Duration, Fact)>>,
}

impl Default for Facts {
    fn default() -> Facts {
        Facts {
            began: Instant::now(),
            all: Mutex::default(),
        }
    }
}

impl Facts {
    /// Time since the run began.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Records a fact as of now.
    pub fn record(&self, fact: Fact) {
        let mut all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.began.elapsed();
        all.push((now, fact));
    }

    /// All that was recorded.
    pub fn take(&self) -> Vec<(Duration, Fact)> {
        std::mem::take(&mut *self.all.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
