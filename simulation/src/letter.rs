//! What a letter takes on a link, without writing it: the bytes of `protocol/fleet`'s message, not what carries it.

use tansy_agreement::compatibility::{Fields, Value};
use tansy_agreement::endpoints::EndpointState;
use tansy_agreement::lease::Member;
use tansy_agreement::lease_tree::LeaseMessage;
use tansy_agreement::log::{FleetState, VersionedSettings};
use tansy_agreement::scope::{ScopePhase as Stands, ScopeRecord, StateDelta};
use tansy_agreement::subscription::ResyncEpoch;
use tansy_fleet_node::{Leader, MessageBody};
use tansy_membership::NodeId;

/// Bytes of a letter. `tests/letter.rs` holds it against the letters themselves.
pub fn size(from: &NodeId, root: Leader, body: &MessageBody) -> usize {
    let address = match from.address {
        std::net::SocketAddr::V4(at) => {
            let digits = |n: u16| 1 + n.checked_ilog10().unwrap_or(0) as usize;
            3 + at
                .ip()
                .octets()
                .iter()
                .map(|o| digits((*o).into()))
                .sum::<usize>()
                + 1
                + digits(at.port())
        }
        at => at.to_string().len(),
    };
    let process =
        fixed(from.id) + number(from.incarnation) + number(from.life.into()) + part(address);
    // The form and the fleet's number, which is a hash.
    2 + 9 + part(process) + number(root.term) + fixed(root.id) + body_size(body)
}

/// The digits of seven bits that a number takes.
fn digits(n: u64) -> usize {
    (64 - (n | 1).leading_zeros() as usize).div_ceil(7)
}

/// A field of a number; nothing stands for nought.
fn number(n: u64) -> usize {
    if n == 0 {
        0
    } else {
        1 + digits(n)
    }
}

fn fixed(n: u64) -> usize {
    if n == 0 {
        0
    } else {
        9
    }
}

/// A field that has a length.
fn part(len: usize) -> usize {
    1 + digits(len as u64) + len
}

fn text(len: usize) -> usize {
    if len == 0 {
        0
    } else {
        part(len)
    }
}

fn member(m: Member) -> usize {
    part(fixed(m.id) + number(m.incarnation))
}

fn body_size(body: &MessageBody) -> usize {
    // From the 16th field on its number takes two bytes.
    match body {
        MessageBody::Gossip(bytes) => part(bytes.len()),
        MessageBody::Lease(LeaseMessage::Request(a)) => part(
            member(a.from)
                + number(a.seq)
                + number(a.acknowledged.0)
                + number(a.known.0)
                + flag(a.accepts_deltas),
        ),
        MessageBody::Lease(LeaseMessage::Grant(g)) => {
            let state = g.state.as_ref().map_or(0, |s| part(state(s)));
            let delta = g.delta.as_ref().map_or(0, |d| part(delta(d)));
            part(
                member(g.to)
                    + number(g.seq)
                    + number(g.span as u64)
                    + number(g.revision.0)
                    + state
                    + delta,
            )
        }
        MessageBody::Lease(LeaseMessage::Revision(s)) => 1 + digits(s.0),
        MessageBody::Lease(LeaseMessage::Acknowledge { from, revision: at }) => {
            part(member(*from) + number(at.0))
        }
        MessageBody::SessionRequest(a, name, digest) => {
            let told = text(name.len()) + fixed(*digest) + flag(a.supports_scopes);
            part(member(a.from) + number(a.seq) + number(a.revision.0) + told)
        }
        MessageBody::SessionGrant(g) => {
            1 + part(member(g.to) + number(g.seq) + number(g.span as u64))
        }
        MessageBody::Departed(m) => 1 + part(fixed(m.id) + number(m.incarnation)),
        MessageBody::Drains(lines, back) => {
            let leaves = lines.iter().filter(|l| l.state != EndpointState::Ready);
            let line = |l: &tansy_agreement::endpoints::EndpointRecord| {
                let gone = flag(l.state == EndpointState::Gone);
                part(
                    text(l.endpoint.name.len())
                        + text(l.endpoint.address.len())
                        + number(l.incarnation)
                        + gone,
                )
            };
            1 + part(leaves.map(line).sum::<usize>() + flag(*back))
        }
        MessageBody::DrainDigest(_) => 2 + 8,
        MessageBody::Consensus(bytes) => 1 + part(bytes.len()),
        MessageBody::Subscribe(w) => {
            let names: usize = w.scopes.iter().map(|s| part(s.len())).sum();
            let numbers = packed(w.unsubscribed.len())
                + w.full_list.as_ref().map_or(0, |a| part(packed(a.len())));
            1 + part(
                member(w.from)
                    + epoch(w.epoch)
                    + number(w.seq)
                    + number(w.revision.0)
                    + names
                    + numbers,
            )
        }
        MessageBody::SubscribeReply(r) => {
            let named = |(name, s): &(String, Option<ScopeRecord>)| {
                part(text(name.len()) + s.as_ref().map_or(0, |s| part(scoped(s))))
            };
            let names: usize = r.scopes.iter().map(named).sum();
            1 + part(
                member(r.to)
                    + epoch(r.epoch)
                    + number(r.seq.unwrap_or(0))
                    + number(r.revision.0)
                    + names,
            )
        }
        MessageBody::HeaderOnly => 2 + 1,
    }
}

