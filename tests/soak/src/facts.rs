//! What was seen on the sockets and of the processes, with the time: the only thing that the oracle judges from.

use std::sync::Mutex;
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
    /// The answer was cut short.
    HalfAnswer,
}

/// One thing that was seen.
#[derive(Clone, Debug)]
pub enum Fact {
    /// A request's last byte was written.
    Sent {
        /// The request.
        id: RequestId,
        /// To which front end, and which of its processes, from 0.
        place: FrontEndIndex,
        /// The process's number at that place.
        process: u64,
        /// What running it twice would do.
        effect: Effect,
        /// How long its client waits.
        timeout: Duration,
        /// The connection had been idle before: its end within the crossing time makes the client send once more.
        idle_before: bool,
    },
    /// An answer came whole.
    Answered {
        /// The request.
        id: RequestId,
        /// Its status.
        status: u16,
        /// The body is the one that a worker makes for this request.
        own_body: bool,
    },
    /// The client closed or reset its connection.
    Left {
        /// The request.
        id: RequestId,
    },
    /// The front end ended the connection.
    Dropped {
        /// The request.
        id: RequestId,
        /// How.
        how: ConnectionEnd,
    },
    /// No answer came until long after the request's time.
    Unanswered {
        /// The request.
        id: RequestId,
    },
    /// An attempt came whole to the proxy of a worker.
    Began {
        /// The request.
        id: RequestId,
        /// The worker.
        worker: WorkerId,
        /// The proxy's connection.
        connection: u64,
        /// The time that the worker was told, milliseconds.
        patience_ms: u64,
        /// It may have come long before: the kernel had taken its connection while the proxy accepted none.
        waited: bool,
    },
    /// An attempt ended: the worker's answer was written, it was given up, or its connection ended.
    Ended {
        /// The request.
        id: RequestId,
        /// The proxy's connection.
        connection: u64,
        /// The worker said that it did not run.
        never_ran: bool,
    },
    /// A load order for at least one copy came to the proxy of a worker.
    LoadBegan {
        /// The worker.
        worker: WorkerId,
        /// The proxy's connection.
        connection: u64,
    },
    /// A connection to a proxy was made by the process with this port's owner.
    Connected {
        /// The proxy's connection.
        connection: u64,
        /// The other side's port.
        port: u16,
    },
    /// A worker's state changed at the coordinator.
    Listed {
        /// The event's number.
        event: u64,
        /// The worker.
        worker: WorkerId,
        /// It takes work.
        ready: bool,
    },
    /// A poll was answered up to this event.
    Polled {
        /// The front end.
        place: FrontEndIndex,
        /// The process's number at that place.
        process: u64,
        /// The last event that the front end held.
        event: u64,
    },
    /// The coordinator answers whole replies from now on, however slowly, or does not.
    Discovery {
        /// It does.
        answers: bool,
    },
    /// A reply with the events up to this one was begun.
    Notified {
        /// The front end.
        place: FrontEndIndex,
        /// The process's number at that place.
        process: u64,
        /// The last event of the reply.
        event: u64,
    },
    /// A process was started.
    Started {
        /// The front end.
        place: FrontEndIndex,
        /// Its number at that place.
        process: u64,
    },
    /// It answered that it is alive.
    Ready {
        /// The front end.
        place: FrontEndIndex,
        /// Its number at that place.
        process: u64,
    },
    /// A signal was sent to it.
    Signalled {
        /// The front end.
        place: FrontEndIndex,
        /// Its number at that place.
        process: u64,
        /// Which.
        signal: Signal,
    },
    /// It ended.
    Exited {
        /// The front end.
        place: FrontEndIndex,
        /// Its number at that place.
        process: u64,
        /// Its exit code; none: a signal ended it.
        code: Option<i32>,
        /// Its last line on standard output.
        account: String,
    },
    /// A client that sent what is no request was answered or closed after so long; none: not at all.
    Abused {
        /// The front end.
        place: FrontEndIndex,
        /// Its number at that place.
        process: u64,
        /// How long after it had connected.
        after: Option<Duration>,
        /// It was served.
        served: bool,
    },
    /// This harness itself ran late by so much: what happened in that time is seen late.
    HarnessLate(Duration),
    /// A trouble began, in words.
    Trouble(String),
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
        let mut all = self.all.lock().unwrap_or_else(|e| e.into_inner());
        let now = self.began.elapsed();
        all.push((now, fact));
    }
    /// All that was recorded.
    pub fn take(&self) -> Vec<(Duration, Fact)> {
        std::mem::take(&mut *self.all.lock().unwrap_or_else(|e| e.into_inner()))
    }
}
