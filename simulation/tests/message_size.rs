//! The message size that the simulation computes equals the length of the encoded message.

use std::collections::BTreeSet;
use std::sync::Arc;
use tansy_agreement::compatibility::{Fields, Value};
use tansy_agreement::endpoints::{Endpoint, EndpointRecord, EndpointState};
use tansy_agreement::lease::{LeaseGrant, LeaseRequest, Member};
use tansy_agreement::lease_tree::LeaseMessage;
use tansy_agreement::log::{Canary, ChangePhase, FleetState, Revision, Version, VersionedSettings};
use tansy_agreement::scope::{ChangeHistory, ScopeChange, ScopePhase, ScopeRecord, StateDelta};
use tansy_agreement::session;
use tansy_agreement::subscription::{ResyncEpoch, SubscribeReply, SubscribeRequest};
use tansy_fleet_node::{Leader, MessageBody};
use tansy_fleet_wire::encode_message;
use tansy_membership::NodeId;
use tansy_simulation::message_size::message_size;

/// A number whose encoded length varies over the full range, zero included.
fn number(rng: &mut fastrand::Rng) -> u64 {
    if rng.u32(0..8) == 0 {
        0
    } else {
        rng.u64(..) >> rng.u32(0..64)
    }
}

fn member(rng: &mut fastrand::Rng) -> Member {
    Member {
        id: number(rng),
        incarnation: number(rng),
    }
}

fn text(rng: &mut fastrand::Rng) -> String {
    let len = number(rng) as usize % 200;
    std::iter::repeat_with(|| rng.alphanumeric())
        .take(len)
        .collect()
}

fn value(rng: &mut fastrand::Rng, depth: usize) -> Value {
    let integer = number(rng) as i64;
    match rng.u32(0..if depth > 0 { 7 } else { 6 }) {
        0 => Value::Flag(rng.bool()),
        1 => Value::Int(-integer),
        2 => Value::Span(integer),
        3 => Value::Bytes(integer),
        4 => Value::Number(rng.f64()),
        5 => Value::Text(text(rng)),
        _ => Value::List(
            (0..rng.usize(0..4))
                .map(|_| value(rng, depth - 1))
                .collect(),
        ),
    }
}

fn fields(rng: &mut fastrand::Rng) -> Fields {
    (0..rng.usize(0..30))
        .map(|_| (text(rng), value(rng, 2)))
        .collect()
}

fn settings(rng: &mut fastrand::Rng) -> VersionedSettings {
    let (version, fields, reason) = (Version(number(rng)), fields(rng), text(rng));
    VersionedSettings {
        version,
        fields,
        reason,
        id: number(rng),
    }
}

fn state(rng: &mut fastrand::Rng) -> FleetState {
    let names = |rng: &mut fastrand::Rng| {
        (0..rng.usize(0..5))
            .map(|_| text(rng))
            .collect::<BTreeSet<_>>()
    };
    let revision = Revision(number(rng));
    FleetState {
        revision,
        versions_revision: if rng.bool() {
            revision
        } else {
            Revision(number(rng))
        },
        scopes_since: rng.bool().then(|| Revision(number(rng))),
        history: ChangeHistory::after(revision),
        in_force: settings(rng),
        next: rng.bool().then(|| (settings(rng), ChangePhase::Joint)),
        canary: rng.bool().then(|| {
            Box::new(Canary {
                fields: fields(rng),
                members: names(rng),
            })
        }),
    }
}

fn scope_record(rng: &mut fastrand::Rng) -> ScopeRecord {
    let (since, next) = (Revision(number(rng)), rng.bool().then(|| fields(rng)));
    let phase = match rng.u32(0..4) {
        0 => ScopePhase::Settled,
        1 => ScopePhase::Joint { next, since },
        2 => ScopePhase::Settling { since },
        _ => ScopePhase::Reverting { since },
    };
    ScopeRecord {
        revision: Revision(number(rng)),
        fields: rng.bool().then(|| fields(rng)),
        phase,
    }
}

fn delta(rng: &mut fastrand::Rng) -> StateDelta {
    let one = |rng: &mut fastrand::Rng| {
        Arc::new(ScopeChange {
            revision: Revision(number(rng)),
            scope: text(rng),
            record: scope_record(rng),
        })
    };
    let (from, to) = (Revision(number(rng)), Revision(number(rng)));
    StateDelta {
        from,
        to,
        changes: (0..rng.usize(0..4)).map(|_| one(rng)).collect(),
    }
}

fn epoch(rng: &mut fastrand::Rng) -> ResyncEpoch {
    ResyncEpoch {
        term: number(rng),
        count: number(rng),
    }
}