fn flag(set: bool) -> usize {
    if set {
        2
    } else {
        0
    }
}

/// So many numbers of a fixed length, written together.
fn packed(n: usize) -> usize {
    text(8 * n)
}

fn epoch(e: ResyncEpoch) -> usize {
    part(number(e.term) + number(e.count))
}

fn scoped(s: &ScopeRecord) -> usize {
    let next = s
        .next()
        .and_then(Option::as_ref)
        .map_or(0, |f| part(fields(f)));
    let (moves, since) = (
        flag(s.phase != Stands::Settled),
        s.phase.since().map_or(0, |s| s.0),
    );
    number(s.revision.0)
        + s.fields.as_ref().map_or(0, |f| part(fields(f)))
        + moves
        + next
        + number(since)
}

fn delta(d: &StateDelta) -> usize {
    let one = |m: &tansy_agreement::scope::ScopeChange| {
        part(number(m.revision.0) + text(m.scope.len()) + part(scoped(&m.record)))
    };
    number(d.from.0) + number(d.to.0) + d.changes.iter().map(|m| one(m)).sum::<usize>()
}

fn state(s: &FleetState) -> usize {
    let next = s.next.as_ref().map_or(0, |(n, _)| part(settings(n)) + 2);
    let trial = s.canary.as_ref().map_or(0, |t| {
        part(fields(&t.fields) + t.members.iter().map(|n| part(n.len())).sum::<usize>())
    });
    let versions = if s.versions_revision == s.revision {
        0
    } else {
        number(s.versions_revision.0)
    };
    let scopes = s.scopes_since.map_or(0, |s| number(s.0));
    number(s.revision.0) + part(settings(&s.in_force)) + next + trial + versions + scopes
}

fn settings(s: &VersionedSettings) -> usize {
    number(s.version.0) + fields(&s.fields) + text(s.reason.len()) + fixed(s.id)
}

fn fields(all: &Fields) -> usize {
    all.iter()
        .map(|(path, v)| part(text(path.len()) + part(value(v))))
        .sum()
}

fn value(v: &Value) -> usize {
    match v {
        Value::Flag(_) => 2,
        Value::Int(n) | Value::Span(n) | Value::Bytes(n) => 1 + digits(*n as u64),
        Value::Number(_) => 9,
        Value::Text(t) => part(t.len()),
        Value::List(all) => part(all.iter().map(|v| part(value(v))).sum()),
    }
}
