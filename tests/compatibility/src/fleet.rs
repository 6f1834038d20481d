//! A letter of each kind, and a request and a reply of each method, as front ends and operators of a fleet write them.

use tansy_agreement::compatibility::Value;
use tansy_agreement::endpoints::{Endpoint, EndpointRecord, EndpointState};
use tansy_agreement::lease::{LeaseGrant, LeaseRequest, Member};
use tansy_agreement::lease_tree::LeaseMessage;
use tansy_agreement::log::{Canary, ChangePhase, FleetState, Revision, Version, VersionedSettings};
use tansy_agreement::scope::{self, ChangeHistory, ScopeChange, ScopeRecord, StateDelta};
use tansy_agreement::session;
use tansy_agreement::subscription::{ResyncEpoch, SubscribeReply, SubscribeRequest};
use tansy_fleet_node::{Leader, MessageBody};
use tansy_fleet_wire::pb;
use tansy_membership::NodeId;

/// The fleet's number in the letters.
pub const FLEET: u64 = 77;

/// Who leads, in the letters.
pub const ROOT: Leader = Leader {
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
    let force = VersionedSettings {
        version: Version(7),
        fields,
        reason: "because".into(),
        id: u64::MAX,
    };
    let next = VersionedSettings {
        version: Version(8),
        fields: Default::default(),
        ..force.clone()
    };
    let names = ["f1".to_string(), "f2".to_string()].into();
    let trial = Some(Box::new(Canary {
        fields: force.fields.clone(),
        members: names,
    }));
    let (step, next) = (Revision(19), Some((next, ChangePhase::Joint)));
    FleetState {
        revision: step,
        in_force: force,
        next,
        canary: trial,
        versions_revision: step,
        scopes_since: None,
        history: ChangeHistory::after(step),
    }
}

/// A letter of each kind.
#[expect(
    clippy::too_many_lines,
    reason = "one table or one history, read from top to bottom"
)]
pub fn bodies() -> Vec<MessageBody> {
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
            vec![line(EndpointState::Draining), line(EndpointState::Gone)],
            true,
        ),
        MessageBody::DrainDigest(u64::MAX),
        MessageBody::Consensus(vec![1, 2, 255]),
        MessageBody::HeaderOnly,
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
            ..grant(Some(later()))
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
        MessageBody::Subscribe(want()),
        MessageBody::Subscribe(SubscribeRequest {
            unsubscribed: vec![7, u64::MAX],
            full_list: Some(vec![]),
            ..want()
        }),
        MessageBody::Subscribe(SubscribeRequest {
            full_list: Some(vec![1, u64::MAX]),
            ..want()
        }),
        MessageBody::SubscribeReply(reply()),
        MessageBody::SubscribeReply(SubscribeReply {
            seq: None,
            scopes: vec![],
            ..reply()
        }),
    ]
}

/// A state since functions are agreed on one by one.
pub fn later() -> FleetState {
    FleetState {
        versions_revision: Revision(17),
        scopes_since: Some(Revision(4)),
        ..state()
    }
}

fn scoped(standing: scope::ScopePhase, fields: bool) -> ScopeRecord {
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
        phase: standing,
    }
}

/// One of each way in which a function may stand.
fn standings() -> Vec<ScopeRecord> {
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
        changes: standings().into_iter().enumerate().map(one).collect(),
    }
}

fn want() -> SubscribeRequest {
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

fn reply() -> SubscribeReply {
    let mut scopes: Vec<_> = standings()
        .into_iter()
        .map(|s| ("f".to_string(), Some(s)))
        .collect();
    scopes.push(("none".into(), None));
    SubscribeReply {
        to: want().from,
        epoch: want().epoch,
        seq: Some(3),
        revision: Revision(19),
        scopes,
    }
}

fn line(standing: EndpointState) -> EndpointRecord {
    let worker = Endpoint {
        name: "w".into(),
        address: "10.0.0.1:80".into(),
    };
    EndpointRecord {
        endpoint: worker,
        incarnation: 7,
        state: standing,
    }
}

/// Who wrote the letters.
pub fn sender() -> NodeId {
    NodeId {
        id: 5,
        incarnation: 6,
        life: 7,
        address: "[::1]:7001".parse().expect("an address"),
    }
}

/// Whether the present program reads bytes as one message.
pub type Reads = Box<dyn Fn(&[u8]) -> bool>;

/// A request or reply, with its bytes and how they are read back.
pub struct Encoded {
    /// Its name in the fixture.
    pub name: &'static str,
    /// As the present program writes it.
    pub bytes: Vec<u8>,
    /// Whether bytes are read as this message.
    pub is: Reads,
}

fn encoded<M: prost::Message + Default + PartialEq + 'static>(
    name: &'static str,
    message: M,
) -> Encoded {
    Encoded {
        name,
        bytes: message.encode_to_vec(),
        is: Box::new(move |bytes| M::decode(bytes).is_ok_and(|read| read == message)),
    }
}

