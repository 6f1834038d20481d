//! Workers that drain or are gone, as any member has learnt of it: drains take effect everywhere first.
//!
//! Front ends read lists of workers of their own, which disagree and lag. Arrivals may lag; that a worker drains or is
//! gone is forwarded by whichever member learns of it, and never taken back for that process of the worker:
//!
//! - A worker is a name at an address. A process of it is an incarnation: a later one supersedes all records of those
//!   before; of one incarnation the last state counts, in the order ready, draining, gone. So a drain recorded once holds
//!   for that process, and no older list makes it ready again; a worker that is to serve again is listed with a later
//!   incarnation.
//! - Records merge in any order, any number of times, to the same table.
//! - A record is retained for a stated time, so that a late list can't bring a worker back.

use crate::lease::Time;
use std::collections::BTreeMap;

/// A worker: a name at an address.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Endpoint {
    /// Its name.
    pub name: String,
    /// The address that it listens on, as the list writes it.
    pub address: String,
}

/// The state of a worker's process; a later one in this order overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointState {
    /// Accepts calls.
    Ready,
    /// Finishes the calls that it has.
    Draining,
    /// Removed.
    Gone,
}

/// One record of a list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointRecord {
    /// The worker.
    pub endpoint: Endpoint,
    /// Which of its processes; a later one is larger.
    pub incarnation: u64,
    /// The state of that process.
    pub state: EndpointState,
}

/// The largest number of workers in the drain table; more than any installation has.
pub const MAX_DRAINS: usize = 20_000;
/// A drain is retained for so long after it was last reported: longer than any list may lag.
pub const DRAIN_RETENTION: Time = 24 * 3_600_000_000;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Drain {
    incarnation: u64,
    state: EndpointState,
    last_reported: Time,
}

impl Drain {
    /// The order in which drains of one worker override each other.
    fn precedence(&self) -> (u64, EndpointState) {
        (self.incarnation, self.state)
    }
}

/// The workers that drain or are gone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainTable {
    drains: BTreeMap<Endpoint, Drain>,
}

impl DrainTable {
    /// Merges records. Those that changed the table are returned, to be forwarded.
    pub fn merge(
        &mut self,
        now: Time,
        records: impl IntoIterator<Item = EndpointRecord>,
    ) -> Vec<EndpointRecord> {
        records
            .into_iter()
            .filter(|record| record.state != EndpointState::Ready && self.merge_one(now, record))
            .collect()
    }

    /// Merges the record of a drain. True: it changed the table.
    fn merge_one(&mut self, now: Time, record: &EndpointRecord) -> bool {
        let drain = Drain {
            incarnation: record.incarnation,
            state: record.state,
            last_reported: now,
        };
        let full = self.drains.len() >= MAX_DRAINS;
        match self.drains.get_mut(&record.endpoint) {
            Some(known) if known.precedence() < drain.precedence() => {
                *known = drain;
                true
            }
            Some(known) => {
                // A repeated report extends the retention and changes nothing else.
                if known.precedence() == drain.precedence() {
                    known.last_reported = known.last_reported.max(now);
                }
                false
            }
            None if full => false,
            None => {
                self.drains.insert(record.endpoint.clone(), drain);
                true
            }
        }
    }

    /// The state of a worker's process that a list has in state `listed`.
    pub fn state_of(
        &self,
        worker: &Endpoint,
        incarnation: u64,
        listed: EndpointState,
    ) -> EndpointState {
        match self.drains.get(worker) {
            // The one process ended before the other began.
            Some(drain) if drain.incarnation > incarnation => EndpointState::Gone,
            Some(drain) if drain.incarnation == incarnation => drain.state.max(listed),
            _ => listed,
        }
    }

    /// All records that are retained.
    pub fn records(&self) -> impl Iterator<Item = EndpointRecord> + '_ {
        self.drains.iter().map(|(worker, drain)| EndpointRecord {
            endpoint: worker.clone(),
            incarnation: drain.incarnation,
            state: drain.state,
        })
    }

    /// Drops the records that were not reported for [`DRAIN_RETENTION`].
    pub fn expire(&mut self, now: Time) {
        self.drains
            .retain(|_, drain| now.saturating_sub(drain.last_reported) < DRAIN_RETENTION);
    }
}
