//! A letter of each kind, and a request and a reply of each method, as front ends and operators of a fleet write them.

use tansy_agree::hold::{Epoch, Reply, Want};
use tansy_agree::lease::{Ask, Grant, Member};
use tansy_agree::list::{Line, Standing, Worker};
use tansy_agree::log::{Phase, Settings, State, Step, Trial, Version};
use tansy_agree::member::Message;
use tansy_agree::rule::Value;
use tansy_agree::scope::{self, Delta, Move, Moves, Scoped};
use tansy_agree::stay;
use tansy_fleet_wire::pb;
use tansy_members::Name;
use tansy_peer::{Body, Root};

/// The fleet's number in the letters.
pub const FLEET: u64 = 77;

/// Who leads, in the letters.
pub const ROOT: Root = Root {
    term: 3,
    id: u64::MAX,
};

fn state() -> State {
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
    let force = Settings {
        version: Version(7),
        fields,
        why: "because".into(),
        id: u64::MAX,
    };
    let next = Settings {
        version: Version(8),
        fields: Default::default(),
        ..force.clone()
    };
    let names = ["f1".to_string(), "f2".to_string()].into();
    let trial = Some(Box::new(Trial {
        fields: force.fields.clone(),
        names,
    }));
    let (step, next) = (Step(19), Some((next, Phase::Joint)));
    State {
        step,
        force,
        next,
        trial,
        versions_at: step,
        scopes_since: None,
        moves: Moves::after(step),
    }
}

/// A letter of each kind.
pub fn bodies() -> Vec<Body> {
    let m = Member {
        id: u64::MAX,
        incarnation: 3,
    };
    let grant = |state| Grant {
        to: m,
        seq: 9,
        span: 600_000,
        step: Step(19),
        state,
        delta: None,
    };
    vec![
        Body::Members(vec![0, 255, 3]),
        Body::Lease(Message::Ask(Ask {
            from: m,
            seq: 1,
            at: Step(2),
            has: Step(3),
            deltas: false,
        })),
        Body::Lease(Message::Grant(grant(None))),
        Body::Lease(Message::Grant(grant(Some(state())))),
        Body::Lease(Message::Step(Step(4))),
        Body::Lease(Message::Reached {
            from: m,
            at: Step(5),
        }),
        Body::AskStay(
            stay::Ask {
                from: m,
                seq: 6,
                at: Step(7),
                scopes: false,
            },
            "front-1".into(),
            99,
        ),
        Body::Stay(stay::Grant {
            to: m,
            seq: 8,
            span: 1,
        }),
        Body::Gone(m),
        Body::Leaving(vec![line(Standing::Draining), line(Standing::Gone)], true),
        Body::Digest(u64::MAX),
        Body::Seats(vec![1, 2, 255]),
        Body::Head,
        Body::Lease(Message::Ask(Ask {
            from: m,
            seq: 1,
            at: Step(2),
            has: Step(3),
            deltas: true,
        })),
        Body::Lease(Message::Grant(Grant {
            delta: Some(delta()),
            ..grant(None)
        })),
        Body::Lease(Message::Grant(Grant {
            delta: Some(delta()),
            ..grant(Some(later()))
        })),
        Body::AskStay(
            stay::Ask {
                from: m,
                seq: 6,
                at: Step(7),
                scopes: true,
            },
            "front-1".into(),
            99,
        ),
        Body::Want(want()),
        Body::Want(Want {
            drops: vec![7, u64::MAX],
            all: Some(vec![]),
            ..want()
        }),
        Body::Want(Want {
            all: Some(vec![1, u64::MAX]),
            ..want()
        }),
        Body::Scopes(reply()),
        Body::Scopes(Reply {
            seq: None,
            scopes: vec![],
            ..reply()
        }),
    ]
}

/// A state since functions are agreed on one by one.
pub fn later() -> State {
    State {
        versions_at: Step(17),
        scopes_since: Some(Step(4)),
        ..state()
    }
}

fn scoped(standing: scope::Standing, fields: bool) -> Scoped {
    let all = || {
        [
            ("class".to_string(), Value::Text("chat".into())),
            ("lanes".to_string(), Value::Int(-1)),
        ]
        .into()
    };
    Scoped {
        revision: Step(3),
        fields: fields.then(all),
        standing,
    }
}

/// One of each way in which a function may stand.
fn standings() -> Vec<Scoped> {
    let next = |fields| scoped(scope::Standing::Settled, fields).fields;
    vec![
        Scoped::default(),
        scoped(scope::Standing::Settled, true),
        scoped(
            scope::Standing::Joint {
                next: next(true),
                since: Step(18),
            },
            false,
        ),
        scoped(
            scope::Standing::Joint {
                next: next(false),
                since: Step(18),
            },
            true,
        ),
        scoped(scope::Standing::Settling { since: Step(18) }, false),
        scoped(scope::Standing::Back { since: Step(19) }, true),
        Scoped {
            fields: Some(Default::default()),
            ..Scoped::default()
        },
    ]
}

