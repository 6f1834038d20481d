//! Counts connections between front ends and workers. A connection is opened when no other has room for a stream, and closed
//! after an idle timeout.

use std::collections::{HashMap, VecDeque};
use tansyrouter::Micros;

/// Limits of the connections that front ends keep open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeepAlivePolicy {
    /// Time without a stream after which a connection is closed; `None` keeps idle connections open.
    pub idle_timeout: Option<Micros>,
    /// Concurrent streams per connection.
    pub max_streams: u32,
}

struct Connection {
    id: u64,
    streams: u32,
    last_used: Micros,
}

/// A front end and a worker.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Pair {
    front_end: usize,
    worker: usize,
}

/// When a connection is due to be closed, unless it has been used in the meantime.
struct IdleDeadline {
    due: Micros,
    pair: Pair,
    connection: u64,
}

/// Open connections of one worker, and their integral over time.
#[derive(Clone, Copy, Default)]
struct OpenConnections {
    current: u32,
    max: u32,
    changed: Micros,
    /// In connection-microseconds.
    integral: f64,
}

impl OpenConnections {
    fn change(&mut self, now: Micros, difference: i32) {
        self.integral += f64::from(self.current) * (now - self.changed) as f64;
        self.changed = now;
        self.current = self.current.saturating_add_signed(difference);
        self.max = self.max.max(self.current);
    }
}

/// The connection on which a new stream was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamStart {
    /// Identifier of the connection.
    pub connection: u64,
    /// Whether the connection was opened for this stream.
    pub is_new: bool,
}

/// Connection counts since the start of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Connections that have been opened.
    pub opened: u64,
    /// Connections that have been closed.
    pub closed: u64,
    /// Connections that are open now.
    pub open: u64,
}

/// Connection statistics since the measurement began.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionUsage {
    /// Open connections per worker, averaged over time and workers.
    pub mean: f64,
    /// Maximum number of open connections at one worker.
    pub max: u32,
    /// Connections opened per worker and second.
    pub opened_per_s: f64,
}

/// All connections of a fleet to its workers, under one keep-alive policy.
pub struct ConnectionPool {
    policy: KeepAlivePolicy,
    /// By pair. A connection is appended when opened and moves to the end when one of its streams ends.
    connections: HashMap<Pair, Vec<Connection>>,
    /// Indexed by worker.
    open: Vec<OpenConnections>,
    /// Ordered by due time.
    idle_deadlines: VecDeque<IdleDeadline>,
    opened: u64,
    closed: u64,
    measured_since: Micros,
    opened_before: u64,
}

impl ConnectionPool {
    /// Creates a pool without connections to `workers` workers.
    pub fn new(workers: usize, policy: KeepAlivePolicy) -> ConnectionPool {
        ConnectionPool {
            policy,
            connections: HashMap::new(),
            open: vec![OpenConnections::default(); workers],
            idle_deadlines: VecDeque::new(),
            opened: 0,
            closed: 0,
            measured_since: 0,
            opened_before: 0,
        }
    }

    /// Starts a stream on the last connection of the pair that has room, or on a new connection.
    pub fn begin_stream(&mut self, now: Micros, front_end: usize, worker: usize) -> StreamStart {
        self.close_idle(now);
        let pair = Pair { front_end, worker };
        let connections = self.connections.entry(pair).or_default();
        let max_streams = self.policy.max_streams;
        let with_room = connections.iter_mut().rfind(|c| c.streams < max_streams);
        if let Some(connection) = with_room {
            connection.streams += 1;
            connection.last_used = now;
            return StreamStart {
                connection: connection.id,
                is_new: false,
            };
        }
        let id = self.opened;
        self.opened += 1;
        connections.push(Connection {
            id,
            streams: 1,
            last_used: now,
        });
        self.open[worker].change(now, 1);
        StreamStart {
            connection: id,
            is_new: true,
        }
    }

    /// Ends a stream. Ignores a connection that does not exist or has no open stream.
    pub fn end_stream(&mut self, now: Micros, front_end: usize, worker: usize, id: u64) {
        self.close_idle(now);
        let pair = Pair { front_end, worker };
        let Some(connections) = self.connections.get_mut(&pair) else {
            return;
        };
        let position = connections.iter().position(|c| c.id == id && c.streams > 0);
        let Some(position) = position else {
            return;
        };
        let mut connection = connections.remove(position);
        connection.streams -= 1;
        connection.last_used = now;
        let idle_timeout = self.policy.idle_timeout;
        if let Some(idle_timeout) = idle_timeout.filter(|_| connection.streams == 0) {
            self.idle_deadlines.push_back(IdleDeadline {
                due: now + idle_timeout,
                pair,
                connection: id,
            });
        }
        connections.push(connection);
    }

    /// Closes the connections whose idle timeout has passed.
    pub fn close_idle(&mut self, now: Micros) {
        let Some(idle_timeout) = self.policy.idle_timeout else {
            return;
        };
        let is_due = |deadline: &IdleDeadline| deadline.due <= now;
        while self.idle_deadlines.front().is_some_and(is_due) {
            let Some(deadline) = self.idle_deadlines.pop_front() else {
                return;
            };
            let Some(connections) = self.connections.get_mut(&deadline.pair) else {
                continue;
            };
            let expired = connections.iter().position(|connection| {
                connection.id == deadline.connection
                    && connection.streams == 0
                    && connection.last_used + idle_timeout == deadline.due
            });
            let Some(position) = expired else {
                continue;
            };
            connections.remove(position);
            self.closed += 1;
            self.open[deadline.pair.worker].change(deadline.due, -1);
        }
    }

    /// Starts the measurement that [`Self::usage`] reports.
    pub fn start_measurement(&mut self, now: Micros) {
        self.close_idle(now);
        for open in &mut self.open {
            open.change(now, 0);
            open.integral = 0.0;
            open.max = open.current;
        }
        self.measured_since = now;
        self.opened_before = self.opened;
    }

    /// Connections opened and closed since the start, and open now.
    pub fn counts(&self) -> ConnectionCounts {
        let open: usize = self.connections.values().map(Vec::len).sum();
        ConnectionCounts {
            opened: self.opened,
            closed: self.closed,
            open: open as u64,
        }
    }

    /// Number of open connections of each worker.
    pub fn open_by_worker(&self) -> Vec<u32> {
        self.open.iter().map(|open| open.current).collect()
    }

    /// Connection statistics per worker since the measurement began.
    pub fn usage(&mut self, now: Micros) -> ConnectionUsage {
        self.close_idle(now);
        for open in &mut self.open {
            open.change(now, 0);
        }
        let duration = (now - self.measured_since).max(1) as f64;
        let workers = self.open.len().max(1) as f64;
        let integral: f64 = self.open.iter().map(|open| open.integral).sum();
        let opened = self.opened - self.opened_before;
        ConnectionUsage {
            mean: integral / duration / workers,
            max: self.open.iter().map(|open| open.max).max().unwrap_or(0),
            opened_per_s: opened as f64 / (duration / 1e6) / workers,
        }
    }
}
