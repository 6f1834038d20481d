//! Requested changes of scopes that are not proposed yet. They are merged into few log entries.

use crate::command::{Command, RequestRejection};
use crate::queued_entry::{QueuedEntry, Requester};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tansy_agreement::lease::Time;
use tansy_agreement::log::{ApplyOutcome, EntryRejection, Log, LogEntry, Revision};
use tansy_agreement::scope::{
    ScopeTransaction, MAX_TRANSACTION_BYTES, MAX_UPDATES_PER_TRANSACTION,
};

/// Maximum number of pending requests.
const MAX_REQUESTS: usize = 4096;
/// Maximum total size of pending requests.
const MAX_REQUEST_BYTES: usize = 32 << 20;

/// The pending requests, and the times that limit how often entries are queued and how long changes stay joint.
#[derive(Default)]
pub(crate) struct PendingChanges {
    requests: VecDeque<(u64, ScopeTransaction)>,
    request_bytes: usize,
    /// Earliest time of the next entry that merges requests.
    pub(crate) next_update: Time,
    /// Earliest time of the next check for scopes that can be advanced.
    pub(crate) next_check: Time,
    /// By revision: when this leader first saw scopes that became joint at it.
    pub(crate) joint_since: BTreeMap<Revision, Time>,
}

impl PendingChanges {
    /// Clears all state, for a new leader.
    pub(crate) fn reset(&mut self) {
        *self = PendingChanges::default();
    }

    /// Rejects all pending requests.
    pub(crate) fn reject_all(&mut self, reason: &RequestRejection, commands: &mut Vec<Command>) {
        for (request, _) in self.requests.drain(..) {
            commands.push(Command::Respond {
                request,
                outcome: Err(reason.clone()),
            });
        }
        self.reset();
    }

    /// Whether no request is pending.
    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request; returns `false` if too many are pending.
    pub(crate) fn push(&mut self, request: u64, transaction: ScopeTransaction) -> bool {
        let bytes = transaction.encoded_len();
        let has_room =
            self.requests.len() < MAX_REQUESTS && self.request_bytes + bytes <= MAX_REQUEST_BYTES;
        if has_room {
            self.request_bytes += bytes;
            self.requests.push_back((request, transaction));
        }
        has_room
    }

    /// Merges as many requests as fit into one entry, in order. Duplicates and requests that conflict are answered at once.
    pub(crate) fn merge(&mut self, log: &Log, commands: &mut Vec<Command>) -> Option<QueuedEntry> {
        let mut batch = Batch::default();
        while let Some((request, transaction)) = self.requests.pop_front() {
            let bytes = transaction.encoded_len();
            match batch.check(log, &transaction) {
                Check::DuplicateOf(position) => batch.requests.push((position, request)),
                Check::Answer(outcome) => commands.push(Command::Respond { request, outcome }),
                Check::New if batch.is_full_for(&transaction, bytes) => {
                    self.requests.push_front((request, transaction));
                    break;
                }
                Check::New => batch.add(request, transaction, bytes),
            }
            self.request_bytes -= bytes;
        }
        batch.into_entry()
    }
}

/// Transactions to be merged into one entry.
#[derive(Default)]
struct Batch {
    transactions: Vec<ScopeTransaction>,
    /// Index of a transaction, and number of a request that it answers.
    requests: Vec<(usize, u64)>,
    scopes: BTreeSet<String>,
    bytes: usize,
}

/// The result of checking a request against a batch.
enum Check {
    /// The request repeats the transaction at this index.
    DuplicateOf(usize),
    /// The request is answered without an entry.
    Answer(Result<ApplyOutcome, RequestRejection>),
    /// The request can be added if the batch has room.
    New,
}

impl Batch {
    fn check(&self, log: &Log, transaction: &ScopeTransaction) -> Check {
        let same = |other: &ScopeTransaction| other.id == transaction.id && other.id != 0;
        if let Some(position) = self.transactions.iter().position(same) {
            return Check::DuplicateOf(position);
        }
        let overlap = transaction
            .updates
            .iter()
            .find(|update| self.scopes.contains(&update.scope));
        if let Some(update) = overlap {
            let rejection = EntryRejection::ScopeChangeInProgress {
                scope: update.scope.clone(),
            };
            return Check::Answer(Err(RequestRejection::Log(rejection)));
        }
        match log.validate_transaction(transaction) {
            Ok(Some(revision)) => Check::Answer(Ok(ApplyOutcome::ScopesChanged {
                revision,
                rejected: Vec::new(),
            })),
            Err(rejection) => Check::Answer(Err(RequestRejection::Log(rejection))),
            Ok(None) => Check::New,
        }
    }

    /// Whether this transaction has to wait for the next entry. An empty batch has room for any transaction.
    fn is_full_for(&self, transaction: &ScopeTransaction, bytes: usize) -> bool {
        let updates = self.scopes.len() + transaction.updates.len();
        !self.transactions.is_empty()
            && (updates > MAX_UPDATES_PER_TRANSACTION || self.bytes + bytes > MAX_TRANSACTION_BYTES)
    }

    fn add(&mut self, request: u64, transaction: ScopeTransaction, bytes: usize) {
        self.bytes += bytes;
        let scopes = transaction
            .updates
            .iter()
            .map(|update| update.scope.clone());
        self.scopes.extend(scopes);
        self.requests.push((self.transactions.len(), request));
        self.transactions.push(transaction);
    }

    fn into_entry(self) -> Option<QueuedEntry> {
        if self.transactions.is_empty() {
            return None;
        }
        Some(QueuedEntry {
            entry: LogEntry::UpdateScopes {
                transactions: self.transactions,
            },
            requester: Requester::Transactions(self.requests),
        })
    }
}
