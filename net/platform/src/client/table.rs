//! Tracks the open client connections, and selects one to evict when there are too many.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::task::Waker;
use std::time::{Duration, Instant};

/// Minimum age of a connection without input before it may be evicted; the request of a client that sends it at once
/// has arrived by then.
const MIN_SILENT_AGE: Duration = Duration::from_millis(50);
/// Minimum age of an incomplete request before its connection may be evicted; a request sent in two segments is
/// complete by then.
const MIN_PARTIAL_AGE: Duration = Duration::from_millis(250);
/// Maximum number of connections above the capacity: those that are being evicted, and those that are accepted although
/// none can be evicted.
const MAX_EXCESS: usize = 24;
/// Maximum number of open requests above the capacity; the rest of the excess is for requests that are answered at once.
const MAX_EXCESS_REQUESTS: usize = MAX_EXCESS / 2;

/// The phase of a connection, which decides whether it may be evicted.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No byte has been received.
    Silent,
    /// The last request was answered and no byte of the next has been received.
    Idle,
    /// A request is incomplete.
    PartialRequest,
    /// A request is being answered; the connection is not evicted.
    Busy,
    /// The last response was written, and the client's close is awaited.
    Closing,
}

/// How readily connections are evicted, the readiest first.
#[derive(Clone, Copy, PartialEq, Eq)]
enum EvictionTier {
    Closing,
    Silent,
    /// Idle, and no call was served on it.
    IdleUnserved,
    Partial,
    /// Idle, and a call was served on it.
    IdleServed,
}

impl EvictionTier {
    /// The number of tiers.
    const COUNT: usize = 5;

    /// The tiers whose connections are evicted before any waiting call is refused.
    const BEFORE_CALLS: [EvictionTier; 4] = [
        EvictionTier::Closing,
        EvictionTier::Silent,
        EvictionTier::IdleUnserved,
        EvictionTier::Partial,
    ];

    /// Minimum time in the phase before a connection may be evicted.
    fn min_age(self) -> Duration {
        match self {
            EvictionTier::Silent => MIN_SILENT_AGE,
            EvictionTier::Partial => MIN_PARTIAL_AGE,
            EvictionTier::Closing | EvictionTier::IdleUnserved | EvictionTier::IdleServed => {
                Duration::ZERO
            }
        }
    }
}

/// Ids of connections in one tier, each with the start of its phase.
type TierMembers = BTreeSet<(Instant, u64)>;

/// The table's entry of a connection.
pub struct ClientEntry {
    id: u64,
    phase: Cell<Phase>,
    since: Cell<Instant>,
    /// A call was served on it.
    served: Cell<bool>,
    /// The connection is to close unless the kernel holds unread input of it.
    is_evicted: Cell<bool>,
    /// Wakes the connection's task while it waits for input.
    waker: RefCell<Option<Waker>>,
}

impl ClientEntry {
    /// The number of the connection.
    pub fn id(&self) -> u64 {
        self.id
    }
    /// Whether the connection is being evicted.
    pub fn is_evicted(&self) -> bool {
        self.is_evicted.get()
    }
    /// Records that a call was served on the connection.
    pub fn set_served(&self) {
        self.served.set(true);
    }
    /// Sets the waker of the connection's task, which waits for input.
    pub fn set_waker(&self, waker: &Waker) {
        *self.waker.borrow_mut() = Some(waker.clone());
    }

    /// Its tier; none if it may not be evicted.
    fn tier(&self) -> Option<EvictionTier> {
        match self.phase.get() {
            Phase::Closing => Some(EvictionTier::Closing),
            Phase::Silent => Some(EvictionTier::Silent),
            Phase::Idle if self.served.get() => Some(EvictionTier::IdleServed),
            Phase::Idle => Some(EvictionTier::IdleUnserved),
            Phase::PartialRequest => Some(EvictionTier::Partial),
            Phase::Busy => None,
        }
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
    /// The client's close is awaited.
    pub closing: usize,
    /// Of all of them, those that are being evicted.
    pub evicting: usize,
}

/// The open client connections.
pub struct ClientTable {
    open: RefCell<BTreeMap<u64, Rc<ClientEntry>>>,
    /// The connections that may be evicted, by tier.
    evictable: [RefCell<TierMembers>; EvictionTier::COUNT],
    next_id: Cell<u64>,
    capacity: usize,
    /// Connections that are being evicted and have not ended.
    evicting: Cell<usize>,
    /// Connections on which a request is being answered and that are not being evicted.
    open_requests: Cell<usize>,
    closed: Cell<bool>,
}

/// What the table has for another request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RequestRoom {
    /// A connection within the capacity.
    Free,
    /// A connection above the capacity: another request should end.
    Excess,
    /// Nothing: the request must be answered at once.
    Exhausted,
}

