//! Encodes and decodes front ends' subscriptions to functions.

use crate::identity::{decode_member, encode_member};
use crate::scopes::{check_scope_name, decode_scope_record, encode_scope_record};
use crate::{pb, DecodeError};
use tansy_agreement::log::Revision;
use tansy_agreement::scope::ScopeRecord;
use tansy_agreement::subscription::{
    ResyncEpoch, SubscribeReply, SubscribeRequest, MAX_SCOPES_PER_REQUEST, MAX_SUBSCRIPTIONS,
    MAX_UNSUBSCRIBES_PER_REQUEST,
};

fn encode_epoch(epoch: ResyncEpoch) -> pb::ResyncEpoch {
    pb::ResyncEpoch {
        term: epoch.term,
        count: epoch.count,
    }
}

fn decode_epoch(epoch: Option<pb::ResyncEpoch>) -> Result<ResyncEpoch, DecodeError> {
    let epoch = epoch.ok_or(DecodeError::MissingPart("epoch"))?;
    Ok(ResyncEpoch {
        term: epoch.term,
        count: epoch.count,
    })
}

pub(crate) fn encode_subscribe(request: SubscribeRequest) -> pb::SubscribeRequest {
    let full_list = request.full_list;
    pb::SubscribeRequest {
        from: Some(encode_member(request.from)),
        epoch: Some(encode_epoch(request.epoch)),
        seq: request.seq,
        revision: request.revision.0,
        scopes: request.scopes,
        unsubscribed: request.unsubscribed,
        full_list: full_list.map(|numbers| pb::ScopeNumbers { numbers }),
    }
}

pub(crate) fn decode_subscribe(
    request: pb::SubscribeRequest,
) -> Result<SubscribeRequest, DecodeError> {
    let full_list = request.full_list.map(|list| list.numbers);
    let listed = full_list.as_ref().map_or(0, Vec::len);
    if request.scopes.len() > MAX_SCOPES_PER_REQUEST
        || request.unsubscribed.len() > MAX_UNSUBSCRIBES_PER_REQUEST
        || listed > MAX_SUBSCRIPTIONS
    {
        return Err(DecodeError::MissingPart("number of functions"));
    } else if request.seq == 0 {
        return Err(DecodeError::MissingPart("sequence number"));
    }
    let scopes = request.scopes.into_iter().map(check_scope_name);
    let scopes = scopes.collect::<Result<_, _>>()?;
    Ok(SubscribeRequest {
        from: decode_member(request.from)?,
        epoch: decode_epoch(request.epoch)?,
        seq: request.seq,
        revision: Revision(request.revision),
        scopes,
        unsubscribed: request.unsubscribed,
        full_list,
    })
}

pub(crate) fn encode_subscribe_reply(reply: SubscribeReply) -> pb::SubscribeReply {
    let named = |(name, record): (String, Option<ScopeRecord>)| pb::NamedFunction {
        name,
        record: record.as_ref().map(encode_scope_record),
    };
    pb::SubscribeReply {
        to: Some(encode_member(reply.to)),
        epoch: Some(encode_epoch(reply.epoch)),
        seq: reply.seq.unwrap_or(0),
        revision: reply.revision.0,
        scopes: reply.scopes.into_iter().map(named).collect(),
    }
}

pub(crate) fn decode_subscribe_reply(
    reply: pb::SubscribeReply,
) -> Result<SubscribeReply, DecodeError> {
    if reply.scopes.len() > MAX_SCOPES_PER_REQUEST {
        return Err(DecodeError::MissingPart("number of functions"));
    }
    let named = |named: pb::NamedFunction| {
        let name = check_scope_name(named.name)?;
        Ok((name, named.record.map(decode_scope_record).transpose()?))
    };
    let scopes = reply.scopes.into_iter().map(named);
    let scopes = scopes.collect::<Result<_, _>>()?;
    Ok(SubscribeReply {
        to: decode_member(reply.to)?,
        epoch: decode_epoch(reply.epoch)?,
        seq: Some(reply.seq).filter(|seq| *seq != 0),
        revision: Revision(reply.revision),
        scopes,
    })
}
