//! Log entries of every kind, in an order in which a fleet accepts each.

use std::net::SocketAddr;
use tansy_agreement::compatibility::{Fields, Value};
use tansy_agreement::lease::Member;
use tansy_agreement::log::{LogEntry, Revision, Version};
use tansy_agreement::scope::{ScopeTransaction, ScopeUpdate};
use tansy_canary::{Measurement, Verdict};
use tansy_rollout::{Crash, RolloutChange, RolloutEntry, RolloutPlan, StageObservation, Target};

/// The address of a voter.
pub fn address(voter: u64) -> SocketAddr {
    ([10, 0, 0, voter as u8], 7000).into()
}

/// The fleet's initial settings, with a value of each type.
pub fn initial_fields() -> Fields {
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

/// The initial settings with another number of attempts.
pub fn with_attempts(attempts: i64) -> Fields {
    let mut fields = initial_fields();
    fields.insert("worker.max_attempts".into(), Value::Int(attempts));
    fields
}

/// The settings of a function.
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

/// Changes of versions: one in force, one abandoned while front ends were notified, one abandoned while joint.
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

fn update(scope: &str, base: u64, fields: Option<Fields>) -> ScopeUpdate {
    ScopeUpdate {
        scope: scope.into(),
        base: Revision(base),
        fields,
    }
}

fn transaction(id: u64, updates: Vec<ScopeUpdate>, reason: &str) -> ScopeTransaction {
    ScopeTransaction {
        id,
        updates,
        reason: reason.into(),
    }
}

/// Changes of functions: in force, reverted, removed, and some that stay pending.
fn scopes() -> Vec<LogEntry> {
    let since = |scope: &str, revision| (scope.to_string(), Revision(revision));
    let advance = |in_force: Vec<_>, settled: Vec<_>| LogEntry::AdvanceScopes { in_force, settled };
    vec![
        LogEntry::UpdateScopes {
            transactions: vec![
                transaction(
                    31,
                    vec![
                        update("chat", 0, Some(function("fast", 1))),
                        update("image", 0, Some(function("slow", -1))),
                    ],
                    "two functions",
                ),
                transaction(
                    32,
                    vec![update("sound", 0, Some(function("slow", 2)))],
                    "a third",
                ),
            ],
        },
        advance(
            vec![since("chat", 11), since("image", 11), since("sound", 11)],
            vec![],
        ),
        advance(
            vec![],
            vec![since("chat", 12), since("image", 12), since("sound", 12)],
        ),
        LogEntry::UpdateScopes {
            transactions: vec![transaction(
                33,
                vec![
                    update("chat", 12, Some(function("fast", 9))),
                    update("image", 12, None),
                ],
                "one changes, one is removed",
            )],
        },
        LogEntry::RevertScopes {
            scopes: vec![since("chat", 13)],
        },
        advance(vec![since("image", 13)], vec![]),
        LogEntry::UpdateScopes {
            transactions: vec![transaction(
                34,
                vec![update("sound", 12, Some(function("fast", 3)))],
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

/// An observation of a stage with this verdict.
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

/// An aborted rollout of settings.
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

/// The id of the program's rollout.
const ROLLOUT_OF_PROGRAM: u64 = 42;

/// A rollout of a program in its second stage, in which a process crashed and the rollout was paused and resumed.
fn rollout_of_program() -> Vec<LogEntry> {
    let mut entries = first_stage_of_program(1);
    entries.extend(second_stage_of_program(1));
    entries
}

fn heartbeat(fence: u64, observation: Option<Box<StageObservation>>) -> LogEntry {
    rollout(RolloutEntry::Heartbeat { fence, observation })
}

fn first_stage_of_program(fence: u64) -> Vec<LogEntry> {
    let id = ROLLOUT_OF_PROGRAM;
    let heartbeat = |observation| heartbeat(fence, observation);
    let inconclusive = |slices| Verdict::Inconclusive {
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
        heartbeat(None),
        rollout(RolloutEntry::MarkReady {
            revision: 3,
            fence,
            name: "front-1".into(),
        }),
        rollout(RolloutEntry::BeginAnalysis { revision: 4, fence }),
        heartbeat(observation(0, Some(inconclusive(None)))),
        heartbeat(observation(0, Some(inconclusive(Some(9))))),
        heartbeat(observation(0, Some(Verdict::SharedFault { slices: 2 }))),
        heartbeat(observation(
            0,
            Some(Verdict::Fail {
                reason: "slower".into(),
            }),
        )),
        heartbeat(observation(0, Some(Verdict::Pass))),
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
        heartbeat(fence, observation(1, None)),
    ]
}

/// A cancelled replacement of a voter, and a completed one.
fn replacement() -> Vec<LogEntry> {
    let (new, replaced) = (4, 3);
    let begin = |new| LogEntry::BeginVoterReplacement {
        new,
        address: address(new),
        replaced,
    };
    vec![
        begin(5),
        LogEntry::CancelVoterReplacement { new: 5 },
        begin(new),
        LogEntry::EnterJointConsensus { new, replaced },
        LogEntry::CompleteVoterReplacement { new },
    ]
}

/// All entries in log order. The last one makes the rollout revert.
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
