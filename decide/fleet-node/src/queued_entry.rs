//! Log entries in the leader's queue, and the requests to answer once they are applied.

use crate::command::{Command, RequestRejection};
use tansy_agreement::log::{ApplyOutcome, LogEntry};

/// Capacity of the queue.
pub(crate) const MAX_QUEUED_ENTRIES: usize = 512;

/// An entry that is not proposed or not applied yet.
pub(crate) struct QueuedEntry {
    pub(crate) entry: LogEntry,
    pub(crate) requester: Requester,
}

/// The requests that an entry answers.
pub(crate) enum Requester {
    /// None: the leader queued the entry itself.
    None,
    /// Number of the request.
    Single(u64),
    /// Index of a transaction in the entry, and number of the request that it answers.
    Transactions(Vec<(usize, u64)>),
}

impl Requester {
    /// Answers each request with its part of the outcome.
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

/// Returns the outcome of one transaction of an entry.
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
