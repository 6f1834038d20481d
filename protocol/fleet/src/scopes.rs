//! Functions that are agreed on one by one, as they are written.

use crate::{member, of_fields, of_member, pb, value, words, Bad};
use std::sync::Arc;
use tansy_agreement::hold::{Epoch, Reply, Want, DROPS, HELD, WANTS};
use tansy_agreement::log::Step;
use tansy_agreement::rule::Fields;
use tansy_agreement::scope::{
    Delta, Move, ScopeChange, ScopeRequest, Scoped, Standing, CHANGES, MOVES, NAME,
};

fn epoch(e: Epoch) -> Option<pb::Epoch> {
    Some(pb::Epoch {
        term: e.term,
        count: e.count,
    })
}

fn of_epoch(e: Option<pb::Epoch>) -> Result<Epoch, Bad> {
    let e = e.ok_or(Bad::Part("epoch"))?;
    Ok(Epoch {
        term: e.term,
        count: e.count,
    })
}

pub(crate) fn want(w: Want) -> pb::Want {
    let (from, epoch) = (Some(member(w.from)), epoch(w.epoch));
    let all = w.all.map(|numbers| pb::Numbers { numbers });
    pb::Want {
        from,
        epoch,
        seq: w.seq,
        at: w.at.0,
        scopes: w.scopes,
        drops: w.drops,
        all,
    }
}

pub(crate) fn of_want(w: pb::Want) -> Result<Want, Bad> {
    let all = w.all.map(|all| all.numbers);
    if w.scopes.len() > WANTS
        || w.drops.len() > DROPS
        || all.as_ref().is_some_and(|a| a.len() > HELD)
    {
        return Err(Bad::Part("number of functions"));
    } else if w.seq == 0 {
        return Err(Bad::Part("number of the letter"));
    }
    let scopes = w
        .scopes
        .into_iter()
        .map(of_name)
        .collect::<Result<_, _>>()?;
    let (from, epoch) = (of_member(w.from)?, of_epoch(w.epoch)?);
    Ok(Want {
        from,
        epoch,
        seq: w.seq,
        at: Step(w.at),
        scopes,
        drops: w.drops,
        all,
    })
}

pub(crate) fn reply(r: Reply) -> pb::Scopes {
    let named = |(name, s): (String, Option<Scoped>)| pb::Named {
        name,
        scoped: s.as_ref().map(scoped),
    };
    let (to, epoch, seq) = (Some(member(r.to)), epoch(r.epoch), r.seq.unwrap_or(0));
    pb::Scopes {
        to,
        epoch,
        seq,
        at: r.at.0,
        scopes: r.scopes.into_iter().map(named).collect(),
    }
}

pub(crate) fn of_reply(r: pb::Scopes) -> Result<Reply, Bad> {
    if r.scopes.len() > WANTS {
        return Err(Bad::Part("number of functions"));
    }
    let named = |n: pb::Named| Ok((of_name(n.name)?, n.scoped.map(of_scoped).transpose()?));
    let scopes = r.scopes.into_iter().map(named).collect::<Result<_, _>>()?;
    let (to, epoch, seq) = (
        of_member(r.to)?,
        of_epoch(r.epoch)?,
        Some(r.seq).filter(|s| *s != 0),
    );
    Ok(Reply {
        to,
        epoch,
        seq,
        at: Step(r.at),
        scopes,
    })
}

fn of_name(name: String) -> Result<String, Bad> {
    if name.is_empty() || name.len() > NAME {
        return Err(Bad::Part("function's name"));
    }
    Ok(name)
}

fn fields(f: &Fields) -> pb::Fields {
    pb::Fields {
        fields: f.iter().map(|(k, v)| (k.clone(), value(v))).collect(),
    }
}

