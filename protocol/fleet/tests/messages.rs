//! Messages decode to what was encoded; what this program did not encode is rejected with a reason and harms nothing.

use tansy_agreement::compatibility::Value;
use tansy_agreement::endpoints::{Endpoint, EndpointRecord, EndpointState};
use tansy_agreement::lease::{LeaseGrant, LeaseRequest, Member};
use tansy_agreement::lease_tree::LeaseMessage;
use tansy_agreement::log::{Canary, ChangePhase, FleetState, Revision, Version, VersionedSettings};
use tansy_agreement::scope::{self, ChangeHistory, ScopeChange, ScopeRecord, StateDelta};
use tansy_agreement::session;
use tansy_agreement::subscription::{
    ResyncEpoch, SubscribeReply, SubscribeRequest, MAX_SCOPES_PER_REQUEST,
};
use tansy_fleet_node::{Leader, MessageBody};
use tansy_fleet_wire::{decode_message, encode_message, pb, DecodeError, FORMAT_VERSION};
use tansy_membership::NodeId;

const LEADER: Leader = Leader {
    term: 3,
    id: u64::MAX,
};

fn state() -> FleetState {
    let fields = [
        ("classes.a%2eb.window", Value::Span(5)),
        ("front.siblings", Value::Int(-3)),
        ("functions.f.memory", Value::Bytes(1 << 40)),
        ("worker.cold_from", Value::Number(0.25)),
        ("worker.may_order", Value::Flag(true)),
        (
            "worker.kind_memory",
            Value::List(vec![
                Value::Bytes(1),
                Value::List(vec![Value::Text("é".into())]),
            ]),
        ),
    ];
    let fields = fields
        .into_iter()
        .map(|(p, v)| (p.to_string(), v))
        .collect();
    let in_force = VersionedSettings {
        version: Version(7),
        fields,
        reason: "because".into(),
        id: u64::MAX,
    };
    let next = VersionedSettings {
        version: Version(8),
        fields: Default::default(),
        ..in_force.clone()
    };
    let members = ["f1".to_string(), "f2".to_string()].into();
    let canary = Some(Box::new(Canary {
        fields: in_force.fields.clone(),
        members,
    }));
    let revision = Revision(19);
    let next = Some((next, ChangePhase::Joint));
    FleetState {
        revision,
        in_force,
        next,
        canary,
        versions_revision: revision,
        scopes_since: None,
        history: ChangeHistory::after(revision),
    }
}

