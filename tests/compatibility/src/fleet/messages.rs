//! Messages of every kind between front ends of a fleet.
//!
//! The tests of `protocol/fleet` include this file too, so that both use the same messages.

use tansy_agreement::compatibility::Value;
use tansy_agreement::endpoints::{Endpoint, EndpointRecord, EndpointState};
use tansy_agreement::lease::{LeaseGrant, LeaseRequest, Member};
use tansy_agreement::lease_tree::LeaseMessage;
use tansy_agreement::log::{Canary, ChangePhase, FleetState, Revision, Version, VersionedSettings};
use tansy_agreement::scope::{self, ChangeHistory, ScopeChange, ScopeRecord, StateDelta};
use tansy_agreement::session;
use tansy_agreement::subscription::{ResyncEpoch, SubscribeReply, SubscribeRequest};
use tansy_fleet_node::{Leader, MessageBody};
use tansy_membership::NodeId;

/// The fleet id in the messages.
pub const FLEET: u64 = 77;

/// The leader in the messages.
pub const LEADER: Leader = Leader {
    term: 3,
    id: u64::MAX,
};

/// A state with a value of each type, a pending change and a canary.
pub fn state() -> FleetState {
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
        .map(|(path, value)| (path.to_string(), value))
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

/// The bodies of messages of every kind.
pub fn bodies() -> Vec<MessageBody> {
    let mut all = vec![MessageBody::Gossip(vec![0, 255, 3])];
    all.extend(lease_messages());
    all.push(session_request(false));
    all.extend(member_messages());
    all.extend(scope_messages());
    all
}

fn member() -> Member {
    Member {
        id: u64::MAX,
        incarnation: 3,
    }
}

fn lease_request(accepts_deltas: bool) -> MessageBody {
    MessageBody::Lease(LeaseMessage::Request(LeaseRequest {
        from: member(),
        seq: 1,
        acknowledged: Revision(2),
        known: Revision(3),
        accepts_deltas,
    }))
}

fn lease_grant(state: Option<FleetState>, delta: Option<StateDelta>) -> MessageBody {
    MessageBody::Lease(LeaseMessage::Grant(LeaseGrant {
        to: member(),
        seq: 9,
        span: 600_000,
        revision: Revision(19),
        state,
        delta,
    }))
}

fn lease_messages() -> Vec<MessageBody> {
    vec![
        lease_request(false),
        lease_grant(None, None),
        lease_grant(Some(state()), None),
        MessageBody::Lease(LeaseMessage::Revision(Revision(4))),
        MessageBody::Lease(LeaseMessage::Acknowledge {
            from: member(),
            revision: Revision(5),
        }),
    ]
}

fn session_request(supports_scopes: bool) -> MessageBody {
    let request = session::SessionRequest {
        from: member(),
        seq: 6,
        revision: Revision(7),
        supports_scopes,
    };
    MessageBody::SessionRequest(request, "front-1".into(), 99)
}

fn member_messages() -> Vec<MessageBody> {
    vec![
        MessageBody::SessionGrant(session::SessionGrant {
            to: member(),
            seq: 8,
            span: 1,
        }),
        MessageBody::Departed(member()),
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
    ]
}

/// Messages of versions that agree on functions one by one.
fn scope_messages() -> Vec<MessageBody> {
    vec![
        lease_request(true),
        lease_grant(None, Some(delta())),
        lease_grant(Some(state_with_scopes()), Some(delta())),
        session_request(true),
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

/// A state of versions that agree on functions one by one.
pub fn state_with_scopes() -> FleetState {
    FleetState {
        versions_revision: Revision(17),
        scopes_since: Some(Revision(4)),
        ..state()
    }
}

/// The record of a function in this phase, with settings if `fields` is true.
pub fn scoped(phase: scope::ScopePhase, fields: bool) -> ScopeRecord {
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

/// Records of functions in every phase.
pub fn scope_records() -> Vec<ScopeRecord> {
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

/// A delta with a function in every phase.
pub fn delta() -> StateDelta {
    let change = |(index, record): (usize, ScopeRecord)| {
        std::sync::Arc::new(ScopeChange {
            revision: Revision(18 + index as u64 / 4),
            scope: format!("f.{index}"),
            record,
        })
    };
    StateDelta {
        from: Revision(17),
        to: Revision(19),
        changes: scope_records()
            .into_iter()
            .enumerate()
            .map(change)
            .collect(),
    }
}

/// A subscription to two functions.
pub fn subscribe_request() -> SubscribeRequest {
    let epoch = ResyncEpoch {
        term: 7,
        count: u64::MAX,
    };
    let scopes = vec!["a.b".to_string(), "é".to_string()];
    SubscribeRequest {
        from: member(),
        epoch,
        seq: 1,
        revision: Revision(5),
        scopes,
        unsubscribed: vec![],
        full_list: None,
    }
}

/// A reply with a record of every phase, and a function that does not exist.
pub fn subscribe_reply() -> SubscribeReply {
    let mut scopes: Vec<_> = scope_records()
        .into_iter()
        .map(|record| ("f".to_string(), Some(record)))
        .collect();
    scopes.push(("none".into(), None));
    SubscribeReply {
        to: member(),
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

/// The sender of the messages.
pub fn sender() -> NodeId {
    NodeId {
        id: 5,
        incarnation: 6,
        renewals: 7,
        address: "[::1]:7001".parse().expect("an address"),
    }
}