impl ClientTable {
    /// Creates an empty table for at most `capacity` connections, not counting those being evicted.
    pub fn new(capacity: usize) -> ClientTable {
        ClientTable {
            open: RefCell::new(BTreeMap::new()),
            evictable: Default::default(),
            next_id: Cell::new(0),
            capacity,
            evicting: Cell::new(0),
            open_requests: Cell::new(0),
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
    /// The number of connections that are being evicted.
    pub fn evicting(&self) -> usize {
        self.evicting.get()
    }
    /// Whether a connection must be evicted before another is accepted.
    pub fn is_full(&self) -> bool {
        self.len() >= self.capacity + self.evicting.get()
    }
    /// Whether more connections are open than the capacity, not counting those being evicted.
    pub fn is_over_capacity(&self) -> bool {
        self.len() > self.capacity + self.evicting.get()
    }
    /// What the table has for the last request that was read.
    pub fn request_room(&self) -> RequestRoom {
        match self.open_requests.get().checked_sub(self.capacity) {
            None | Some(0) => RequestRoom::Free,
            Some(excess) if excess <= MAX_EXCESS_REQUESTS => RequestRoom::Excess,
            Some(_) => RequestRoom::Exhausted,
        }
    }
    /// Whether no further connection can be accepted at all, although some may be above the capacity.
    pub fn is_exhausted(&self) -> bool {
        self.len() >= self.capacity + MAX_EXCESS
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
                Phase::PartialRequest => counts.partial += 1,
                Phase::Busy => counts.busy += 1,
                Phase::Closing => counts.closing += 1,
            }
        }
        counts
    }

    /// Adds a connection and returns its entry.
    pub fn insert(&self) -> Rc<ClientEntry> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let entry = Rc::new(ClientEntry {
            id,
            phase: Cell::new(Phase::Silent),
            since: Cell::new(Instant::now()),
            served: Cell::new(false),
            is_evicted: Cell::new(false),
            waker: RefCell::new(None),
        });
        self.open.borrow_mut().insert(id, entry.clone());
        self.add_active(&entry);
        entry
    }

    /// Removes a connection that has ended.
    pub fn remove(&self, entry: &ClientEntry) {
        if entry.is_evicted.get() {
            self.evicting.set(self.evicting.get().saturating_sub(1));
        } else {
            self.remove_active(entry);
        }
        self.open.borrow_mut().remove(&entry.id);
    }

    /// Changes the phase of a connection.
    pub fn set_phase(&self, entry: &ClientEntry, phase: Phase) {
        let is_active = !entry.is_evicted.get();
        if is_active {
            self.remove_active(entry);
        }
        entry.phase.set(phase);
        entry.since.set(Instant::now());
        if is_active {
            self.add_active(entry);
        }
    }

    /// Counts a connection that is not being evicted as evictable, or as one with an open request.
    fn add_active(&self, entry: &ClientEntry) {
        let Some(tier) = entry.tier() else {
            return self.open_requests.set(self.open_requests.get() + 1);
        };
        let mut members = self.evictable[tier as usize].borrow_mut();
        members.insert((entry.since.get(), entry.id));
    }

    /// Reverses [`ClientTable::add_active`].
    fn remove_active(&self, entry: &ClientEntry) {
        let Some(tier) = entry.tier() else {
            return self.open_requests.set(self.open_requests.get() - 1);
        };
        let mut members = self.evictable[tier as usize].borrow_mut();
        members.remove(&(entry.since.get(), entry.id));
    }

    /// Evicts a connection that is closing, else one without input, else an idle one on which no call was served, else
    /// the one whose request has been incomplete for longest. Returns false if there is none that is old enough.
    pub fn evict_unused(&self) -> bool {
        let tiers = EvictionTier::BEFORE_CALLS.into_iter();
        let next = tiers.filter_map(|tier| self.oldest(tier)).next();
        next.is_some_and(|id| self.evict_by_id(id))
    }

    /// Evicts the connection that has been idle for longest after a call was served on it. Returns false if there is
    /// none.
    pub fn evict_idle(&self) -> bool {
        let oldest = self.oldest(EvictionTier::IdleServed);
        oldest.is_some_and(|id| self.evict_by_id(id))
    }

    /// Whether a connection without input is open that is not being evicted.
    pub fn has_silent(&self) -> bool {
        self.oldest_of_any_age(EvictionTier::Silent).is_some()
    }

    /// Evicts the connection that has been without input for longest, however long that is. Returns false if there is
    /// none.
    pub fn evict_silent(&self) -> bool {
        let oldest = self.oldest_of_any_age(EvictionTier::Silent);
        oldest.is_some_and(|(_, id)| self.evict_by_id(id))
    }

    /// The connection that has been in this tier for longest, if that is long enough.
    fn oldest(&self, tier: EvictionTier) -> Option<u64> {
        let (since, id) = self.oldest_of_any_age(tier)?;
        (since.elapsed() >= tier.min_age()).then_some(id)
    }

    fn oldest_of_any_age(&self, tier: EvictionTier) -> Option<(Instant, u64)> {
        self.evictable[tier as usize].borrow().first().copied()
    }

    fn evict_by_id(&self, id: u64) -> bool {
        let entry = self.open.borrow().get(&id).cloned();
        entry.is_some_and(|entry| {
            self.evict(&entry);
            true
        })
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

    /// Evicts a connection: it ends once it has written the response to a request that it has read.
    pub fn evict(&self, entry: &ClientEntry) {
        if entry.is_evicted.get() {
            return;
        }
        self.remove_active(entry);
        entry.is_evicted.set(true);
        self.evicting.set(self.evicting.get() + 1);
        let waker = entry.waker.borrow_mut().take();
        waker.into_iter().for_each(Waker::wake);
    }

    /// Keeps a connection that received input while it was being evicted. Returns whether it was being evicted.
    pub fn cancel_eviction(&self, entry: &ClientEntry) -> bool {
        let was_evicted = entry.is_evicted.take();
        if was_evicted {
            self.evicting.set(self.evicting.get().saturating_sub(1));
            self.add_active(entry);
        }
        was_evicted
    }
}
