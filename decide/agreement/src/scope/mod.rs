//! Settings of functions that are agreed on one by one, beside the numbered versions.
//!
//! A **scope** is the settings of one function. The [`ScopeCatalog`] of the agreed log has all of them, each with the
//! revision of its last change and the phase of a change in progress: a change becomes **joint**, then comes **in force**
//! (or is **reverted**), and is settled once no member with a live lease is behind that. Recent changes are retained as
//! [`ScopeChange`]s, so that a member with a recent revision is sent these alone.
//!
//! The log validates and applies (see [`crate::log`]); the leader, who knows leases and subscriptions, decides when a
//! change is ready.

mod catalog;
mod history;
mod record;
mod transaction;

pub(crate) use catalog::ChangeEnd;
pub use catalog::{
    CatalogSnapshot, ScopeCatalog, TransactionResult, MAX_REMEMBERED_TRANSACTIONS, MAX_SCOPES,
};
pub use history::{ChangeHistory, ScopeChange, StateDelta, MAX_HISTORY, MAX_HISTORY_BYTES};
pub(crate) use record::defines_scope;
pub use record::{qualified_fields, EffectiveSettings, ScopePhase, ScopeRecord};
pub use transaction::{
    ScopeTransaction, ScopeUpdate, MAX_FIELDS_BYTES, MAX_NAME_BYTES, MAX_TRANSACTION_BYTES,
    MAX_UPDATES_PER_TRANSACTION,
};

use crate::compatibility::{Fields, Value};
use xxhash_rust::xxh3::xxh3_64;

/// The number of a scope, by which the leader keeps subscriptions. Two names may share a number: members subscribed to
/// either are then waited for.
pub fn scope_number(scope: &str) -> u64 {
    xxh3_64(scope.as_bytes())
}

/// The approximate size of fields in bytes.
fn fields_bytes(fields: &Option<Fields>) -> usize {
    fields
        .iter()
        .flatten()
        .map(|(name, value)| name.len() + value_bytes(value))
        .sum()
}

fn value_bytes(value: &Value) -> usize {
    match value {
        Value::Text(text) => 8 + text.len(),
        Value::List(values) => 8 + values.iter().map(value_bytes).sum::<usize>(),
        _ => 8,
    }
}
