//! Encodes and decodes the records of functions, deltas of those records, and transactions that change functions. Each
//! function is a scope: it is agreed on separately from the versions of the settings.

use crate::values::{bounded_text, decode_fields, encode_fields};
use crate::{pb, DecodeError};
use std::sync::Arc;
use tansy_agreement::compatibility::Fields;
use tansy_agreement::log::Revision;
use tansy_agreement::scope::{
    ScopeChange, ScopePhase, ScopeRecord, ScopeTransaction, ScopeUpdate, StateDelta, MAX_HISTORY,
    MAX_NAME_BYTES, MAX_UPDATES_PER_TRANSACTION,
};

/// Checks that a function's name has a valid length.
pub(crate) fn check_scope_name(name: String) -> Result<String, DecodeError> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(DecodeError::MissingPart("function's name"));
    }
    Ok(name)
}

fn encode_scope_fields(scope: &Fields) -> pb::Fields {
    pb::Fields {
        fields: encode_fields(scope),
    }
}

fn decode_scope_fields(scope: Option<pb::Fields>) -> Result<Option<Fields>, DecodeError> {
    scope.map(|scope| decode_fields(scope.fields)).transpose()
}

/// Encodes the record of a function.
pub fn encode_scope_record(record: &ScopeRecord) -> pb::ScopeRecord {
    let phase = match record.phase {
        ScopePhase::Settled => pb::ScopePhase::Settled,
        ScopePhase::Joint { .. } => pb::ScopePhase::Joint,
        ScopePhase::Settling { .. } => pb::ScopePhase::Settling,
        ScopePhase::Reverting { .. } => pb::ScopePhase::Reverting,
    };
    pb::ScopeRecord {
        revision: record.revision.0,
        fields: record.fields.as_ref().map(encode_scope_fields),
        phase: phase as i32,
        next: record
            .next()
            .and_then(Option::as_ref)
            .map(encode_scope_fields),
        since: record.phase.since().map_or(0, |since| since.0),
    }
}

/// Decodes the record of a function.
pub fn decode_scope_record(record: pb::ScopeRecord) -> Result<ScopeRecord, DecodeError> {
    let fields = decode_scope_fields(record.fields)?;
    let next = decode_scope_fields(record.next)?;
    let since = Revision(record.since);
    let phase = match pb::ScopePhase::try_from(record.phase) {
        Ok(pb::ScopePhase::Settled) => ScopePhase::Settled,
        Ok(pb::ScopePhase::Joint) => ScopePhase::Joint { next, since },
        Ok(pb::ScopePhase::Settling) => ScopePhase::Settling { since },
        Ok(pb::ScopePhase::Reverting) => ScopePhase::Reverting { since },
        Err(_) => return Err(DecodeError::MissingPart("phase of a function")),
    };
    Ok(ScopeRecord {
        revision: Revision(record.revision),
        fields,
        phase,
    })
}

pub(crate) fn encode_delta(delta: &StateDelta) -> pb::StateDelta {
    let change = |change: &Arc<ScopeChange>| pb::ScopeChange {
        revision: change.revision.0,
        scope: change.scope.clone(),
        record: Some(encode_scope_record(&change.record)),
    };
    pb::StateDelta {
        from: delta.from.0,
        to: delta.to.0,
        changes: delta.changes.iter().map(change).collect(),
    }
}

/// Decodes the delta of a lease grant for the revision `to`.
pub(crate) fn decode_delta(delta: pb::StateDelta, to: u64) -> Result<StateDelta, DecodeError> {
    // Changes must be sorted and within the range of the delta: a receiver would skip a change that is out of order.
    let ordered = delta
        .changes
        .is_sorted_by(|earlier, later| earlier.revision <= later.revision);
    let within = delta
        .changes
        .iter()
        .all(|change| delta.from < change.revision && change.revision <= delta.to);
    let spans = delta.to == to && delta.from < delta.to;
    if !spans || !ordered || !within || delta.changes.len() > MAX_HISTORY {
        return Err(DecodeError::MissingPart("order of changes"));
    }
    let changes = delta.changes.into_iter().map(decode_change);
    Ok(StateDelta {
        from: Revision(delta.from),
        to: Revision(delta.to),
        changes: changes.collect::<Result<_, _>>()?,
    })
}

fn decode_change(change: pb::ScopeChange) -> Result<Arc<ScopeChange>, DecodeError> {
    let record = change.record;
    let record =
        decode_scope_record(record.ok_or(DecodeError::MissingPart("settings of a function"))?)?;
    Ok(Arc::new(ScopeChange {
        revision: Revision(change.revision),
        scope: check_scope_name(change.scope)?,
        record,
    }))
}

/// Encodes a transaction.
pub fn encode_scope_transaction(transaction: &ScopeTransaction) -> pb::ScopeTransaction {
    let update = |update: &ScopeUpdate| pb::ScopeUpdate {
        scope: update.scope.clone(),
        base: update.base.0,
        fields: update.fields.as_ref().map(encode_scope_fields),
    };
    pb::ScopeTransaction {
        id: transaction.id,
        reason: transaction.reason.clone(),
        updates: transaction.updates.iter().map(update).collect(),
    }
}

/// Decodes a transaction.
pub fn decode_scope_transaction(
    transaction: pb::ScopeTransaction,
) -> Result<ScopeTransaction, DecodeError> {
    if transaction.updates.len() > MAX_UPDATES_PER_TRANSACTION {
        return Err(DecodeError::MissingPart("number of changes"));
    }
    let update = |update: pb::ScopeUpdate| {
        let fields = decode_scope_fields(update.fields)?;
        Ok(ScopeUpdate {
            scope: check_scope_name(update.scope)?,
            base: Revision(update.base),
            fields,
        })
    };
    let updates = transaction.updates.into_iter().map(update);
    Ok(ScopeTransaction {
        id: transaction.id,
        updates: updates.collect::<Result<_, _>>()?,
        reason: bounded_text(transaction.reason, "reason")?,
    })
}
