//! Functions that are agreed on one by one, as they are written.

use crate::{member, of_fields, of_member, pb, value, words, DecodeError};
use std::sync::Arc;
use tansy_agreement::compatibility::Fields;
use tansy_agreement::log::Revision;
use tansy_agreement::scope::{
    ScopeChange, ScopePhase, ScopeRecord, ScopeTransaction, ScopeUpdate, StateDelta, MAX_HISTORY,
    MAX_NAME_BYTES, MAX_UPDATES_PER_TRANSACTION,
};
use tansy_agreement::subscription::{
    ResyncEpoch, SubscribeReply, SubscribeRequest, MAX_SCOPES_PER_REQUEST, MAX_SUBSCRIPTIONS,
    MAX_UNSUBSCRIBES_PER_REQUEST,
};

fn epoch(e: ResyncEpoch) -> Option<pb::Epoch> {
    Some(pb::Epoch {
        term: e.term,
        count: e.count,
    })
}

fn of_epoch(e: Option<pb::Epoch>) -> Result<ResyncEpoch, DecodeError> {
    let e = e.ok_or(DecodeError::MissingPart("epoch"))?;
    Ok(ResyncEpoch {
        term: e.term,
        count: e.count,
    })
}

pub(crate) fn want(w: SubscribeRequest) -> pb::Want {
    let (from, epoch) = (Some(member(w.from)), epoch(w.epoch));
    let all = w.full_list.map(|numbers| pb::Numbers { numbers });
    pb::Want {
        from,
        epoch,
        seq: w.seq,
        at: w.revision.0,
        scopes: w.scopes,
        drops: w.unsubscribed,
        all,
    }
}

pub(crate) fn of_want(w: pb::Want) -> Result<SubscribeRequest, DecodeError> {
    let all = w.all.map(|all| all.numbers);
    if w.scopes.len() > MAX_SCOPES_PER_REQUEST
        || w.drops.len() > MAX_UNSUBSCRIBES_PER_REQUEST
        || all.as_ref().is_some_and(|a| a.len() > MAX_SUBSCRIPTIONS)
    {
        return Err(DecodeError::MissingPart("number of functions"));
    } else if w.seq == 0 {
        return Err(DecodeError::MissingPart("number of the letter"));
    }
    let scopes = w
        .scopes
        .into_iter()
        .map(of_name)
        .collect::<Result<_, _>>()?;
    let (from, epoch) = (of_member(w.from)?, of_epoch(w.epoch)?);
    Ok(SubscribeRequest {
        from,
        epoch,
        seq: w.seq,
        revision: Revision(w.at),
        scopes,
        unsubscribed: w.drops,
        full_list: all,
    })
}

pub(crate) fn reply(r: SubscribeReply) -> pb::Scopes {
    let named = |(name, s): (String, Option<ScopeRecord>)| pb::Named {
        name,
        scoped: s.as_ref().map(scoped),
    };
    let (to, epoch, seq) = (Some(member(r.to)), epoch(r.epoch), r.seq.unwrap_or(0));
    pb::Scopes {
        to,
        epoch,
        seq,
        at: r.revision.0,
        scopes: r.scopes.into_iter().map(named).collect(),
    }
}

pub(crate) fn of_reply(r: pb::Scopes) -> Result<SubscribeReply, DecodeError> {
    if r.scopes.len() > MAX_SCOPES_PER_REQUEST {
        return Err(DecodeError::MissingPart("number of functions"));
    }
    let named = |n: pb::Named| Ok((of_name(n.name)?, n.scoped.map(of_scoped).transpose()?));
    let scopes = r.scopes.into_iter().map(named).collect::<Result<_, _>>()?;
    let (to, epoch, seq) = (
        of_member(r.to)?,
        of_epoch(r.epoch)?,
        Some(r.seq).filter(|s| *s != 0),
    );
    Ok(SubscribeReply {
        to,
        epoch,
        seq,
        revision: Revision(r.at),
        scopes,
    })
}

fn of_name(name: String) -> Result<String, DecodeError> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(DecodeError::MissingPart("function's name"));
    }
    Ok(name)
}

fn fields(f: &Fields) -> pb::Fields {
    pb::Fields {
        fields: f.iter().map(|(k, v)| (k.clone(), value(v))).collect(),
    }
}

