//! The open connections of clients: what each is at, and which gives way when there are too many.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::Waker;
use std::time::{Duration, Instant};

/// A request that is not whole may be shed for a new connection so long after its first byte: one that comes in two
/// pieces is whole by then.
const PARTIAL_FOR: Duration = Duration::from_millis(250);

/// What a connection is at, for choosing which to shed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It has never sent a byte.
    Silent,
    /// It has been answered and waits for its next request.
    Idle,
    /// Its request is not whole, since then.
    PartialRequest(Instant),
    /// Anything else.
    Busy,
}

/// What the table knows of a connection.
pub struct ClientEntry {
    /// What it is at.
    pub phase: Cell<Phase>,
    /// It is to close, unless the kernel holds unread bytes of it.
    pub is_shed: Cell<bool>,
    /// Its task, while that waits for bytes.
    pub waker: RefCell<Option<Waker>>,
}

impl ClientEntry {
    fn new() -> Rc<ClientEntry> {
        let (phase, is_shed) = (Cell::new(Phase::Silent), Cell::new(false));
        Rc::new(ClientEntry {
            phase,
            is_shed,
            waker: RefCell::new(None),
        })
    }
}

/// The open connections.
pub struct ClientTable {
    open: RefCell<BTreeMap<u64, Rc<ClientEntry>>>,
    next_id: Cell<u64>,
    capacity: usize,
    /// Connections that are shed and have not ended.
    shedding: Cell<usize>,
    closed: Cell<bool>,
}

impl ClientTable {
    /// An empty table for at most `capacity` connections, beside those that are shed.
    pub fn new(capacity: usize) -> ClientTable {
        ClientTable {
            open: RefCell::new(BTreeMap::new()),
            next_id: Cell::new(0),
            capacity,
            shedding: Cell::new(0),
            closed: Cell::new(false),
        }
    }

    /// Whether no new request is taken on connections that are answered.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }
    /// Takes no new request from here on.
    pub fn close(&self) {
        self.closed.set(true);
    }
    /// Connections that are open.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }
    /// Whether none is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
    /// Whether one more connection has to wait for another to give way.
    pub fn is_full(&self) -> bool {
        self.len() >= self.capacity + self.shedding.get()
    }

    /// Adds a connection; its number and its entry.
    pub fn insert(&self) -> (u64, Rc<ClientEntry>) {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let entry = ClientEntry::new();
        self.open.borrow_mut().insert(id, entry.clone());
        (id, entry)
    }
    /// Removes a connection that has ended.
    pub fn remove(&self, id: u64, entry: &ClientEntry) {
        if entry.is_shed.get() {
            self.shedding.set(self.shedding.get().saturating_sub(1));
        }
        self.open.borrow_mut().remove(&id);
    }

    /// Sheds a connection: the oldest that never sent a byte, else the oldest idle one, else the one whose request has
    /// been partial for longest, if that is long. False: there is none.
    pub fn make_room(&self) -> bool {
        let open = self.open.borrow();
        let oldest_at = |phase| {
            open.values()
                .find(|entry| entry.phase.get() == phase && !entry.is_shed.get())
        };
        let longest_partial = || {
            let since = |entry: &&Rc<ClientEntry>| match entry.phase.get() {
                Phase::PartialRequest(since)
                    if !entry.is_shed.get() && since.elapsed() >= PARTIAL_FOR =>
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
        entry.map(|entry| self.shed(entry)).is_some()
    }

    /// Sheds the connections that wait for a request.
    pub fn shed_waiting(&self) {
        let open: Vec<_> = self.open.borrow().values().cloned().collect();
        let is_waiting = |entry: &&Rc<ClientEntry>| {
            matches!(entry.phase.get(), Phase::Silent | Phase::Idle) && !entry.is_shed.get()
        };
        open.iter()
            .filter(is_waiting)
            .for_each(|entry| self.shed(entry));
    }

    fn shed(&self, entry: &ClientEntry) {
        entry.is_shed.set(true);
        self.shedding.set(self.shedding.get() + 1);
        let waker = entry.waker.borrow_mut().take();
        waker.into_iter().for_each(Waker::wake);
    }

    /// A connection that was to be shed has sent a request: it is kept, and another has to go if there are too many.
    pub fn cancel_shedding(&self, entry: &ClientEntry) {
        if entry.is_shed.take() {
            self.shedding.set(self.shedding.get().saturating_sub(1));
            if self.len() > self.capacity + self.shedding.get() {
                self.make_room();
            }
        }
    }
}
