//! The encoded size of fleet messages, computed without encoding them.
//!
//! The size is that of the protobuf message of `protocol/fleet`, without transport overhead.

use std::net::SocketAddr;
use tansy_agreement::compatibility::{Fields, Value};
use tansy_agreement::endpoints::{EndpointRecord, EndpointState};
use tansy_agreement::lease::{LeaseGrant, LeaseRequest, Member};
use tansy_agreement::lease_tree::LeaseMessage;
use tansy_agreement::log::{FleetState, VersionedSettings};
use tansy_agreement::scope::{ScopeChange, ScopePhase, ScopeRecord, StateDelta};
use tansy_agreement::subscription::{ResyncEpoch, SubscribeReply, SubscribeRequest};
use tansy_fleet_node::{Leader, MessageBody};
use tansy_membership::NodeId;

/// The encoded size of a message in bytes. `tests/message_size.rs` checks it against the encoder.
pub fn message_size(from: &NodeId, leader: Leader, body: &MessageBody) -> usize {
    let sender = fixed(from.id)
        + varint(from.incarnation)
        + varint(from.renewals.into())
        + delimited(address(&from.address));
    // The format version, and the fleet id as a 64-bit hash.
    let header = 2 + 9;
    header + delimited(sender) + varint(leader.term) + fixed(leader.id) + body_size(body)
}

/// The length of an address in text form.
fn address(address: &SocketAddr) -> usize {
    let SocketAddr::V4(v4) = address else {
        return address.to_string().len();
    };
    let decimal_digits = |number: u16| 1 + number.checked_ilog10().unwrap_or(0) as usize;
    let octets = v4.ip().octets();
    let digits: usize = octets
        .iter()
        .map(|octet| decimal_digits((*octet).into()))
        .sum();
    let separators = 3 + 1;
    digits + separators + decimal_digits(v4.port())
}

/// The number of bytes of a varint.
fn varint_len(number: u64) -> usize {
    (64 - (number | 1).leading_zeros() as usize).div_ceil(7)
}

/// A varint field; zero is omitted.
fn varint(number: u64) -> usize {
    if number == 0 {
        0
    } else {
        1 + varint_len(number)
    }
}

/// A fixed64 field; zero is omitted.
fn fixed(number: u64) -> usize {
    if number == 0 {
        0
    } else {
        9
    }
}

/// A length-delimited field of `len` bytes.
fn delimited(len: usize) -> usize {
    1 + varint_len(len as u64) + len
}

/// A length-delimited field that is omitted when empty.
fn text(len: usize) -> usize {
    if len == 0 {
        0
    } else {
        delimited(len)
    }
}

/// A boolean field; `false` is omitted.
fn flag(set: bool) -> usize {
    if set {
        2
    } else {
        0
    }
}

/// A packed repeated fixed64 field of `count` numbers.
fn packed(count: usize) -> usize {
    text(8 * count)
}

fn member_fields(member: Member) -> usize {
    fixed(member.id) + varint(member.incarnation)
}

fn member(member: Member) -> usize {
    delimited(member_fields(member))
}

fn body_size(body: &MessageBody) -> usize {
    // The tag of a field with a number of 16 or more takes two bytes, hence the additional 1 in some arms.
    match body {
        MessageBody::Gossip(bytes) => delimited(bytes.len()),
        MessageBody::Lease(message) => lease_message(message),
        MessageBody::SessionRequest(request, name, digest) => {
            let session = text(name.len()) + fixed(*digest) + flag(request.supports_scopes);
            let lease = member(request.from) + varint(request.seq) + varint(request.revision.0);
            delimited(lease + session)
        }
        MessageBody::SessionGrant(grant) => {
            1 + delimited(member(grant.to) + varint(grant.seq) + varint(grant.span as u64))
        }
        MessageBody::Departed(member) => 1 + delimited(member_fields(*member)),
        MessageBody::Drains(records, reply) => 1 + delimited(drains(records) + flag(*reply)),
        MessageBody::DrainDigest(_) => 2 + 8,
        MessageBody::Consensus(bytes) => 1 + delimited(bytes.len()),
        MessageBody::Subscribe(request) => 1 + delimited(subscribe_request(request)),
        MessageBody::SubscribeReply(reply) => 1 + delimited(subscribe_reply(reply)),
        MessageBody::HeaderOnly => 2 + 1,
    }
}

fn lease_message(message: &LeaseMessage<FleetState, StateDelta>) -> usize {
    match message {
        LeaseMessage::Request(request) => delimited(lease_request(request)),
        LeaseMessage::Grant(grant) => delimited(lease_grant(grant)),
        LeaseMessage::Revision(revision) => 1 + varint_len(revision.0),
        LeaseMessage::Acknowledge { from, revision } => {
            delimited(member(*from) + varint(revision.0))
        }
    }
}

