//! What a relay records: connections, their bytes, and marks of what no socket shows.

/// Which two ends a connection joins.
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
    /// One front end and another: what they write to each other is not audited.
    Peer {
        /// Who connects.
        from: usize,
        /// To whom.
        to: usize,
    },
}

/// An event that no socket shows.
#[derive(Clone, Debug, PartialEq)]
pub enum Mark {
    /// A front end's endpoint list now says that a worker drains or is gone.
    Draining {
        /// The front end.
        front: usize,
        /// The worker.
        worker: usize,
    },
    /// A front end's endpoint list says that a worker takes work again.
    DrainEnded {
        /// The front end.
        front: usize,
        /// The worker.
        worker: usize,
    },
    /// A worker has started, empty and cold.
    Started {
        /// The worker.
        worker: usize,
    },
    /// A worker failed under more load than a cold worker can serve.
    Overloaded {
        /// The worker.
        worker: usize,
    },
    /// A front end was killed.
    Killed {
        /// The front end.
        front: usize,
    },
    /// A front end's process was stopped (SIGSTOP): it does nothing until it is resumed.
    Stopped {
        /// The front end.
        front: usize,
    },
    /// It was resumed.
    Resumed {
        /// The front end.
        front: usize,
    },
    /// A version of the settings was proposed.
    Proposed {
        /// Its number.
        version: u64,
    },
    /// Operators were notified that it is in force.
    InForce {
        /// Its number.
        version: u64,
    },
}

impl Mark {
    /// Whether it allows what was forbidden until now. Such a mark is recorded before anybody can act on it, any other one once
    /// it is in effect: a front end may act at once on what it reads, and the relay may see that before a later mark.
    pub fn lifts_restriction(&self) -> bool {
        matches!(self, Mark::DrainEnded { .. } | Mark::Resumed { .. })
    }
}

/// One event of a connection, or a mark.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A connection was made through the relay.
    Open(Link),
    /// Bytes passed; `true`: from the side that connected.
    Bytes(bool, Vec<u8>),
    /// The connection ended: by the side that connected, by the other, or (none) by the relay.
    Close(Option<bool>),
    /// An event that no socket shows.
    Mark(Mark),
}

/// One entry of the recording.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Microseconds since the recording began.
    pub at: i64,
    /// The connection's number; 0 for marks.
    pub connection: u64,
    /// What happened.
    pub event: Event,
}
