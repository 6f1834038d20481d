//! The table of workers that are draining or gone, merged from what all members report.
//!
//! Front ends read their own lists of workers, which disagree and lag. It is harmless if a new worker is noticed late,
//! but a drain must take effect everywhere at once. So the member that first learns of a drain forwards it to the
//! others, and it is never undone for that process of the worker:
//!
//! - A worker is identified by its name and address, a process of the worker by its incarnation. Records of a later
//!   incarnation override those of earlier ones. Within one incarnation the latest state counts, in the order ready,
//!   draining, gone. No outdated list can therefore make a drained process ready again; to serve again, the worker has
//!   to be listed with a later incarnation.
//! - Merging is commutative and idempotent: records may arrive in any order and any number of times.
//! - A record is retained for [`DRAIN_RETENTION`], so that an outdated list can't bring a worker back.

use crate::lease::Time;
use std::collections::BTreeMap;

/// A worker, identified by name and address.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Endpoint {
    /// The worker's name.
    pub name: String,
    /// The address that the worker listens on, as written in the list.
    pub address: String,
}

/// The state of a worker's process; a state that is later in this order overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointState {
    /// The process accepts calls.
    Ready,
    /// The process finishes the calls that it has and accepts no new ones.
    Draining,
    /// The process has been removed.
    Gone,
}

/// A worker's process and its state, as listed or forwarded.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointRecord {
    /// The worker.
    pub endpoint: Endpoint,
    /// Which process of the worker; later processes have larger numbers.
    pub incarnation: u64,
    /// The state of that process.
    pub state: EndpointState,
}

/// The largest number of workers in the drain table, which bounds its memory.
pub const MAX_DRAINS: usize = 20_000;
/// For how long a drain is retained after its last report: longer than any list may lag.
pub const DRAIN_RETENTION: Time = 24 * 3_600_000_000;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Drain {
    incarnation: u64,
    state: EndpointState,
    last_reported: Time,
}

impl Drain {
    /// Orders drains of the same worker: the larger one overrides the smaller one.
    fn precedence(&self) -> (u64, EndpointState) {
        (self.incarnation, self.state)
    }
}

/// The workers that are draining or gone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainTable {
    drains: BTreeMap<Endpoint, Drain>,
}

impl DrainTable {
    /// Merges records and returns those that changed the table, which are to be forwarded.
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

    /// Merges the record of a drain. Returns whether the table changed.
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
                // A repeated report only extends the retention.
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

    /// The state of a worker's process, given the state `listed` that a list has for it.
    pub fn state_of(
        &self,
        worker: &Endpoint,
        incarnation: u64,
        listed: EndpointState,
    ) -> EndpointState {
        match self.drains.get(worker) {
            // A later process of the worker has been recorded, so this one has ended.
            Some(drain) if drain.incarnation > incarnation => EndpointState::Gone,
            Some(drain) if drain.incarnation == incarnation => drain.state.max(listed),
            _ => listed,
        }
    }

    /// All retained records.
    pub fn records(&self) -> impl Iterator<Item = EndpointRecord> + '_ {
        self.drains.iter().map(|(worker, drain)| EndpointRecord {
            endpoint: worker.clone(),
            incarnation: drain.incarnation,
            state: drain.state,
        })
    }

    /// Drops records that have not been reported for [`DRAIN_RETENTION`].
    pub fn expire(&mut self, now: Time) {
        self.drains
            .retain(|_, drain| now.saturating_sub(drain.last_reported) < DRAIN_RETENTION);
    }
}