#[expect(
    clippy::too_many_lines,
    reason = "one table or one history, read from top to bottom"
)]
fn bodies() -> Vec<MessageBody> {
    let m = Member {
        id: u64::MAX,
        incarnation: 3,
    };
    let grant = |state| LeaseGrant {
        to: m,
        seq: 9,
        span: 600_000,
        revision: Revision(19),
        state,
        delta: None,
    };
    vec![
        MessageBody::Gossip(vec![0, 255, 3]),
        MessageBody::Lease(LeaseMessage::Request(LeaseRequest {
            from: m,
            seq: 1,
            acknowledged: Revision(2),
            known: Revision(3),
            accepts_deltas: false,
        })),
        MessageBody::Lease(LeaseMessage::Grant(grant(None))),
        MessageBody::Lease(LeaseMessage::Grant(grant(Some(state())))),
        MessageBody::Lease(LeaseMessage::Revision(Revision(4))),
        MessageBody::Lease(LeaseMessage::Acknowledge {
            from: m,
            revision: Revision(5),
        }),
        MessageBody::SessionRequest(
            session::SessionRequest {
                from: m,
                seq: 6,
                revision: Revision(7),
                supports_scopes: false,
            },
            "front-1".into(),
            99,
        ),
        MessageBody::SessionGrant(session::SessionGrant {
            to: m,
            seq: 8,
            span: 1,
        }),
        MessageBody::Departed(m),
        MessageBody::Drains(
            vec![
                endpoint(EndpointState::Draining),
                endpoint(EndpointState::Gone),
            ],
            true,
        ),
        MessageBody::DrainDigest(u64::MAX),
        MessageBody::Consensus(vec![1, 2, 255]),
        MessageBody::HeaderOnly,
        // Of programs that agree on functions one by one.
        MessageBody::Lease(LeaseMessage::Request(LeaseRequest {
            from: m,
            seq: 1,
            acknowledged: Revision(2),
            known: Revision(3),
            accepts_deltas: true,
        })),
        MessageBody::Lease(LeaseMessage::Grant(LeaseGrant {
            delta: Some(delta()),
            ..grant(None)
        })),
        MessageBody::Lease(LeaseMessage::Grant(LeaseGrant {
            delta: Some(delta()),
            ..grant(Some(state_with_scopes()))
        })),
        MessageBody::SessionRequest(
            session::SessionRequest {
                from: m,
                seq: 6,
                revision: Revision(7),
                supports_scopes: true,
            },
            "front-1".into(),
            99,
        ),
        MessageBody::Subscribe(subscribe_request()),
        MessageBody::Subscribe(SubscribeRequest {
            unsubscribed: vec![7, u64::MAX],
            full_list: Some(vec![]),
            ..subscribe_request()
        }),
        MessageBody::Subscribe(SubscribeRequest {
            full_list: Some(vec![1, u64::MAX]),
            ..subscribe_request()
        }),
        MessageBody::SubscribeReply(subscribe_reply()),
        MessageBody::SubscribeReply(SubscribeReply {
            seq: None,
            scopes: vec![],
            ..subscribe_reply()
        }),
    ]
}

fn state_with_scopes() -> FleetState {
    FleetState {
        versions_revision: Revision(17),
        scopes_since: Some(Revision(4)),
        ..state()
    }
}

fn scoped(phase: scope::ScopePhase, fields: bool) -> ScopeRecord {
    let all = || {
        [
            ("class".to_string(), Value::Text("chat".into())),
            ("lanes".to_string(), Value::Int(-1)),
        ]
        .into()
    };
    ScopeRecord {
        revision: Revision(3),
        fields: fields.then(all),
        phase,
    }
}

/// A record for each phase of a function.
fn scope_records() -> Vec<ScopeRecord> {
    let next = |fields| scoped(scope::ScopePhase::Settled, fields).fields;
    vec![
        ScopeRecord::default(),
        scoped(scope::ScopePhase::Settled, true),
        scoped(
            scope::ScopePhase::Joint {
                next: next(true),
                since: Revision(18),
            },
            false,
        ),
        scoped(
            scope::ScopePhase::Joint {
                next: next(false),
                since: Revision(18),
            },
            true,
        ),
        scoped(
            scope::ScopePhase::Settling {
                since: Revision(18),
            },
            false,
        ),
        scoped(
            scope::ScopePhase::Reverting {
                since: Revision(19),
            },
            true,
        ),
        ScopeRecord {
            fields: Some(Default::default()),
            ..ScopeRecord::default()
        },
    ]
}

fn delta() -> StateDelta {
    let one = |(n, to): (usize, ScopeRecord)| {
        std::sync::Arc::new(ScopeChange {
            revision: Revision(18 + n as u64 / 4),
            scope: format!("f.{n}"),
            record: to,
        })
    };
    StateDelta {
        from: Revision(17),
        to: Revision(19),
        changes: scope_records().into_iter().enumerate().map(one).collect(),
    }
}

fn subscribe_request() -> SubscribeRequest {
    let from = Member {
        id: u64::MAX,
        incarnation: 3,
    };
    let epoch = ResyncEpoch {
        term: 7,
        count: u64::MAX,
    };
    let scopes = vec!["a.b".to_string(), "é".to_string()];
    SubscribeRequest {
        from,
        epoch,
        seq: 1,
        revision: Revision(5),
        scopes,
        unsubscribed: vec![],
        full_list: None,
    }
}

