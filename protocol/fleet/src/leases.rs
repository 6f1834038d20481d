//! Encodes and decodes the messages of leases and of sessions with the leader.

use crate::fleet_state::{decode_state, encode_state};
use crate::identity::{decode_member, encode_member};
use crate::scopes::{decode_delta, encode_delta};
use crate::{pb, DecodeError};
use tansy_agreement::lease::{LeaseGrant, LeaseRequest};
use tansy_agreement::lease_tree;
use tansy_agreement::log::{FleetState, Revision};
use tansy_agreement::scope::StateDelta;
use tansy_agreement::session::{SessionGrant, SessionRequest};

/// The lease messages of a fleet, which carry the fleet's state and deltas of its functions.
type LeaseMessage = lease_tree::LeaseMessage<FleetState, StateDelta>;

pub(crate) fn encode_lease_body(message: LeaseMessage) -> pb::envelope::Body {
    use pb::envelope::Body;
    match message {
        LeaseMessage::Request(request) => Body::LeaseRequest(pb::LeaseRequest {
            from: Some(encode_member(request.from)),
            seq: request.seq,
            acknowledged: request.acknowledged.0,
            known: request.known.0,
            accepts_deltas: request.accepts_deltas,
        }),
        LeaseMessage::Grant(grant) => Body::LeaseGrant(pb::LeaseGrant {
            to: Some(encode_member(grant.to)),
            seq: grant.seq,
            span: grant.span,
            revision: grant.revision.0,
            state: grant.state.as_ref().map(encode_state),
            delta: grant.delta.as_ref().map(encode_delta),
        }),
        LeaseMessage::Revision(revision) => Body::Revision(revision.0),
        LeaseMessage::Acknowledge { from, revision } => Body::Acknowledge(pb::Acknowledge {
            from: Some(encode_member(from)),
            revision: revision.0,
        }),
    }
}

pub(crate) fn decode_lease_request(request: pb::LeaseRequest) -> Result<LeaseMessage, DecodeError> {
    Ok(LeaseMessage::Request(LeaseRequest {
        from: decode_member(request.from)?,
        seq: request.seq,
        acknowledged: Revision(request.acknowledged),
        known: Revision(request.known),
        accepts_deltas: request.accepts_deltas,
    }))
}

pub(crate) fn decode_lease_grant(grant: pb::LeaseGrant) -> Result<LeaseMessage, DecodeError> {
    let revision = grant.revision;
    Ok(LeaseMessage::Grant(LeaseGrant {
        to: decode_member(grant.to)?,
        seq: grant.seq,
        span: grant.span,
        revision: Revision(revision),
        state: grant.state.map(decode_state).transpose()?,
        delta: grant
            .delta
            .map(|delta| decode_delta(delta, revision))
            .transpose()?,
    }))
}

pub(crate) fn decode_acknowledge(
    acknowledge: pb::Acknowledge,
) -> Result<LeaseMessage, DecodeError> {
    Ok(LeaseMessage::Acknowledge {
        from: decode_member(acknowledge.from)?,
        revision: Revision(acknowledge.revision),
    })
}

pub(crate) fn encode_session_request(
    request: SessionRequest,
    name: String,
    drain_digest: u64,
) -> pb::SessionRequest {
    pb::SessionRequest {
        from: Some(encode_member(request.from)),
        seq: request.seq,
        revision: request.revision.0,
        name,
        drain_digest,
        supports_scopes: request.supports_scopes,
    }
}

pub(crate) fn decode_session_request(
    request: &pb::SessionRequest,
) -> Result<SessionRequest, DecodeError> {
    Ok(SessionRequest {
        from: decode_member(request.from)?,
        seq: request.seq,
        revision: Revision(request.revision),
        supports_scopes: request.supports_scopes,
    })
}

pub(crate) fn encode_session_grant(grant: SessionGrant) -> pb::SessionGrant {
    pb::SessionGrant {
        to: Some(encode_member(grant.to)),
        seq: grant.seq,
        span: grant.span,
    }
}

pub(crate) fn decode_session_grant(grant: pb::SessionGrant) -> Result<SessionGrant, DecodeError> {
    Ok(SessionGrant {
        to: decode_member(grant.to)?,
        seq: grant.seq,
        span: grant.span,
    })
}