/// A request and a reply of each method beside the letters', with something in every field.
#[expect(
    clippy::too_many_lines,
    reason = "one table or one history, read from top to bottom"
)]
pub fn requests() -> Vec<Encoded> {
    let state = || tansy_fleet_wire::state(&later());
    let settings = || tansy_fleet_wire::settings(&later().in_force);
    let process = tansy_fleet_wire::process(&sender());
    let member = tansy_fleet_wire::member(want().from);
    let rostered = pb::RosterEntry {
        member: Some(member),
        name: "front-1".into(),
    };
    let waiting = pb::BlockedFunction {
        name: "f".into(),
        subscribers_behind: vec![rostered.clone()],
    };
    let enter = |entry| pb::EnterRequest {
        fleet: FLEET,
        entry: Some(entry),
    };
    let change = |scope: &str, fields| pb::ScopeUpdate {
        scope: scope.into(),
        base: 3,
        fields,
    };
    let fields = tansy_fleet_wire::scoped(&scoped(scope::ScopePhase::Settled, true)).fields;
    vec![
        encoded("taken", pb::Accepted {}),
        encoded("status-request", pb::StatusRequest { fleet: FLEET }),
        encoded(
            "status-reply",
            pb::StatusReply {
                fleet: "fleet".into(),
                name: "front-1".into(),
                process: Some(process.clone()),
                leader_address: "10.0.0.1:7000".into(),
                is_leader: true,
                state: Some(state()),
                lease_remaining: 500_000,
                session_remaining: -1,
                other_members: vec![process],
                conflicting: vec![pb::ConflictingCalls {
                    calls: "class chat".into(),
                }],
                roster: vec![rostered.clone()],
                blocked_by_leases: true,
                blocking_members: vec![member],
                error: "an error".into(),
                voter_addresses: vec!["10.0.0.1:7000".into(), "10.0.0.2:7000".into()],
                voter_replacement: Some(pb::VoterReplacement {
                    new_voter: "10.0.0.4:7000".into(),
                    replaced: "10.0.0.3:7000".into(),
                    is_voting: true,
                }),
                subscriptions: 9,
                blocked_functions: vec![waiting.clone()],
            },
        ),
        encoded(
            "enter-propose",
            enter(pb::enter_request::Entry::Propose(settings())),
        ),
        encoded("enter-abandon", enter(pb::enter_request::Entry::Abandon(8))),
        encoded(
            "enter-dismiss",
            enter(pb::enter_request::Entry::Dismiss("front-2".into())),
        ),
        encoded(
            "enter-seat",
            enter(pb::enter_request::Entry::ReplaceVoter(pb::ReplaceVoter {
                new_voter: "front-4".into(),
                replaced: "front-3".into(),
            })),
        ),
        encoded(
            "enter-roll",
            enter(pb::enter_request::Entry::Rollout(pb::RolloutLogEntry {
                entry: "{}".into(),
                fields: Some(settings()),
            })),
        ),
        encoded(
            "enter-change",
            enter(pb::enter_request::Entry::ScopeTransaction(
                pb::ScopeTransaction {
                    id: u64::MAX,
                    reason: "because".into(),
                    updates: vec![change("f", fields), change("g", None)],
                },
            )),
        ),
        encoded(
            "enter-reply",
            pb::EnterReply {
                version: 8,
                is_duplicate: true,
                revision: 19,
            },
        ),
        encoded("history-request", pb::HistoryRequest { fleet: FLEET }),
        encoded(
            "history-reply",
            pb::HistoryReply {
                versions: vec![settings()],
                in_force: 7,
                next: 8,
            },
        ),
        encoded("counts-request", pb::CountsRequest { fleet: FLEET }),
        encoded(
            "counts-reply",
            pb::CountsReply {
                name: "front-1".into(),
                zone: "a".into(),
                incarnation: 3,
                uptime: 1_000_000,
                ready: true,
                label: "0123abcd".into(),
                acts_on_canary: true,
                memory_bytes: 1 << 30,
                guard_interventions: 2,
                classes: vec![pb::ClassCounters {
                    class: "chat".into(),
                    requests: 10,
                    served: 7,
                    rejected: 2,
                    failed: 1,
                    value_requested: 10.5,
                    value_served: 7.25,
                    latencies: vec![1000, 2000],
                    latency_counts: vec![4, 3],
                }],
                is_voter: true,
                traffic: Some(pb::TrafficCounters {
                    received: 1,
                    received_bytes: 200,
                    sent: 3,
                    sent_bytes: 400,
                    dropped: 5,
                }),
            },
        ),
        encoded("roll-request", pb::RolloutRequest { fleet: FLEET }),
        encoded(
            "roll-reply",
            pb::RolloutReply {
                rollout: "{}".into(),
                label: "0123abcd".into(),
                path: "/opt/tansy/0123abcd".into(),
                is_leader: true,
            },
        ),
        encoded(
            "functions-request",
            pb::FunctionsRequest {
                fleet: FLEET,
                names: vec!["f".into(), "g".into()],
                id: 34,
            },
        ),
        encoded(
            "functions-reply",
            pb::FunctionsReply {
                functions: standings()
                    .iter()
                    .map(|s| pb::NamedFunction {
                        name: "f".into(),
                        record: Some(tansy_fleet_wire::scoped(s)),
                    })
                    .collect(),
                transaction_result: Some(pb::TransactionResult {
                    revision: 19,
                    joint: 1,
                    in_force: 2,
                    reverted: 3,
                }),
                blocked_functions: vec![waiting],
            },
        ),
    ]
}
