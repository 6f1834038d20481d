//! How long connections may have waited in the kernel's accept queue.

use std::collections::VecDeque;
use std::time::{Duration, Instant};
use tansy_net_sockets::accept_queue::MAX_LENGTH;

/// Interval at which the length of a queue that is not empty is measured.
const MEASURE_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of measurements that are kept.
const MAX_MARKS: usize = 256;

/// A measurement: connections after number `last` arrived later than `at`.
struct Mark {
    last: u64,
    at: Instant,
}

/// Estimates when a connection arrived that is accepted now. The estimate is never later than the arrival.
#[derive(Default)]
pub struct AcceptQueue {
    /// The number of connections accepted so far.
    accepted: u64,
    /// The earliest arrival of a connection that is still queued; none if the queue was emptied.
    earliest: Option<Instant>,
    marks: VecDeque<Mark>,
    measured_at: Option<Instant>,
}

impl AcceptQueue {
    /// Starts to accept connections, of which none can have arrived before `arrived` if the queue was empty.
    pub fn begin(&mut self, arrived: Instant) {
        self.earliest.get_or_insert(arrived);
    }

    /// Counts an accepted connection and returns its earliest arrival; `now` if it is not known to have waited.
    pub fn on_accepted(&mut self, now: Instant) -> Instant {
        self.accepted += 1;
        while let Some(mark) = self.marks.front().filter(|mark| mark.last < self.accepted) {
            self.earliest = Some(mark.at);
            self.marks.pop_front();
        }
        self.earliest.unwrap_or(now)
    }

    /// The queue is empty.
    pub fn on_empty(&mut self) {
        self.earliest = None;
        self.marks.clear();
    }

    /// The queue may hold further connections; `measure` returns how many, if it can.
    pub fn on_more(&mut self, now: Instant, measure: impl FnOnce() -> Option<usize>) {
        let is_due = |at: Instant| now.duration_since(at) >= MEASURE_INTERVAL;
        if !self.measured_at.is_none_or(is_due) || self.marks.len() >= MAX_MARKS {
            return;
        }
        self.measured_at = Some(now);
        let length = measure().unwrap_or(MAX_LENGTH) as u64;
        self.marks.push_back(Mark {
            last: self.accepted + length,
            at: now,
        });
    }

    /// How long the first connection of the queue may have waited.
    pub fn age(&self, now: Instant) -> Duration {
        let waited = |since| now.duration_since(since);
        self.earliest.map_or(Duration::ZERO, waited)
    }
}
