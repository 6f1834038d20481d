//! One entry of each kind that a fleet agrees on, in an order in which each is taken.

use std::net::SocketAddr;
use tansy_agree::lease::Member;
use tansy_agree::log::{Entry, Step, Version};
use tansy_agree::rule::{Fields, Value};
use tansy_agree::scope::{ScopeChange, ScopeRequest};
use tansy_rollout::{Entry as Rollout, Fallen, Place, Plan, Seen, What};
use tansy_verdict::{Measured, Verdict};

/// Where a voter is reached.
pub fn address(voter: u64) -> SocketAddr {
    ([10, 0, 0, voter as u8], 7000).into()
}

/// The fields that the fleet begins with: a value of each sort.
pub fn first_fields() -> Fields {
    let fields = [
        ("classes.a%2eb.window", Value::Span(5_000_000)),
        ("front.siblings", Value::Int(-3)),
        ("functions.f.memory", Value::Bytes(1 << 40)),
        ("worker.cold_from", Value::Number(0.25)),
        ("worker.may_order", Value::Flag(true)),
        (
            "worker.kinds",
            Value::List(vec![
                Value::Text("é".into()),
                Value::List(vec![Value::Bytes(1)]),
            ]),
        ),
    ];
    fields.map(|(path, v)| (path.to_string(), v)).into()
}

/// The fields of a version that another number of attempts makes.
pub fn with_attempts(attempts: i64) -> Fields {
    let mut fields = first_fields();
    fields.insert("worker.max_attempts".into(), Value::Int(attempts));
    fields
}

/// Settings of one function.
pub fn function(class: &str, lanes: i64) -> Fields {
    [
        ("class".to_string(), Value::Text(class.into())),
        ("lanes".to_string(), Value::Int(lanes)),
    ]
    .into()
}

fn propose(id: u64, base: u64, attempts: i64, why: &str) -> Entry {
    Entry::Propose {
        id,
        base: Version(base),
        fields: with_attempts(attempts),
        why: why.into(),
    }
}

fn advance(from: u64) -> Entry {
    Entry::Advance { from: Step(from) }
}

fn abandon(version: u64) -> Entry {
    Entry::Abandon {
        version: Version(version),
    }
}

/// Changes of versions: in force, given up while told, given up while joint.
fn versions() -> Vec<Entry> {
    let member = |id, incarnation| Member { id, incarnation };
    let join = |id, name: &str| Entry::Join {
        member: member(id, 1),
        name: name.into(),
        at: Step(1),
    };
    vec![
        join(11, "front-1"),
        join(12, "front-2"),
        join(u64::MAX, "front-3"),
        propose(21, 1, 4, "more attempts"),
        advance(2),
        advance(3),
        propose(22, 2, 5, "given up while told"),
        abandon(3),
        propose(23, 2, 6, "given up while joint"),
        advance(7),
        abandon(4),
        advance(9),
        Entry::Leave {
            member: member(12, 1),
        },
    ]
}

fn change(scope: &str, base: u64, fields: Option<Fields>) -> ScopeChange {
    ScopeChange {
        scope: scope.into(),
        base: Step(base),
        fields,
    }
}

fn request(id: u64, changes: Vec<ScopeChange>, why: &str) -> ScopeRequest {
    ScopeRequest {
        id,
        changes,
        why: why.into(),
    }
}

/// Changes of functions: in force, given up, removed, and two that stay under way.
fn scopes() -> Vec<Entry> {
    let since = |scope: &str, step| (scope.to_string(), Step(step));
    let carry = |force: Vec<_>, settled: Vec<_>| Entry::Carry { force, settled };
    vec![
        Entry::Change {
            requests: vec![
                request(
                    31,
                    vec![
                        change("chat", 0, Some(function("fast", 1))),
                        change("image", 0, Some(function("slow", -1))),
                    ],
                    "two functions",
                ),
                request(
                    32,
                    vec![change("sound", 0, Some(function("slow", 2)))],
                    "a third",
                ),
            ],
        },
        carry(
            vec![since("chat", 11), since("image", 11), since("sound", 11)],
            vec![],
        ),
        carry(
            vec![],
            vec![since("chat", 12), since("image", 12), since("sound", 12)],
        ),
        Entry::Change {
            requests: vec![request(
                33,
                vec![
                    change("chat", 12, Some(function("fast", 9))),
                    change("image", 12, None),
                ],
                "one changes, one is removed",
            )],
        },
        Entry::Return {
            scopes: vec![since("chat", 13)],
        },
        carry(vec![since("image", 13)], vec![]),
        Entry::Change {
            requests: vec![request(
                34,
                vec![change("sound", 12, Some(function("fast", 3)))],
                "under way",
            )],
        },
    ]
}

