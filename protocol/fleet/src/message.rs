//! Encodes and decodes the envelope of a message: its header and its body.

use crate::drains::{decode_drains, encode_drains};
use crate::identity::{decode_member, decode_process, encode_member, encode_process};
use crate::leases::{
    decode_acknowledge, decode_lease_grant, decode_lease_request, decode_session_grant,
    decode_session_request, encode_lease_body, encode_session_grant, encode_session_request,
};
use crate::subscriptions::{
    decode_subscribe, decode_subscribe_reply, encode_subscribe, encode_subscribe_reply,
};
use crate::values::bounded_text;
use crate::{pb, DecodeError, FORMAT_VERSION};
use pb::envelope::Body;
use prost::Message as _;
use tansy_agreement::lease_tree::LeaseMessage;
use tansy_agreement::log::Revision;
use tansy_fleet_node::{Leader, MessageBody};
use tansy_membership::NodeId;

/// Encodes a message from the node `from`. `leader` is the fleet's leader as far as the sender knows.
pub fn encode_message(fleet: u64, from: &NodeId, leader: Leader, body: MessageBody) -> Vec<u8> {
    pb::Envelope {
        format_version: FORMAT_VERSION,
        fleet,
        from: Some(encode_process(from)),
        leader_term: leader.term,
        leader_id: leader.id,
        body: Some(encode_body(body)),
    }
    .encode_to_vec()
}

fn encode_body(body: MessageBody) -> Body {
    match body {
        MessageBody::Gossip(bytes) => Body::Gossip(bytes),
        MessageBody::Lease(message) => encode_lease_body(message),
        MessageBody::SessionRequest(request, name, digest) => {
            Body::SessionRequest(encode_session_request(request, name, digest))
        }
        MessageBody::SessionGrant(grant) => Body::SessionGrant(encode_session_grant(grant)),
        MessageBody::Departed(departed) => Body::Departed(encode_member(departed)),
        MessageBody::Drains(records, reply_requested) => {
            Body::Drains(encode_drains(records, reply_requested))
        }
        MessageBody::DrainDigest(digest) => Body::DrainDigest(digest),
        MessageBody::Consensus(bytes) => Body::Consensus(bytes),
        MessageBody::HeaderOnly => Body::HeaderOnly(true),
        MessageBody::Subscribe(request) => Body::Subscribe(encode_subscribe(request)),
        MessageBody::SubscribeReply(reply) => Body::SubscribeReply(encode_subscribe_reply(reply)),
    }
}

/// Decodes a message of this fleet. Returns the sender, the leader as far as the sender knows, and the body.
pub fn decode_message(
    fleet: u64,
    bytes: &[u8],
) -> Result<(NodeId, Leader, MessageBody), DecodeError> {
    let envelope =
        pb::Envelope::decode(bytes).map_err(|error| DecodeError::Malformed(error.to_string()))?;
    if envelope.format_version != FORMAT_VERSION {
        return Err(DecodeError::UnknownFormat(envelope.format_version));
    } else if envelope.fleet != fleet {
        return Err(DecodeError::OtherFleet);
    }
    let leader = Leader {
        term: envelope.leader_term,
        id: envelope.leader_id,
    };
    let from = envelope.from.ok_or(DecodeError::MissingPart("sender"))?;
    let from = decode_process(from)?;
    let body = envelope.body.ok_or(DecodeError::MissingPart("body"))?;
    Ok((from, leader, decode_body(body)?))
}

fn decode_body(body: Body) -> Result<MessageBody, DecodeError> {
    Ok(match body {
        Body::Gossip(bytes) => MessageBody::Gossip(bytes),
        Body::LeaseRequest(request) => MessageBody::Lease(decode_lease_request(request)?),
        Body::LeaseGrant(grant) => MessageBody::Lease(decode_lease_grant(grant)?),
        Body::Revision(revision) => MessageBody::Lease(LeaseMessage::Revision(Revision(revision))),
        Body::Acknowledge(acknowledge) => MessageBody::Lease(decode_acknowledge(acknowledge)?),
        Body::SessionRequest(request) => {
            let session = decode_session_request(&request)?;
            let name = bounded_text(request.name, "name")?;
            MessageBody::SessionRequest(session, name, request.drain_digest)
        }
        Body::SessionGrant(grant) => MessageBody::SessionGrant(decode_session_grant(grant)?),
        Body::Departed(departed) => MessageBody::Departed(decode_member(Some(departed))?),
        Body::Drains(drains) => {
            let (records, reply_requested) = decode_drains(drains)?;
            MessageBody::Drains(records, reply_requested)
        }
        Body::DrainDigest(digest) => MessageBody::DrainDigest(digest),
        Body::Consensus(bytes) => MessageBody::Consensus(bytes),
        Body::HeaderOnly(_) => MessageBody::HeaderOnly,
        Body::Subscribe(request) => MessageBody::Subscribe(decode_subscribe(request)?),
        Body::SubscribeReply(reply) => MessageBody::SubscribeReply(decode_subscribe_reply(reply)?),
    })
}