fn subscribe_reply() -> SubscribeReply {
    let mut scopes: Vec<_> = scope_records()
        .into_iter()
        .map(|s| ("f".to_string(), Some(s)))
        .collect();
    scopes.push(("none".into(), None));
    SubscribeReply {
        to: subscribe_request().from,
        epoch: subscribe_request().epoch,
        seq: Some(3),
        revision: Revision(19),
        scopes,
    }
}

fn endpoint(state: EndpointState) -> EndpointRecord {
    let endpoint = Endpoint {
        name: "w".into(),
        address: "10.0.0.1:80".into(),
    };
    EndpointRecord {
        endpoint,
        incarnation: 7,
        state,
    }
}

fn sender() -> NodeId {
    NodeId {
        id: 5,
        incarnation: 6,
        life: 7,
        address: "[::1]:7001".parse().expect("an address"),
    }
}

#[test]
fn every_message_decodes_to_what_was_encoded() {
    for body in bodies() {
        let bytes = encode_message(77, &sender(), LEADER, body.clone());
        assert_eq!(decode_message(77, &bytes), Ok((sender(), LEADER, body)));
    }
}

/// Messages as a program of each format version encoded them. `RECORD=1` records those of this program, which is right only
/// with a new format version.
#[test]
fn messages_recorded_by_an_earlier_program_decode() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join(format!("tests/recorded/form-{FORMAT_VERSION}"));
    for (n, body) in bodies().into_iter().enumerate() {
        let path = folder.join(format!("{n:02}.bin"));
        if std::env::var_os("RECORD").is_some() {
            std::fs::create_dir_all(&folder).expect("a folder");
            std::fs::write(&path, encode_message(77, &sender(), LEADER, body.clone()))
                .expect("a file");
        }
        let bytes = std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        assert_eq!(
            decode_message(77, &bytes),
            Ok((sender(), LEADER, body)),
            "{}",
            path.display()
        );
    }
}