fn place(name: &str, zone: &str, seat: bool) -> Place {
    Place {
        name: name.into(),
        zone: zone.into(),
        seat,
    }
}

fn plan() -> Plan {
    Plan {
        stages: vec![
            vec![place("front-1", "a", true)],
            vec![place("front-2", "a", false), place("front-3", "b", false)],
        ],
        ..Plan::default()
    }
}

fn rollout(entry: Rollout) -> Entry {
    Entry::Roll {
        entry: Box::new(entry),
        fields: None,
    }
}

/// What is seen of a stage: a verdict of each sort.
fn seen(stage: usize, verdict: Option<Verdict>) -> Option<Box<Seen>> {
    Some(Box::new(Seen {
        stage,
        stood: 61,
        measured: vec![Measured {
            what: "service".into(),
            old: 0.5,
            new: 0.25,
            loss: 0.25,
            half: 0.125,
            lately: 0.0625,
            slices: 12,
        }],
        verdict,
    }))
}

/// A rollout of settings that is aborted.
fn rollout_of_settings() -> Vec<Entry> {
    let name = || "front-1".to_string();
    let (fence, id) = (1, 41);
    vec![
        Entry::Roll {
            entry: Box::new(Rollout::Begin {
                id,
                what: What::Settings,
                plan: plan(),
                why: "try settings".into(),
            }),
            fields: Some(with_attempts(7)),
        },
        rollout(Rollout::Steer {
            fence,
            who: "front-1".into(),
        }),
        rollout(Rollout::Let {
            at: 2,
            fence,
            name: name(),
        }),
        rollout(Rollout::Moved {
            at: 3,
            fence,
            name: name(),
        }),
        rollout(Rollout::Abort {
            id,
            why: "not wanted".into(),
        }),
        rollout(Rollout::Let {
            at: 5,
            fence,
            name: name(),
        }),
        rollout(Rollout::Moved {
            at: 6,
            fence,
            name: name(),
        }),
    ]
}

/// A rollout of a program that stands in its second stage, where a process ended and it was stopped and let on.
fn rollout_of_program() -> Vec<Entry> {
    let (fence, id) = (1, 42);
    let beat = |seen| rollout(Rollout::Beat { fence, seen });
    let open = |slices| Verdict::Open {
        needs: "more calls".into(),
        slices,
    };
    vec![
        rollout(Rollout::Begin {
            id,
            what: What::Program {
                label: "0123abcd".into(),
                path: "/opt/tansy/0123abcd".into(),
            },
            plan: plan(),
            why: "a new program".into(),
        }),
        rollout(Rollout::Steer {
            fence,
            who: "front-1".into(),
        }),
        rollout(Rollout::Let {
            at: 2,
            fence,
            name: "front-1".into(),
        }),
        beat(None),
        rollout(Rollout::Moved {
            at: 3,
            fence,
            name: "front-1".into(),
        }),
        rollout(Rollout::Judge { at: 4, fence }),
        beat(seen(0, Some(open(None)))),
        beat(seen(0, Some(open(Some(9))))),
        beat(seen(0, Some(Verdict::Held { slices: 2 }))),
        beat(seen(
            0,
            Some(Verdict::Worse {
                why: "slower".into(),
            }),
        )),
        beat(seen(0, Some(Verdict::Fine))),
        rollout(Rollout::Pass {
            at: 5,
            fence,
            why: "fine".into(),
        }),
        rollout(Rollout::Let {
            at: 6,
            fence,
            name: "front-2".into(),
        }),
        rollout(Rollout::Fell(Fallen {
            name: "front-2".into(),
            process: 7,
            sort: "signal 6".into(),
            again: 2,
        })),
        rollout(Rollout::Pause {
            id,
            why: "look at it".into(),
        }),
        rollout(Rollout::Resume { id }),
        beat(seen(1, None)),
    ]
}

/// A replacement of a voter that is given up, and one that is made.
fn replacement() -> Vec<Entry> {
    let (new, instead) = (4, 3);
    let seat = |new| Entry::Seat {
        new,
        address: address(new),
        instead,
    };
    vec![
        seat(5),
        Entry::Unseat { new: 5 },
        seat(new),
        Entry::Swap { new, instead },
        Entry::Seated { new },
    ]
}

/// All entries, in their order. With the last two the rollout goes back.
pub fn entries() -> Vec<Entry> {
    let last = vec![
        propose(24, 2, 8, "under way"),
        advance(19),
        rollout(Rollout::Worse {
            at: 10,
            fence: 1,
            why: "worse".into(),
        }),
    ];
    [
        versions(),
        scopes(),
        rollout_of_settings(),
        rollout_of_program(),
        replacement(),
        last,
    ]
    .concat()
}
