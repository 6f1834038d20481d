//! Tracks the open client connections, and selects one to evict when there are too many.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::Waker;
use std::time::{Duration, Instant};

/// Minimum age of an incomplete request before its connection may be evicted; a request sent in two segments is
/// complete by then.
const MIN_PARTIAL_AGE: Duration = Duration::from_millis(250);

/// The phase of a connection, which decides whether it may be evicted.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No byte has been received.
    Silent,
    /// The last request was answered and no byte of the next has been received.
    Idle,
    /// A request is incomplete; its first byte arrived at this time.
    PartialRequest(Instant),
    /// Any other phase; the connection is not evicted.
    Busy,
}

/// The table's entry of a connection.
pub struct ClientEntry {
    /// The connection's phase.
    pub phase: Cell<Phase>,
    /// The connection is to close unless the kernel holds unread input of it.
    pub is_evicted: Cell<bool>,
    /// Wakes the connection's task while it waits for input.
    pub waker: RefCell<Option<Waker>>,
}

impl ClientEntry {
    fn new() -> Rc<ClientEntry> {
        let (phase, is_evicted) = (Cell::new(Phase::Silent), Cell::new(false));
        Rc::new(ClientEntry {
            phase,
            is_evicted,
            waker: RefCell::new(None),
        })
    }
}

/// Numbers of open connections, for logs and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientCounts {
    /// No byte has been received.
    pub silent: usize,
    /// Between two requests.
    pub idle: usize,
    /// A request is incomplete.
    pub partial: usize,
    /// A request is being answered.
    pub busy: usize,
    /// Of all of them, those that are being evicted.
    pub evicting: usize,
}

/// The open client connections.
pub struct ClientTable {
    open: RefCell<BTreeMap<u64, Rc<ClientEntry>>>,
    next_id: Cell<u64>,
    capacity: usize,
    /// Connections that are being evicted and have not ended.
    evicting: Cell<usize>,
    closed: Cell<bool>,
}

impl ClientTable {
    /// Creates an empty table for at most `capacity` connections, not counting those being evicted.
    pub fn new(capacity: usize) -> ClientTable {
        ClientTable {
            open: RefCell::new(BTreeMap::new()),
            next_id: Cell::new(0),
            capacity,
            evicting: Cell::new(0),
            closed: Cell::new(false),
        }
    }

    /// Whether the table is closed: connections end after their current response.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }
    /// Stops connections from taking further requests.
    pub fn close(&self) {
        self.closed.set(true);
    }
    /// The number of open connections.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }
    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
    /// Whether a connection must be evicted before another is accepted.
    pub fn is_full(&self) -> bool {
        self.len() >= self.capacity + self.evicting.get()
    }

    /// Counts the connections by phase. Visits every connection.
    pub fn counts(&self) -> ClientCounts {
        let mut counts = ClientCounts {
            evicting: self.evicting.get(),
            ..ClientCounts::default()
        };
        for entry in self.open.borrow().values() {
            match entry.phase.get() {
                Phase::Silent => counts.silent += 1,
                Phase::Idle => counts.idle += 1,
                Phase::PartialRequest(_) => counts.partial += 1,
                Phase::Busy => counts.busy += 1,
            }
        }
        counts
    }

    /// Adds a connection and returns its id and entry.
    pub fn insert(&self) -> (u64, Rc<ClientEntry>) {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let entry = ClientEntry::new();
        self.open.borrow_mut().insert(id, entry.clone());
        (id, entry)
    }
    /// Removes a connection that has ended.
    pub fn remove(&self, id: u64, entry: &ClientEntry) {
        if entry.is_evicted.get() {
            self.evicting.set(self.evicting.get().saturating_sub(1));
        }
        self.open.borrow_mut().remove(&id);
    }

    /// Evicts the oldest connection without input, else the oldest idle one, else the one whose request has been
    /// incomplete for longest, if that is long enough. Returns false if there is none.
    pub fn evict_one(&self) -> bool {
        let open = self.open.borrow();
        let oldest_at = |phase| {
            open.values()
                .find(|entry| entry.phase.get() == phase && !entry.is_evicted.get())
        };
        let longest_partial = || {
            let since = |entry: &&Rc<ClientEntry>| match entry.phase.get() {
                Phase::PartialRequest(since)
                    if !entry.is_evicted.get() && since.elapsed() >= MIN_PARTIAL_AGE =>
                {
                    Some(since)
                }
                _ => None,
            };
            open.values()
                .filter(|entry| since(entry).is_some())
                .min_by_key(since)
        };
        let entry = oldest_at(Phase::Silent)
            .or_else(|| oldest_at(Phase::Idle))
            .or_else(longest_partial);
        entry.map(|entry| self.evict(entry)).is_some()
    }

    /// Evicts all connections that wait for a request.
    pub fn evict_waiting(&self) {
        let open: Vec<_> = self.open.borrow().values().cloned().collect();
        let is_waiting = |entry: &&Rc<ClientEntry>| {
            matches!(entry.phase.get(), Phase::Silent | Phase::Idle) && !entry.is_evicted.get()
        };
        open.iter()
            .filter(is_waiting)
            .for_each(|entry| self.evict(entry));
    }

    fn evict(&self, entry: &ClientEntry) {
        entry.is_evicted.set(true);
        self.evicting.set(self.evicting.get() + 1);
        let waker = entry.waker.borrow_mut().take();
        waker.into_iter().for_each(Waker::wake);
    }

    /// Keeps a connection that received input while it was being evicted, and evicts another if the table is over
    /// capacity.
    pub fn cancel_eviction(&self, entry: &ClientEntry) {
        if entry.is_evicted.take() {
            self.evicting.set(self.evicting.get().saturating_sub(1));
            if self.len() > self.capacity + self.evicting.get() {
                self.evict_one();
            }
        }
    }
}