/// A function's settings as they are written.
pub fn scoped(s: &Scoped) -> pb::Scoped {
    let standing = match s.standing {
        Standing::Settled => pb::Standing::Settled,
        Standing::Joint { .. } => pb::Standing::Joining,
        Standing::Settling { .. } => pb::Standing::Settling,
        Standing::Back { .. } => pb::Standing::Returned,
    };
    pb::Scoped {
        revision: s.revision.0,
        fields: s.fields.as_ref().map(fields),
        standing: standing as i32,
        next: s.next().and_then(Option::as_ref).map(fields),
        since: s.standing.since().map_or(0, |s| s.0),
    }
}

/// A function's settings as they were written.
pub fn of_scoped(s: pb::Scoped) -> Result<Scoped, Bad> {
    let read = |f: Option<pb::Fields>| f.map(|f| of_fields(f.fields)).transpose();
    let (fields, next, since) = (read(s.fields)?, read(s.next)?, Step(s.since));
    let standing = match pb::Standing::try_from(s.standing) {
        Ok(pb::Standing::Settled) => Standing::Settled,
        Ok(pb::Standing::Joining) => Standing::Joint { next, since },
        Ok(pb::Standing::Settling) => Standing::Settling { since },
        Ok(pb::Standing::Returned) => Standing::Back { since },
        Err(_) => return Err(Bad::Part("standing of a function")),
    };
    Ok(Scoped {
        revision: Step(s.revision),
        fields,
        standing,
    })
}

pub(crate) fn delta(d: &Delta) -> pb::Delta {
    let one = |m: &Arc<Move>| pb::Move {
        step: m.step.0,
        scope: m.scope.clone(),
        to: Some(scoped(&m.to)),
    };
    pb::Delta {
        from: d.from.0,
        to: d.to.0,
        moves: d.moves.iter().map(one).collect(),
    }
}

/// `to`: the step that the grant is for.
pub(crate) fn of_delta(d: pb::Delta, to: u64) -> Result<Delta, Bad> {
    // Of two moves of a scope in one step nobody could tell the later one; what is out of order would be passed over.
    let ordered = d.moves.is_sorted_by(|a, b| a.step <= b.step);
    let within = d.moves.iter().all(|m| d.from < m.step && m.step <= d.to);
    if d.to != to || d.from >= d.to || !ordered || !within || d.moves.len() > MOVES {
        return Err(Bad::Part("order of moves"));
    }
    let one = |m: pb::Move| {
        let to = of_scoped(m.to.ok_or(Bad::Part("settings of a function"))?)?;
        Ok(Arc::new(Move {
            step: Step(m.step),
            scope: of_name(m.scope)?,
            to,
        }))
    };
    let moves = d.moves.into_iter().map(one).collect::<Result<_, _>>()?;
    Ok(Delta {
        from: Step(d.from),
        to: Step(d.to),
        moves,
    })
}

/// A request for changes as it is written.
pub fn scope_request(r: &ScopeRequest) -> pb::ScopeRequest {
    let one = |c: &ScopeChange| pb::ScopeChange {
        scope: c.scope.clone(),
        base: c.base.0,
        fields: c.fields.as_ref().map(fields),
    };
    pb::ScopeRequest {
        id: r.id,
        why: r.why.clone(),
        changes: r.changes.iter().map(one).collect(),
    }
}

/// A request for changes as it was written.
pub fn of_scope_request(r: pb::ScopeRequest) -> Result<ScopeRequest, Bad> {
    if r.changes.len() > CHANGES {
        return Err(Bad::Part("number of changes"));
    }
    let one = |c: pb::ScopeChange| {
        let fields = c.fields.map(|f| of_fields(f.fields)).transpose()?;
        Ok(ScopeChange {
            scope: of_name(c.scope)?,
            base: Step(c.base),
            fields,
        })
    };
    let changes = r.changes.into_iter().map(one).collect::<Result<_, _>>()?;
    Ok(ScopeRequest {
        id: r.id,
        changes,
        why: words(r.why, "reason")?,
    })
}
