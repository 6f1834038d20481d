//! Settings of single functions, which are agreed on one by one, separately from the numbered versions.
//!
//! A **scope** is the settings of one function. The [`ScopeCatalog`] of the agreed log contains all scopes, each with
//! the revision in which its fields came in force and the phase of a change in progress. A change becomes **joint**,
//! then comes **in force** or is **reverted**, and is settled once no member with a live lease acts on the joint phase
//! any more. Recent changes are retained as [`ScopeChange`]s, so that a member with a recent revision is sent only
//! these.
//!
//! The log validates and applies changes (see [`crate::log`]). The leader, which knows leases and subscriptions,
//! decides when a change may proceed.

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

/// The number by which the leader identifies a scope in subscriptions. If two names have the same number, changes of
/// either wait for the subscribers of both.
pub fn scope_number(scope: &str) -> u64 {
    xxh3_64(scope.as_bytes())
}

/// The approximate size in bytes of a value without its contents.
const VALUE_BYTES: usize = 8;

/// The approximate size of the fields in bytes.
fn fields_bytes(fields: &Option<Fields>) -> usize {
    fields
        .iter()
        .flatten()
        .map(|(name, value)| name.len() + value_bytes(value))
        .sum()
}

fn value_bytes(value: &Value) -> usize {
    match value {
        Value::Text(text) => VALUE_BYTES + text.len(),
        Value::List(values) => VALUE_BYTES + values.iter().map(value_bytes).sum::<usize>(),
        _ => VALUE_BYTES,
    }
}