fn lease_request(request: &LeaseRequest) -> usize {
    member(request.from)
        + varint(request.seq)
        + varint(request.acknowledged.0)
        + varint(request.known.0)
        + flag(request.accepts_deltas)
}

fn lease_grant(grant: &LeaseGrant<FleetState, StateDelta>) -> usize {
    let state = grant.state.as_ref().map_or(0, |s| delimited(state(s)));
    let delta = grant.delta.as_ref().map_or(0, |d| delimited(delta(d)));
    member(grant.to)
        + varint(grant.seq)
        + varint(grant.span as u64)
        + varint(grant.revision.0)
        + state
        + delta
}

/// The drain records; those of ready endpoints are omitted.
fn drains(records: &[EndpointRecord]) -> usize {
    let record = |record: &EndpointRecord| {
        delimited(
            text(record.endpoint.name.len())
                + text(record.endpoint.address.len())
                + varint(record.incarnation)
                + flag(record.state == EndpointState::Gone),
        )
    };
    let written = records
        .iter()
        .filter(|record| record.state != EndpointState::Ready);
    written.map(record).sum()
}

fn subscribe_request(request: &SubscribeRequest) -> usize {
    let names: usize = request
        .scopes
        .iter()
        .map(|name| delimited(name.len()))
        .sum();
    let full_list = request.full_list.as_ref();
    member(request.from)
        + epoch(request.epoch)
        + varint(request.seq)
        + varint(request.revision.0)
        + names
        + packed(request.unsubscribed.len())
        + full_list.map_or(0, |all| delimited(packed(all.len())))
}

fn subscribe_reply(reply: &SubscribeReply) -> usize {
    let named = |(name, record): &(String, Option<ScopeRecord>)| {
        let record = record.as_ref().map_or(0, |r| delimited(scope_record(r)));
        delimited(text(name.len()) + record)
    };
    member(reply.to)
        + epoch(reply.epoch)
        + varint(reply.seq.unwrap_or(0))
        + varint(reply.revision.0)
        + reply.scopes.iter().map(named).sum::<usize>()
}

fn epoch(epoch: ResyncEpoch) -> usize {
    delimited(varint(epoch.term) + varint(epoch.count))
}

fn scope_record(record: &ScopeRecord) -> usize {
    let next = record.next().and_then(Option::as_ref);
    let since = record.phase.since().map_or(0, |revision| revision.0);
    let in_force = record.fields.as_ref();
    varint(record.revision.0)
        + in_force.map_or(0, |in_force| delimited(fields(in_force)))
        + flag(record.phase != ScopePhase::Settled)
        + next.map_or(0, |next| delimited(fields(next)))
        + varint(since)
}

fn delta(delta: &StateDelta) -> usize {
    let change = |change: &ScopeChange| {
        let record = delimited(scope_record(&change.record));
        delimited(varint(change.revision.0) + text(change.scope.len()) + record)
    };
    let changes: usize = delta.changes.iter().map(|c| change(c)).sum();
    varint(delta.from.0) + varint(delta.to.0) + changes
}

fn state(state: &FleetState) -> usize {
    let next = state.next.as_ref();
    let canary = state.canary.as_ref().map_or(0, |canary| {
        let members: usize = canary
            .members
            .iter()
            .map(|name| delimited(name.len()))
            .sum();
        delimited(fields(&canary.fields) + members)
    });
    let versions = if state.versions_revision == state.revision {
        0
    } else {
        varint(state.versions_revision.0)
    };
    varint(state.revision.0)
        + delimited(settings(&state.in_force))
        + next.map_or(0, |(next, _)| delimited(settings(next)) + 2)
        + canary
        + versions
        + state.scopes_since.map_or(0, |since| varint(since.0))
}

fn settings(settings: &VersionedSettings) -> usize {
    varint(settings.version.0)
        + fields(&settings.fields)
        + text(settings.reason.len())
        + fixed(settings.id)
}

fn fields(fields: &Fields) -> usize {
    fields
        .iter()
        .map(|(path, field)| delimited(text(path.len()) + delimited(value(field))))
        .sum()
}

fn value(field: &Value) -> usize {
    match field {
        Value::Flag(_) => 2,
        Value::Int(number) | Value::Span(number) | Value::Bytes(number) => {
            1 + varint_len(*number as u64)
        }
        Value::Number(_) => 9,
        Value::Text(characters) => delimited(characters.len()),
        Value::List(all) => delimited(all.iter().map(|v| delimited(value(v))).sum()),
    }
}
