//! One entry of each kind that a fleet agrees on, in an order in which each is taken.

use std::net::SocketAddr;
use tansy_agreement::compatibility::{Fields, Value};
use tansy_agreement::lease::Member;
use tansy_agreement::log::{LogEntry, Revision, Version};
use tansy_agreement::scope::{ScopeTransaction, ScopeUpdate};
use tansy_canary::{Measurement, Verdict};
use tansy_rollout::{Crash, RolloutChange, RolloutEntry, RolloutPlan, StageObservation, Target};

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

fn propose(id: u64, base: u64, attempts: i64, reason: &str) -> LogEntry {
    LogEntry::Propose {
        id,
        base: Version(base),
        fields: with_attempts(attempts),
        reason: reason.into(),
    }
}

fn advance(from: u64) -> LogEntry {
    LogEntry::Advance {
        from: Revision(from),
    }
}

fn abandon(version: u64) -> LogEntry {
    LogEntry::Abandon {
        version: Version(version),
    }
}

/// Changes of versions: in force, given up while front ends were notified, given up while joint.
fn versions() -> Vec<LogEntry> {
    let member = |id, incarnation| Member { id, incarnation };
    let join = |id, name: &str| LogEntry::Join {
        member: member(id, 1),
        name: name.into(),
        revision: Revision(1),
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
        LogEntry::Leave {
            member: member(12, 1),
        },
    ]
}

fn change(scope: &str, base: u64, fields: Option<Fields>) -> ScopeUpdate {
    ScopeUpdate {
        scope: scope.into(),
        base: Revision(base),
        fields,
    }
}

fn request(id: u64, updates: Vec<ScopeUpdate>, reason: &str) -> ScopeTransaction {
    ScopeTransaction {
        id,
        updates,
        reason: reason.into(),
    }
}