#[test]
fn messages_of_another_fleet_or_format_are_rejected_with_the_reason() {
    use prost::Message as _;
    let bytes = encode_message(77, &sender(), LEADER, bodies().remove(0));
    assert_eq!(decode_message(78, &bytes), Err(DecodeError::OtherFleet));
    let mut envelope = pb::Envelope::decode(bytes.as_slice()).expect("a letter");
    envelope.format_version = FORMAT_VERSION + 1;
    assert_eq!(
        decode_message(77, &envelope.encode_to_vec()),
        Err(DecodeError::UnknownFormat(FORMAT_VERSION + 1))
    );
    envelope.format_version = FORMAT_VERSION;
    let mut nobody = envelope.clone();
    nobody.from = None;
    assert_eq!(
        decode_message(77, &nobody.encode_to_vec()),
        Err(DecodeError::MissingPart("sender"))
    );
    // A body that a later program knows and this one does not.
    envelope.body = None;
    assert_eq!(
        decode_message(77, &envelope.encode_to_vec()),
        Err(DecodeError::MissingPart("body"))
    );
    let mut deep = Value::Int(1);
    (0..40).for_each(|_| deep = Value::List(vec![deep.clone()]));
    let mut s = state();
    s.in_force.fields.insert("deep".into(), deep);
    let m = Member::default();
    let grant = LeaseGrant {
        to: m,
        seq: 1,
        span: 1,
        revision: s.revision,
        state: Some(s),
        delta: None,
    };
    let bytes = encode_message(
        77,
        &sender(),
        LEADER,
        MessageBody::Lease(LeaseMessage::Grant(grant)),
    );
    assert!(matches!(
        decode_message(77, &bytes),
        Err(DecodeError::MissingPart(_) | DecodeError::Malformed(_))
    ));
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one table or one history, read from top to bottom"
)]
fn messages_about_functions_that_are_out_of_bounds_are_rejected_with_the_reason() {
    let m = subscribe_request().from;
    let grant = |delta| {
        let grant = LeaseGrant {
            to: m,
            seq: 9,
            span: 1,
            revision: Revision(19),
            state: None,
            delta: Some(delta),
        };
        MessageBody::Lease(LeaseMessage::Grant(grant))
    };
    let mut backwards = delta();
    backwards.changes.reverse();
    let name = |n: usize| vec!["x".repeat(n)];
    let bad = [
        (
            MessageBody::Subscribe(SubscribeRequest {
                scopes: vec!["f".into(); MAX_SCOPES_PER_REQUEST + 1],
                ..subscribe_request()
            }),
            "number of functions",
        ),
        (
            MessageBody::Subscribe(SubscribeRequest {
                unsubscribed: vec![0; 4097],
                ..subscribe_request()
            }),
            "number of functions",
        ),
        (
            MessageBody::Subscribe(SubscribeRequest {
                full_list: Some(vec![0; 4097]),
                ..subscribe_request()
            }),
            "number of functions",
        ),
        (
            MessageBody::Subscribe(SubscribeRequest {
                seq: 0,
                ..subscribe_request()
            }),
            "number of the letter",
        ),
        (
            MessageBody::Subscribe(SubscribeRequest {
                scopes: name(0),
                ..subscribe_request()
            }),
            "function's name",
        ),
        (
            MessageBody::Subscribe(SubscribeRequest {
                scopes: name(257),
                ..subscribe_request()
            }),
            "function's name",
        ),
        (
            MessageBody::SubscribeReply(SubscribeReply {
                scopes: vec![("f".into(), None); MAX_SCOPES_PER_REQUEST + 1],
                ..subscribe_reply()
            }),
            "number of functions",
        ),
        (
            grant(StateDelta {
                to: Revision(18),
                ..delta()
            }),
            "order of moves",
        ),
        (
            grant(StateDelta {
                from: Revision(18),
                ..delta()
            }),
            "order of moves",
        ),
        (
            grant(StateDelta {
                from: Revision(20),
                changes: vec![],
                ..delta()
            }),
            "order of moves",
        ),
        (grant(backwards), "order of moves"),
        (
            MessageBody::Lease(LeaseMessage::Grant(LeaseGrant {
                to: m,
                seq: 9,
                span: 1,
                revision: Revision(19),
                state: Some(FleetState {
                    versions_revision: Revision(20),
                    ..state_with_scopes()
                }),
                delta: None,
            })),
            "step of the versions",
        ),
    ];
    for (body, part) in bad {
        assert_eq!(
            decode_message(77, &encode_message(77, &sender(), LEADER, body.clone())),
            Err(DecodeError::MissingPart(part)),
            "{body:?}"
        );
    }
}

#[test]
fn arbitrary_bytes_never_panic() {
    let mut rng = fastrand::Rng::with_seed(4);
    let whole: Vec<Vec<u8>> = bodies()
        .into_iter()
        .map(|b| encode_message(77, &sender(), LEADER, b))
        .collect();
    let (mut decoded, mut rejected) = (0, 0);
    for n in 0..40_000 {
        let mut bytes = whole[n % whole.len()].clone();
        for _ in 0..rng.usize(1..4) {
            match rng.u32(0..4) {
                0 => bytes.truncate(rng.usize(0..=bytes.len())),
                1 => bytes.insert(rng.usize(0..=bytes.len()), rng.u8(..)),
                _ if bytes.is_empty() => {}
                _ => {
                    let at = rng.usize(0..bytes.len());
                    bytes[at] = rng.u8(..);
                }
            }
        }
        match decode_message(77, &bytes) {
            Ok(_) => decoded += 1,
            Err(e) => {
                assert!(!e.to_string().is_empty());
                rejected += 1;
            }
        }
    }
    assert!(decoded > 1000 && rejected > 1000, "{decoded} {rejected}");
}
