//! A request and a reply of each method, as front ends and operators of a fleet write them.

use super::messages::{scope_records, scoped, sender, state_with_scopes, subscribe_request, FLEET};
use tansy_agreement::scope;
use tansy_fleet_wire::pb;
use tansy_fleet_wire::pb::enter_request::Entry;

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

/// A request and a reply of each method beside the messages', with something in every field.
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
    tansy_fleet_wire::settings(&state_with_scopes().in_force)
}

fn rostered_member() -> pb::Rostered {
    pb::Rostered {
        member: Some(tansy_fleet_wire::member(subscribe_request().from)),
        name: "front-1".into(),
    }
}

/// A function whose change waits for a front end.
fn waiting_function() -> pb::Waiting {
    pb::Waiting {
        name: "f".into(),
        behind: vec![rostered_member()],
    }
}

fn status() -> Vec<Encoded> {
    let process = tansy_fleet_wire::process(&sender());
    let state = tansy_fleet_wire::state(&state_with_scopes());
    let member = tansy_fleet_wire::member(subscribe_request().from);
    vec![
        encoded("status-request", pb::StatusRequest { fleet: FLEET }),
        encoded(
            "status-reply",
            pb::StatusReply {
                fleet: "fleet".into(),
                name: "front-1".into(),
                process: Some(process.clone()),
                seat: "10.0.0.1:7000".into(),
                keeps_log: true,
                state: Some(state),
                lease_left: 500_000,
                stay_left: -1,
                others: vec![process],
                contested: vec![pb::ConflictingCalls {
                    calls: "class chat".into(),
                }],
                roster: vec![rostered_member()],
                waits_for_leases: true,
                waits_for: vec![member],
                error: "an error".into(),
                seats: vec!["10.0.0.1:7000".into(), "10.0.0.2:7000".into()],
                seating: Some(pb::VoterReplacement {
                    new: "10.0.0.4:7000".into(),
                    instead: "10.0.0.3:7000".into(),
                    votes: true,
                }),
                holds: 9,
                changing: vec![waiting_function()],
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
    let fields = tansy_fleet_wire::scoped(&scoped(scope::ScopePhase::Settled, true)).fields;
    vec![
        encoded("enter-propose", enter(Entry::Propose(settings()))),
        encoded("enter-abandon", enter(Entry::Abandon(8))),
        encoded("enter-dismiss", enter(Entry::Dismiss("front-2".into()))),
        encoded(
            "enter-seat",
            enter(Entry::Seat(pb::Seat {
                new: "front-4".into(),
                instead: "front-3".into(),
            })),
        ),
        encoded(
            "enter-roll",
            enter(Entry::Roll(pb::Roll {
                entry: "{}".into(),
                fields: Some(settings()),
            })),
        ),
        encoded(
            "enter-change",
            enter(Entry::Change(pb::ScopeTransaction {
                id: u64::MAX,
                reason: "because".into(),
                updates: vec![scope_update("f", fields), scope_update("g", None)],
            })),
        ),
        encoded(
            "enter-reply",
            pb::EnterReply {
                version: 8,
                again: true,
                step: 19,
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
                force: 7,
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
                up: 1_000_000,
                ready: true,
                label: "0123abcd".into(),
                tries: true,
                memory: 1 << 30,
                guarded: 2,
                classes: vec![pb::ClassCounters {
                    class: "chat".into(),
                    asked: 10,
                    served: 7,
                    refused: 2,
                    failed: 1,
                    wanted: 10.5,
                    worth: 7.25,
                    took: vec![1000, 2000],
                    calls: vec![4, 3],
                }],
                seat: true,
                letters: Some(pb::Letters {
                    taken: 1,
                    taken_bytes: 200,
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
        encoded("roll-request", pb::RollRequest { fleet: FLEET }),
        encoded(
            "roll-reply",
            pb::RollReply {
                roll: "{}".into(),
                label: "0123abcd".into(),
                path: "/opt/tansy/0123abcd".into(),
                leads: true,
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
                    .map(|record| pb::Named {
                        name: "f".into(),
                        scoped: Some(tansy_fleet_wire::scoped(record)),
                    })
                    .collect(),
                request: Some(pb::TransactionResult {
                    step: 19,
                    joint: 1,
                    force: 2,
                    back: 3,
                }),
                waits: vec![waiting_function()],
            },
        ),
    ]
}
