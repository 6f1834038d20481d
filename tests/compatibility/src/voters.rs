//! A fleet of three voters in virtual time that agrees on one entry of each kind, and what each of them stores.
//!
//! Nothing is lost or late and all that is random is seeded: the same program stores the same bytes each time.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use tansy_agree::lease::{Member, Terms};
use tansy_agree::log::{Entry, Step, Version};
use tansy_agree::rule::{Fields, Value};
use tansy_agree::scope::{ScopeChange, ScopeRequest};
use tansy_rollout::{Entry as Rollout, Fallen, Place, Plan, Seen, What};
use tansy_seats::{Out, Saved, Seats, Setup};
use tansy_verdict::{Measured, Verdict};

/// Time between two looks at every voter, microseconds.
const STEP: i64 = 10_000;
/// Looks within which an entry has to be agreed on.
const LOOKS: usize = 1000;
/// The voters that the fleet begins with, the one that takes over from voter 3, and the one that does not.
const ALL: u64 = 5;

/// One write of a voter: a record, and the whole that takes the place of all before it.
pub type Write = (Vec<u8>, Option<Vec<u8>>);

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

/// How a voter of the fleet is set up.
pub fn setup(me: u64, incarnation: u64) -> Setup {
    Setup {
        me,
        incarnation,
        seats: (1..=3).map(|n| (n, address(n))).collect(),
        terms: Terms {
            span: 600_000,
            ppm: 1000,
        },
        first: first_fields(),
        seed: me,
    }
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

/// Voters in virtual time.
pub struct Fleet {
    now: i64,
    voters: BTreeMap<u64, Seats>,
    writes: BTreeMap<u64, Vec<Write>>,
    messages: VecDeque<(u64, u64, Vec<u8>)>,
    applied: Option<u64>,
    proposed: Option<u64>,
}

impl Fleet {
    /// Voters that go on from what each of them stores.
    pub fn new(stored: &BTreeMap<u64, Saved>, incarnation: u64) -> Fleet {
        let voter = |(me, saved): (&u64, &Saved)| {
            let voter = Seats::new(setup(*me, incarnation), saved, 0);
            (*me, voter.expect("what it stored is read"))
        };
        Fleet {
            now: 0,
            voters: stored.iter().map(voter).collect(),
            writes: stored.keys().map(|me| (*me, Vec::new())).collect(),
            messages: VecDeque::new(),
            applied: None,
            proposed: None,
        }
    }

    /// A voter.
    pub fn voter(&self, me: u64) -> &Seats {
        &self.voters[&me]
    }

    /// What a voter wrote so far.
    pub fn writes(&self, me: u64) -> &[Write] {
        &self.writes[&me]
    }

    /// The voter that may act as the fleet's root.
    pub fn leader(&self) -> Option<u64> {
        let mut all = self.voters.iter();
        all.find_map(|(me, v)| v.right(self.now).map(|_| *me))
    }

    /// Has the fleet agree on an entry, and every voter get to know it.
    pub fn agree(&mut self, entry: Entry) {
        self.run("a leader", |fleet| fleet.leader().is_some());
        if let Entry::Swap { new, .. } = entry {
            self.run("one that has caught up", |fleet| {
                let leader = fleet.leader().map(|l| fleet.voter(l));
                leader.is_some_and(|l| l.caught_up(new))
            });
        }
        let text = format!("{entry:?}");
        let leader = self.leader().expect("it was there");
        let mut number = None;
        self.act(leader, |voter, _, out| {
            number = voter.propose(entry, out);
        });
        self.proposed = Some(number.expect("the leader takes it"));
        self.run(&text, |fleet| fleet.applied == fleet.proposed);
        let applied = self.voter(leader).applied();
        self.run(&text, |fleet| {
            let log = fleet.voter(leader).log().expect("it was begun");
            let mut voters = log
                .seats()
                .keys()
                .copied()
                .chain(log.seating().map(|s| s.new));
            voters.all(|v| fleet.voters.get(&v).is_none_or(|v| v.applied() >= applied))
        });
    }

    fn run(&mut self, wanted: &str, done: impl Fn(&Fleet) -> bool) {
        for _ in 0..LOOKS {
            if done(self) {
                return;
            }
            self.now += STEP;
            let all: Vec<u64> = self.voters.keys().copied().collect();
            for me in all {
                if self.voters[&me].next() <= self.now {
                    self.act(me, Seats::tick);
                }
            }
            while let Some((from, to, bytes)) = self.messages.pop_front() {
                self.act(to, |voter, _, out| voter.hear(from, &bytes, out));
            }
        }
        panic!("not within {LOOKS} looks: {wanted}");
    }

    fn act(&mut self, me: u64, act: impl FnOnce(&mut Seats, i64, &mut Vec<Out>)) {
        let Some(voter) = self.voters.get_mut(&me) else {
            // It does not run: what is sent to it is lost.
            return;
        };
        let mut out = Vec::new();
        act(voter, self.now, &mut out);
        let mut at = 0;
        while at < out.len() {
            match out[at].clone() {
                Out::Send { to, bytes } => {
                    self.messages.push_back((me, to, bytes));
                }
                Out::Hold { record, whole } => {
                    self.writes.entry(me).or_default().push((record, whole));
                    voter.held(true, &mut out);
                }
                Out::Applied {
                    mine,
                    entry,
                    outcome,
                } => {
                    assert!(outcome.is_ok(), "{entry:?}: {outcome:?}");
                    self.applied = mine.or(self.applied);
                }
                Out::Strange => panic!("voter {me} does not know an entry"),
            }
            at += 1;
        }
    }
}

/// The fleet after all entries.
pub fn recorded() -> Fleet {
    let stored = (1..=ALL).map(|me| (me, Saved::default())).collect();
    let mut fleet = Fleet::new(&stored, 1);
    entries().into_iter().for_each(|e| fleet.agree(e));
    fleet
}