/// Changes of functions: in force, given up, removed, and two that stay under way.
fn scopes() -> Vec<LogEntry> {
    let since = |scope: &str, step| (scope.to_string(), Revision(step));
    let carry = |force: Vec<_>, settled: Vec<_>| LogEntry::AdvanceScopes {
        in_force: force,
        settled,
    };
    vec![
        LogEntry::UpdateScopes {
            transactions: vec![
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
        LogEntry::UpdateScopes {
            transactions: vec![request(
                33,
                vec![
                    change("chat", 12, Some(function("fast", 9))),
                    change("image", 12, None),
                ],
                "one changes, one is removed",
            )],
        },
        LogEntry::RevertScopes {
            scopes: vec![since("chat", 13)],
        },
        carry(vec![since("image", 13)], vec![]),
        LogEntry::UpdateScopes {
            transactions: vec![request(
                34,
                vec![change("sound", 12, Some(function("fast", 3)))],
                "under way",
            )],
        },
    ]
}

fn target(name: &str, zone: &str, is_voter: bool) -> Target {
    Target {
        name: name.into(),
        zone: zone.into(),
        is_voter,
    }
}

fn plan() -> RolloutPlan {
    RolloutPlan {
        stages: vec![
            vec![target("front-1", "a", true)],
            vec![target("front-2", "a", false), target("front-3", "b", false)],
        ],
        ..RolloutPlan::default()
    }
}

fn rollout(entry: RolloutEntry) -> LogEntry {
    LogEntry::Rollout {
        entry: Box::new(entry),
        fields: None,
    }
}

/// The observation of a stage: a verdict of each sort.
fn observation(stage: usize, verdict: Option<Verdict>) -> Option<Box<StageObservation>> {
    Some(Box::new(StageObservation {
        stage,
        elapsed_seconds: 61,
        measurements: vec![Measurement {
            metric: "service".into(),
            baseline_loss_rate: 0.5,
            canary_loss_rate: 0.25,
            loss: 0.25,
            half_width: 0.125,
            recent_loss: 0.0625,
            slices: 12,
        }],
        verdict,
    }))
}

/// A rollout of settings that is aborted.
fn rollout_of_settings() -> Vec<LogEntry> {
    let name = || "front-1".to_string();
    let (fence, id) = (1, 41);
    vec![
        LogEntry::Rollout {
            entry: Box::new(RolloutEntry::Begin {
                id,
                change: RolloutChange::Settings,
                plan: plan(),
                reason: "try settings".into(),
            }),
            fields: Some(with_attempts(7)),
        },
        rollout(RolloutEntry::TakeControl {
            fence,
            controller: "front-1".into(),
        }),
        rollout(RolloutEntry::Release {
            revision: 2,
            fence,
            name: name(),
        }),
        rollout(RolloutEntry::MarkReady {
            revision: 3,
            fence,
            name: name(),
        }),
        rollout(RolloutEntry::Abort {
            id,
            reason: "not wanted".into(),
        }),
        rollout(RolloutEntry::Release {
            revision: 5,
            fence,
            name: name(),
        }),
        rollout(RolloutEntry::MarkReady {
            revision: 6,
            fence,
            name: name(),
        }),
    ]
}

/// The id of the rollout of a program.
const ROLLOUT_OF_PROGRAM: u64 = 42;

/// A rollout of a program that stands in its second stage, where a process ended and it was stopped and let on.
fn rollout_of_program() -> Vec<LogEntry> {
    let mut entries = first_stage_of_program(1);
    entries.extend(second_stage_of_program(1));
    entries
}

fn beat(fence: u64, observation: Option<Box<StageObservation>>) -> LogEntry {
    rollout(RolloutEntry::Heartbeat { fence, observation })
}

fn first_stage_of_program(fence: u64) -> Vec<LogEntry> {
    let id = ROLLOUT_OF_PROGRAM;
    let beat = |observation| beat(fence, observation);
    let open = |slices| Verdict::Inconclusive {
        needs: "more calls".into(),
        slices,
    };
    vec![
        rollout(RolloutEntry::Begin {
            id,
            change: RolloutChange::Program {
                label: "0123abcd".into(),
                path: "/opt/tansy/0123abcd".into(),
            },
            plan: plan(),
            reason: "a new program".into(),
        }),
        rollout(RolloutEntry::TakeControl {
            fence,
            controller: "front-1".into(),
        }),
        rollout(RolloutEntry::Release {
            revision: 2,
            fence,
            name: "front-1".into(),
        }),
        beat(None),
        rollout(RolloutEntry::MarkReady {
            revision: 3,
            fence,
            name: "front-1".into(),
        }),
        rollout(RolloutEntry::BeginAnalysis { revision: 4, fence }),
        beat(observation(0, Some(open(None)))),
        beat(observation(0, Some(open(Some(9))))),
        beat(observation(0, Some(Verdict::SharedFault { slices: 2 }))),
        beat(observation(
            0,
            Some(Verdict::Fail {
                reason: "slower".into(),
            }),
        )),
        beat(observation(0, Some(Verdict::Pass))),
    ]
}

fn second_stage_of_program(fence: u64) -> Vec<LogEntry> {
    let id = ROLLOUT_OF_PROGRAM;
    vec![
        rollout(RolloutEntry::Pass {
            revision: 5,
            fence,
            reason: "fine".into(),
        }),
        rollout(RolloutEntry::Release {
            revision: 6,
            fence,
            name: "front-2".into(),
        }),
        rollout(RolloutEntry::Crashed(Crash {
            name: "front-2".into(),
            process: 7,
            kind: "signal 6".into(),
            consecutive: 2,
        })),
        rollout(RolloutEntry::Pause {
            id,
            reason: "look at it".into(),
        }),
        rollout(RolloutEntry::Resume { id }),
        beat(fence, observation(1, None)),
    ]
}

/// A replacement of a voter that is given up, and one that is made.
fn replacement() -> Vec<LogEntry> {
    let (new, instead) = (4, 3);
    let begin = |new| LogEntry::BeginVoterReplacement {
        new,
        address: address(new),
        replaced: instead,
    };
    vec![
        begin(5),
        LogEntry::CancelVoterReplacement { new: 5 },
        begin(new),
        LogEntry::EnterJointConsensus {
            new,
            replaced: instead,
        },
        LogEntry::CompleteVoterReplacement { new },
    ]
}

/// All entries, in their order. With the last two the rollout goes back.
pub fn entries() -> Vec<LogEntry> {
    let last = vec![
        propose(24, 2, 8, "under way"),
        advance(19),
        rollout(RolloutEntry::Fail {
            revision: 10,
            fence: 1,
            reason: "worse".into(),
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