fn delta() -> Delta {
    let one = |(n, to): (usize, Scoped)| {
        std::sync::Arc::new(Move {
            step: Step(18 + n as u64 / 4),
            scope: format!("f.{n}"),
            to,
        })
    };
    Delta {
        from: Step(17),
        to: Step(19),
        moves: standings().into_iter().enumerate().map(one).collect(),
    }
}

fn want() -> Want {
    let from = Member {
        id: u64::MAX,
        incarnation: 3,
    };
    let epoch = Epoch {
        term: 7,
        count: u64::MAX,
    };
    let scopes = vec!["a.b".to_string(), "é".to_string()];
    Want {
        from,
        epoch,
        seq: 1,
        at: Step(5),
        scopes,
        drops: vec![],
        all: None,
    }
}

fn reply() -> Reply {
    let mut scopes: Vec<_> = standings()
        .into_iter()
        .map(|s| ("f".to_string(), Some(s)))
        .collect();
    scopes.push(("none".into(), None));
    Reply {
        to: want().from,
        epoch: want().epoch,
        seq: Some(3),
        at: Step(19),
        scopes,
    }
}

fn line(standing: Standing) -> Line {
    let worker = Worker {
        name: "w".into(),
        address: "10.0.0.1:80".into(),
    };
    Line {
        worker,
        incarnation: 7,
        standing,
    }
}

/// Who wrote the letters.
pub fn sender() -> Name {
    Name {
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
pub fn requests() -> Vec<Encoded> {
    let state = || tansy_fleet_wire::state(&later());
    let settings = || tansy_fleet_wire::settings(&later().force);
    let process = tansy_fleet_wire::process(&sender());
    let member = tansy_fleet_wire::member(want().from);
    let rostered = pb::Rostered {
        member: Some(member),
        name: "front-1".into(),
    };
    let waiting = pb::Waiting {
        name: "f".into(),
        behind: vec![rostered.clone()],
    };
    let enter = |entry| pb::EnterRequest {
        fleet: FLEET,
        entry: Some(entry),
    };
    let change = |scope: &str, fields| pb::ScopeChange {
        scope: scope.into(),
        base: 3,
        fields,
    };
    let fields = tansy_fleet_wire::scoped(&scoped(scope::Standing::Settled, true)).fields;
    vec![
        encoded("taken", pb::Taken {}),
        encoded("status-request", pb::StatusRequest { fleet: FLEET }),
        encoded(
            "status-reply",
            pb::StatusReply {
                fleet: "fleet".into(),
                name: "front-1".into(),
                process: Some(process.clone()),
                seat: "10.0.0.1:7000".into(),
                keeps_log: true,
                state: Some(state()),
                lease_left: 500_000,
                stay_left: -1,
                others: vec![process],
                contested: vec![pb::Contested {
                    calls: "class chat".into(),
                }],
                roster: vec![rostered.clone()],
                waits_for_leases: true,
                waits_for: vec![member],
                error: "an error".into(),
                seats: vec!["10.0.0.1:7000".into(), "10.0.0.2:7000".into()],
                seating: Some(pb::Seating {
                    new: "10.0.0.4:7000".into(),
                    instead: "10.0.0.3:7000".into(),
                    votes: true,
                }),
                holds: 9,
                changing: vec![waiting.clone()],
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
            enter(pb::enter_request::Entry::Seat(pb::Seat {
                new: "front-4".into(),
                instead: "front-3".into(),
            })),
        ),
        encoded(
            "enter-roll",
            enter(pb::enter_request::Entry::Roll(pb::Roll {
                entry: "{}".into(),
                fields: Some(settings()),
            })),
        ),
        encoded(
            "enter-change",
            enter(pb::enter_request::Entry::Change(pb::ScopeRequest {
                id: u64::MAX,
                why: "because".into(),
                changes: vec![change("f", fields), change("g", None)],
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
        encoded("history-request", pb::HistoryRequest { fleet: FLEET }),
        encoded(
            "history-reply",
            pb::HistoryReply {
                versions: vec![settings()],
                force: 7,
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
                up: 1_000_000,
                ready: true,
                label: "0123abcd".into(),
                tries: true,
                memory: 1 << 30,
                guarded: 2,
                classes: vec![pb::Counted {
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
                    .map(|s| pb::Named {
                        name: "f".into(),
                        scoped: Some(tansy_fleet_wire::scoped(s)),
                    })
                    .collect(),
                request: Some(pb::Requested {
                    step: 19,
                    joint: 1,
                    force: 2,
                    back: 3,
                }),
                waits: vec![waiting],
            },
        ),
    ]
}