fn subscribe_request(rng: &mut fastrand::Rng) -> SubscribeRequest {
    let numbers = |rng: &mut fastrand::Rng| {
        (0..rng.usize(0..20))
            .map(|_| number(rng))
            .collect::<Vec<_>>()
    };
    let (from, epoch, seq, revision) =
        (member(rng), epoch(rng), number(rng), Revision(number(rng)));
    let scopes = (0..rng.usize(0..5)).map(|_| text(rng)).collect();
    SubscribeRequest {
        from,
        epoch,
        seq,
        revision,
        scopes,
        unsubscribed: numbers(rng),
        full_list: rng.bool().then(|| numbers(rng)),
    }
}

fn reply(rng: &mut fastrand::Rng) -> SubscribeReply {
    let (to, epoch, revision) = (member(rng), epoch(rng), Revision(number(rng)));
    let seq = rng.bool().then(|| 1 + (number(rng) >> 1));
    let one = |rng: &mut fastrand::Rng| (text(rng), rng.bool().then(|| scope_record(rng)));
    SubscribeReply {
        to,
        epoch,
        seq,
        revision,
        scopes: (0..rng.usize(0..5)).map(|_| one(rng)).collect(),
    }
}

fn record(rng: &mut fastrand::Rng) -> EndpointRecord {
    let state = rng
        .choice([
            EndpointState::Ready,
            EndpointState::Draining,
            EndpointState::Gone,
        ])
        .expect("the choices are not empty");
    EndpointRecord {
        endpoint: Endpoint {
            name: text(rng),
            address: text(rng),
        },
        incarnation: number(rng),
        state,
    }
}

fn body(rng: &mut fastrand::Rng) -> MessageBody {
    let bytes = |rng: &mut fastrand::Rng| vec![7; number(rng) as usize % 3000];
    let revision = |rng: &mut fastrand::Rng| Revision(number(rng));
    match rng.u32(0..14) {
        0 => MessageBody::Gossip(bytes(rng)),
        1 => {
            let from = member(rng);
            let deltas = rng.bool();
            MessageBody::Lease(LeaseMessage::Request(LeaseRequest {
                from,
                seq: number(rng),
                acknowledged: revision(rng),
                known: revision(rng),
                accepts_deltas: deltas,
            }))
        }
        2 | 3 => {
            let (to, seq, span) = (member(rng), number(rng), rng.i64(-1..600_000));
            let state = rng.bool().then(|| state(rng));
            let delta = rng.bool().then(|| delta(rng));
            MessageBody::Lease(LeaseMessage::Grant(LeaseGrant {
                to,
                seq,
                span,
                revision: revision(rng),
                state,
                delta,
            }))
        }
        4 => MessageBody::Lease(LeaseMessage::Revision(revision(rng))),
        5 => MessageBody::Lease(LeaseMessage::Acknowledge {
            from: member(rng),
            revision: revision(rng),
        }),
        6 => {
            let scopes = rng.bool();
            let request = session::SessionRequest {
                from: member(rng),
                seq: number(rng),
                revision: revision(rng),
                supports_scopes: scopes,
            };
            MessageBody::SessionRequest(request, text(rng), number(rng))
        }
        7 => MessageBody::SessionGrant(session::SessionGrant {
            to: member(rng),
            seq: number(rng),
            span: rng.i64(0..3_600_000_000),
        }),
        8 => MessageBody::Departed(member(rng)),
        9 => MessageBody::Drains(
            (0..rng.usize(0..20)).map(|_| record(rng)).collect(),
            rng.bool(),
        ),
        10 => MessageBody::DrainDigest(number(rng)),
        11 => MessageBody::Subscribe(subscribe_request(rng)),
        12 => MessageBody::SubscribeReply(reply(rng)),
        _ if rng.bool() => MessageBody::Consensus(bytes(rng)),
        _ => MessageBody::HeaderOnly,
    }
}

#[test]
fn message_size_matches_the_encoded_length() {
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..4000 {
        let address = match rng.bool() {
            true => (rng.u32(..).to_be_bytes(), rng.u16(..)).into(),
            false => (rng.u128(..).to_be_bytes(), rng.u16(..)).into(),
        };
        let from = NodeId {
            id: number(&mut rng),
            incarnation: number(&mut rng),
            renewals: rng.u32(0..3),
            address,
        };
        let leader = Leader {
            term: number(&mut rng),
            id: number(&mut rng),
        };
        let body = body(&mut rng);
        let counted = message_size(&from, leader, &body);
        let message_debug = format!("{body:?}");
        assert_eq!(
            encode_message(u64::MAX, &from, leader, body).len(),
            counted,
            "{message_debug}"
        );
    }
}
