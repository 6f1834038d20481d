//! Effects that a replica returns to its host.

use tansy_agreement::log::{ApplyOutcome, EntryRejection, LogEntry};

/// An effect for the host, which carries effects out in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to another replica. It may be lost, delayed or duplicated.
    Send {
        /// Id of the receiver.
        to: u64,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// Write and sync a record, then call [`Replica::on_persisted`](crate::Replica::on_persisted). Records are written in
    /// order. A snapshot replaces all records up to and including this one once it is synced.
    Persist {
        /// The record.
        record: Vec<u8>,
        /// The whole state as of this record.
        snapshot: Option<Vec<u8>>,
    },
    /// The log holds an entry or snapshot that this program can't decode, because a later version wrote it. The replica
    /// stops taking part, since its log would diverge from the others'.
    UnknownEntry,
    /// An entry was committed and applied.
    Applied {
        /// The number that [`Replica::propose`](crate::Replica::propose) returned; `None` if another replica or an earlier
        /// process proposed the entry.
        proposal: Option<u64>,
        /// The entry.
        entry: LogEntry,
        /// The result of applying it.
        outcome: Result<ApplyOutcome, EntryRejection>,
    },
}
