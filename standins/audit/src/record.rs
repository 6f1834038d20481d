//! The entries of a recording: connections, their bytes, and marks for events that sockets don't show.

/// The two ends of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Link {
    /// A client and a front end.
    Client {
        /// The front end's number.
        front: usize,
    },
    /// A front end and a worker.
    Worker {
        /// The front end's number.
        front: usize,
        /// The worker's number.
        worker: usize,
    },
    /// Two front ends. Their traffic is not audited.
    Peer {
        /// The number of the front end that connects.
        from: usize,
        /// The number of the front end that it connects to.
        to: usize,
    },
}

/// An event that sockets don't show.
#[derive(Clone, Debug, PartialEq)]
pub enum Mark {
    /// A front end's endpoint list shows a worker as draining or gone.
    Draining {
        /// The front end.
        front: usize,
        /// The worker.
        worker: usize,
    },
    /// A front end's endpoint list shows that a worker accepts work again.
    DrainEnded {
        /// The front end.
        front: usize,
        /// The worker.
        worker: usize,
    },
    /// A worker started cold, with no functions loaded.
    Started {
        /// The worker.
        worker: usize,
    },
    /// A worker that was still cold failed under overload.
    Overloaded {
        /// The worker.
        worker: usize,
    },
    /// A front end was killed.
    Killed {
        /// The front end.
        front: usize,
    },
    /// A front end's process was stopped by SIGSTOP.
    Stopped {
        /// The front end.
        front: usize,
    },
    /// A stopped front end's process was resumed by SIGCONT.
    Resumed {
        /// The front end.
        front: usize,
    },
    /// A version of the settings was proposed.
    Proposed {
        /// The version's number.
        version: u64,
    },
    /// A proposed version was reported as in force.
    InForce {
        /// The version's number.
        version: u64,
    },
}

impl Mark {
    /// Whether the event permits something that was forbidden before it.
    ///
    /// Such a mark is recorded before the event, since a front end may react before a mark that is recorded after the event.
    /// Other marks are recorded once the event has taken effect.
    pub fn lifts_restriction(&self) -> bool {
        matches!(self, Mark::DrainEnded { .. } | Mark::Resumed { .. })
    }
}

/// An event of a connection, or a mark.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A connection through the proxy was opened.
    Open(Link),
    /// Bytes were forwarded; `true` if they came from the side that connected.
    Bytes(bool, Vec<u8>),
    /// The connection was closed by the side that connected (`true`), by the other side (`false`) or by the proxy (`None`).
    Close(Option<bool>),
    /// An event that sockets don't show.
    Mark(Mark),
}

/// One entry of the recording.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Time since the start of the recording, microseconds.
    pub at: i64,
    /// The connection's number; 0 for marks.
    pub connection: u64,
    /// What happened.
    pub event: Event,
}
