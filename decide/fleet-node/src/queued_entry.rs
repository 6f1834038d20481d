//! Entries that wait to be proposed, and who is answered once they are applied.

use crate::command::{Command, RequestRejection};
use tansy_agreement::log::{ApplyOutcome, LogEntry};

/// Entries that may wait at a time.
pub(crate) const MAX_QUEUED_ENTRIES: usize = 512;

/// An entry that waits to be proposed or applied.
pub(crate) struct QueuedEntry {
    pub(crate) entry: LogEntry,
    pub(crate) requester: Requester,
}

/// Who is answered for an entry.
pub(crate) enum Requester {
    /// Nobody.
    None,
    /// The request of this number.
    Single(u64),
    /// For each transaction of the entry, by its position: the request of this number.
    Transactions(Vec<(usize, u64)>),
}

impl Requester {
    /// Answers the requests.
    pub(crate) fn respond(
        self,
        outcome: Result<ApplyOutcome, RequestRejection>,
        commands: &mut Vec<Command>,
    ) {
        match self {
            Requester::None => {}
            Requester::Single(request) => commands.push(Command::Respond { request, outcome }),
            Requester::Transactions(requests) => {
                for (position, request) in requests {
                    let outcome = transaction_outcome(&outcome, position);
                    commands.push(Command::Respond { request, outcome });
                }
            }
        }
    }
}

/// The part of an entry's outcome that concerns its transaction at this position.
fn transaction_outcome(
    outcome: &Result<ApplyOutcome, RequestRejection>,
    position: usize,
) -> Result<ApplyOutcome, RequestRejection> {
    let Ok(ApplyOutcome::ScopesChanged { revision, rejected }) = outcome else {
        return outcome.clone();
    };
    match rejected.iter().find(|(index, _)| *index == position) {
        Some((_, reason)) => Err(RequestRejection::Log(reason.clone())),
        None => Ok(ApplyOutcome::ScopesChanged {
            revision: *revision,
            rejected: Vec::new(),
        }),
    }
}
