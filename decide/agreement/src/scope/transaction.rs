//! Proposed updates of scopes.

use super::fields_bytes;
use crate::compatibility::Fields;
use crate::rejection::EntryRejection;
use crate::revision::Revision;
use serde::{Deserialize, Serialize};

/// The largest number of updates in a transaction and in a log entry.
pub const MAX_UPDATES_PER_TRANSACTION: usize = 4096;
/// The largest size in bytes of a transaction and of a log entry, as computed by [`ScopeTransaction::encoded_len`].
pub const MAX_TRANSACTION_BYTES: usize = 256 << 10;
/// The largest length of a scope's name in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// The largest size of a scope's fields in bytes.
pub const MAX_FIELDS_BYTES: usize = 16 << 10;
/// The approximate size in bytes of a transaction without its reason and updates.
const TRANSACTION_OVERHEAD_BYTES: usize = 16;
/// The approximate size in bytes of an update without its name and fields.
const UPDATE_OVERHEAD_BYTES: usize = 16;

/// The update of one scope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeUpdate {
    /// The function's name.
    pub scope: String,
    /// The revision of the scope that the update is based on; zero if the scope did not exist.
    pub base: Revision,
    /// The new fields, by their names without the path prefix (`class`, `lanes`); `None` removes the scope.
    pub fields: Option<Fields>,
}

/// Updates of several scopes, which are accepted or rejected as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeTransaction {
    /// The idempotency key: a second transaction with the same key is a duplicate. 0 stands for no key.
    pub id: u64,
    /// The updates, at most one for each scope.
    pub updates: Vec<ScopeUpdate>,
    /// Why the transaction is proposed, for operators.
    pub reason: String,
}

impl ScopeTransaction {
    /// The approximate encoded size in bytes.
    pub fn encoded_len(&self) -> usize {
        let update_bytes = |update: &ScopeUpdate| {
            update.scope.len() + UPDATE_OVERHEAD_BYTES + fields_bytes(&update.fields)
        };
        self.reason.len()
            + TRANSACTION_OVERHEAD_BYTES
            + self.updates.iter().map(update_bytes).sum::<usize>()
    }

    /// Runs the checks that do not depend on the catalog.
    pub(super) fn validate(&self) -> Result<(), EntryRejection> {
        check_limit(
            self.updates.len(),
            MAX_UPDATES_PER_TRANSACTION,
            "changes in a request",
        )?;
        check_limit(
            self.encoded_len(),
            MAX_TRANSACTION_BYTES,
            "bytes in a request",
        )?;
        self.check_distinct_scopes()?;
        self.updates.iter().try_for_each(ScopeUpdate::validate)
    }

    fn check_distinct_scopes(&self) -> Result<(), EntryRejection> {
        let mut names: Vec<&str> = self.updates.iter().map(|u| u.scope.as_str()).collect();
        names.sort_unstable();
        match names.windows(2).find(|pair| pair[0] == pair[1]) {
            Some(pair) => Err(EntryRejection::DuplicateScope {
                scope: pair[0].to_string(),
            }),
            None => Ok(()),
        }
    }
}

impl ScopeUpdate {
    fn validate(&self) -> Result<(), EntryRejection> {
        if self.scope.is_empty() {
            return Err(EntryRejection::MissingName);
        }
        check_limit(
            self.scope.len(),
            MAX_NAME_BYTES,
            "bytes in a function's name",
        )?;
        check_limit(
            fields_bytes(&self.fields),
            MAX_FIELDS_BYTES,
            "bytes in a function's settings",
        )
    }
}

pub(super) fn check_limit(
    count: usize,
    limit: usize,
    items: &'static str,
) -> Result<(), EntryRejection> {
    if count > limit {
        return Err(EntryRejection::TooMany { items, limit });
    }
    Ok(())
}