/// A function's settings as they are written.
pub fn scoped(s: &ScopeRecord) -> pb::Scoped {
    let standing = match s.phase {
        ScopePhase::Settled => pb::Standing::Settled,
        ScopePhase::Joint { .. } => pb::Standing::Joining,
        ScopePhase::Settling { .. } => pb::Standing::Settling,
        ScopePhase::Reverting { .. } => pb::Standing::Returned,
    };
    pb::Scoped {
        revision: s.revision.0,
        fields: s.fields.as_ref().map(fields),
        standing: standing as i32,
        next: s.next().and_then(Option::as_ref).map(fields),
        since: s.phase.since().map_or(0, |s| s.0),
    }
}

/// A function's settings as they were written.
pub fn of_scoped(s: pb::Scoped) -> Result<ScopeRecord, DecodeError> {
    let read = |f: Option<pb::Fields>| f.map(|f| of_fields(f.fields)).transpose();
    let (fields, next, since) = (read(s.fields)?, read(s.next)?, Revision(s.since));
    let standing = match pb::Standing::try_from(s.standing) {
        Ok(pb::Standing::Settled) => ScopePhase::Settled,
        Ok(pb::Standing::Joining) => ScopePhase::Joint { next, since },
        Ok(pb::Standing::Settling) => ScopePhase::Settling { since },
        Ok(pb::Standing::Returned) => ScopePhase::Reverting { since },
        Err(_) => return Err(DecodeError::MissingPart("standing of a function")),
    };
    Ok(ScopeRecord {
        revision: Revision(s.revision),
        fields,
        phase: standing,
    })
}

pub(crate) fn delta(d: &StateDelta) -> pb::Delta {
    let one = |m: &Arc<ScopeChange>| pb::Move {
        step: m.revision.0,
        scope: m.scope.clone(),
        to: Some(scoped(&m.record)),
    };
    pb::Delta {
        from: d.from.0,
        to: d.to.0,
        moves: d.changes.iter().map(one).collect(),
    }
}

/// `to`: the step that the grant is for.
pub(crate) fn of_delta(d: pb::Delta, to: u64) -> Result<StateDelta, DecodeError> {
    // Of two moves of a scope in one step nobody could tell the later one; what is out of order would be passed over.
    let ordered = d.moves.is_sorted_by(|a, b| a.step <= b.step);
    let within = d.moves.iter().all(|m| d.from < m.step && m.step <= d.to);
    if d.to != to || d.from >= d.to || !ordered || !within || d.moves.len() > MAX_HISTORY {
        return Err(DecodeError::MissingPart("order of moves"));
    }
    let one = |m: pb::Move| {
        let to = of_scoped(m.to.ok_or(DecodeError::MissingPart("settings of a function"))?)?;
        Ok(Arc::new(ScopeChange {
            revision: Revision(m.step),
            scope: of_name(m.scope)?,
            record: to,
        }))
    };
    let moves = d.moves.into_iter().map(one).collect::<Result<_, _>>()?;
    Ok(StateDelta {
        from: Revision(d.from),
        to: Revision(d.to),
        changes: moves,
    })
}

/// A request for changes as it is written.
pub fn scope_request(r: &ScopeTransaction) -> pb::ScopeRequest {
    let one = |c: &ScopeUpdate| pb::ScopeChange {
        scope: c.scope.clone(),
        base: c.base.0,
        fields: c.fields.as_ref().map(fields),
    };
    pb::ScopeRequest {
        id: r.id,
        why: r.reason.clone(),
        changes: r.updates.iter().map(one).collect(),
    }
}

/// A request for changes as it was written.
pub fn of_scope_request(r: pb::ScopeRequest) -> Result<ScopeTransaction, DecodeError> {
    if r.changes.len() > MAX_UPDATES_PER_TRANSACTION {
        return Err(DecodeError::MissingPart("number of changes"));
    }
    let one = |c: pb::ScopeChange| {
        let fields = c.fields.map(|f| of_fields(f.fields)).transpose()?;
        Ok(ScopeUpdate {
            scope: of_name(c.scope)?,
            base: Revision(c.base),
            fields,
        })
    };
    let changes = r.changes.into_iter().map(one).collect::<Result<_, _>>()?;
    Ok(ScopeTransaction {
        id: r.id,
        updates: changes,
        reason: words(r.why, "reason")?,
    })
}
