//! What a replica asks of its host.

use tansy_agreement::log::{ApplyOutcome, EntryRejection, LogEntry};

/// What the host has to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send to another replica. The message may be lost, delayed or duplicated.
    Send {
        /// The voter that receives it.
        to: u64,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// Write and sync a record, then call [`Replica::on_persisted`](crate::Replica::on_persisted); in order. A snapshot
    /// replaces all records up to and including this one once it is synced.
    Persist {
        /// The record.
        record: Vec<u8>,
        /// The whole state, this record included.
        snapshot: Option<Vec<u8>>,
    },
    /// The log holds an entry of a later program. This replica stops taking part, since it can't apply the entry and would
    /// diverge from the others.
    UnknownEntry,
    /// An entry was committed and applied.
    Applied {
        /// The number that [`Replica::propose`](crate::Replica::propose) returned; none if another replica or an earlier
        /// process proposed it.
        proposal: Option<u64>,
        /// The entry.
        entry: LogEntry,
        /// The result of applying it.
        outcome: Result<ApplyOutcome, EntryRejection>,
    },
}
