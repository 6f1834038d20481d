//! A request and a reply of each method that front ends and operators of a fleet call.

use super::messages::{scope_records, scoped, sender, state_with_scopes, subscribe_request, FLEET};
use tansy_agreement::scope;
use tansy_fleet_wire::pb;
use tansy_fleet_wire::pb::enter_request::Entry;

/// Whether bytes decode to an expected message.
pub type DecodeCheck = Box<dyn Fn(&[u8]) -> bool>;

/// An encoded request or reply, with a check of its decoding.
pub struct Encoded {
    /// The name of the message in the fixture.
    pub name: &'static str,
    /// The bytes that the present version writes.
    pub bytes: Vec<u8>,
    /// Whether bytes decode to this message.
    pub decodes: DecodeCheck,
}

fn encoded<M: prost::Message + Default + PartialEq + 'static>(
    name: &'static str,
    message: M,
) -> Encoded {
    Encoded {
        name,
        bytes: message.encode_to_vec(),
        decodes: Box::new(move |bytes| M::decode(bytes).is_ok_and(|read| read == message)),
    }
}

/// A request and a reply of each method except the request of `Tell`, with a value in every field.
pub fn requests() -> Vec<Encoded> {
    let mut all = vec![encoded("taken", pb::Accepted {})];
    all.extend(status());
    all.extend(entries());
    all.extend(history());
    all.extend(counters());
    all.extend(rollout());
    all.extend(functions());
    all
}

fn settings() -> pb::Settings {
    tansy_fleet_wire::encode_settings(&state_with_scopes().in_force)
}

fn rostered_member() -> pb::RosterEntry {
    pb::RosterEntry {
        member: Some(tansy_fleet_wire::encode_member(subscribe_request().from)),
        name: "front-1".into(),
    }
}

/// A function whose change waits for a front end.
fn blocked_function() -> pb::BlockedFunction {
    pb::BlockedFunction {
        name: "f".into(),
        subscribers_behind: vec![rostered_member()],
    }
}

fn status() -> Vec<Encoded> {
    let process = tansy_fleet_wire::encode_process(&sender());
    let state = tansy_fleet_wire::encode_state(&state_with_scopes());
    let member = tansy_fleet_wire::encode_member(subscribe_request().from);
    vec![
        encoded("status-request", pb::StatusRequest { fleet: FLEET }),
        encoded(
            "status-reply",
            pb::StatusReply {
                fleet: "fleet".into(),
                name: "front-1".into(),
                process: Some(process.clone()),
                leader_address: "10.0.0.1:7000".into(),
                is_leader: true,
                state: Some(state),
                lease_remaining: 500_000,
                session_remaining: -1,
                other_members: vec![process],
                conflicting: vec![pb::ConflictingCalls {
                    calls: "class chat".into(),
                }],
                roster: vec![rostered_member()],
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
                blocked_functions: vec![blocked_function()],
            },
        ),
    ]
}

fn enter(entry: Entry) -> pb::EnterRequest {
    pb::EnterRequest {
        fleet: FLEET,
        entry: Some(entry),
    }
}

fn scope_update(scope: &str, fields: Option<pb::Fields>) -> pb::ScopeUpdate {
    pb::ScopeUpdate {
        scope: scope.into(),
        base: 3,
        fields,
    }
}

fn entries() -> Vec<Encoded> {
    let fields =
        tansy_fleet_wire::encode_scope_record(&scoped(scope::ScopePhase::Settled, true)).fields;
    vec![
        encoded("enter-propose", enter(Entry::Propose(settings()))),
        encoded("enter-abandon", enter(Entry::Abandon(8))),
        encoded("enter-dismiss", enter(Entry::Dismiss("front-2".into()))),
        encoded(
            "enter-seat",
            enter(Entry::ReplaceVoter(pb::ReplaceVoter {
                new_voter: "front-4".into(),
                replaced: "front-3".into(),
            })),
        ),
        encoded(
            "enter-roll",
            enter(Entry::Rollout(pb::RolloutLogEntry {
                entry: "{}".into(),
                fields: Some(settings()),
            })),
        ),
        encoded(
            "enter-change",
            enter(Entry::ScopeTransaction(pb::ScopeTransaction {
                id: u64::MAX,
                reason: "because".into(),
                updates: vec![scope_update("f", fields), scope_update("g", None)],
            })),
        ),
        encoded(
            "enter-reply",
            pb::EnterReply {
                version: 8,
                is_duplicate: true,
                revision: 19,
            },
        ),
    ]
}

fn history() -> Vec<Encoded> {
    vec![
        encoded("history-request", pb::HistoryRequest { fleet: FLEET }),
        encoded(
            "history-reply",
            pb::HistoryReply {
                versions: vec![settings()],
                in_force: 7,
                next: 8,
            },
        ),
    ]
}

fn counters() -> Vec<Encoded> {
    vec![
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
    ]
}

fn rollout() -> Vec<Encoded> {
    vec![
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
    ]
}

fn functions() -> Vec<Encoded> {
    vec![
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
                functions: scope_records()
                    .iter()
                    .map(|record| pb::NamedFunction {
                        name: "f".into(),
                        record: Some(tansy_fleet_wire::encode_scope_record(record)),
                    })
                    .collect(),
                transaction_result: Some(pb::TransactionResult {
                    revision: 19,
                    joint: 1,
                    in_force: 2,
                    reverted: 3,
                }),
                blocked_functions: vec![blocked_function()],
            },
        ),
    ]
}
