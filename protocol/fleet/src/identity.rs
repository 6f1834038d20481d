//! Encodes and decodes the identities of processes and members.

use crate::{pb, DecodeError};
use std::net::SocketAddr;
use tansy_agreement::lease::Member;
use tansy_membership::NodeId;

/// Encodes the identity of a process.
pub fn encode_process(node: &NodeId) -> pb::Process {
    pb::Process {
        id: node.id,
        incarnation: node.incarnation,
        life: node.renewals,
        address: node.address.to_string(),
    }
}

pub(crate) fn decode_process(process: pb::Process) -> Result<NodeId, DecodeError> {
    let address: SocketAddr = process
        .address
        .parse()
        .map_err(|_| DecodeError::MissingPart("sender's address"))?;
    Ok(NodeId {
        id: process.id,
        incarnation: process.incarnation,
        renewals: process.life,
        address,
    })
}

/// Encodes the identity of a member.
pub fn encode_member(member: Member) -> pb::Member {
    pb::Member {
        id: member.id,
        incarnation: member.incarnation,
    }
}

pub(crate) fn decode_member(member: Option<pb::Member>) -> Result<Member, DecodeError> {
    let member = member.ok_or(DecodeError::MissingPart("member"))?;
    Ok(Member {
        id: member.id,
        incarnation: member.incarnation,
    })
}
