//! JSON that other programs read: entries and states of rollouts as in messages and reports, and the output of `tansy-fleet --json`.

use crate::{fleet, voters};
use tansy_agreement::compatibility::{
    AffectedCalls, Compatibility, ExpiredLeasePolicy, FieldChange, Restrictiveness, Value,
};
use tansy_agreement::log::LogEntry;
use tansy_fleet::rows::{FieldChangeRow, FleetStatus, FrontEndStatus, VersionRow};
use tansy_fleet_wire::{encode_rollout_entry, pb};
use tansy_rollout::{
    InconclusivePolicy, Rollout, RolloutChange, RolloutEntry, RolloutPhase, RolloutPlan,
};

/// The rollout entries of `voters`, and for each inconclusive policy an entry whose plan has no default value.
pub fn rollout_entries() -> Vec<RolloutEntry> {
    let of = |entry| match entry {
        LogEntry::Rollout { entry, .. } => Some(*entry),
        _ => None,
    };
    let mut all: Vec<RolloutEntry> = voters::entries().into_iter().filter_map(of).collect();
    for inconclusive in [
        InconclusivePolicy::Hold,
        InconclusivePolicy::RollBack,
        InconclusivePolicy::Pass,
    ] {
        all.push(RolloutEntry::Begin {
            id: u64::MAX,
            change: RolloutChange::Settings,
            plan: RolloutPlan {
                stages: Vec::new(),
                max_unavailable: 2,
                min_stage_seconds: 61,
                max_stage_seconds: 1801,
                ready_timeout_seconds: 62,
                sample_seconds: 6,
                max_value_lost: 0.5,
                error_probability: 0.25,
                relevant_loss: 0.125,
                tolerated_loss: 0.0625,
                warm_up_seconds: 11,
                memory_limit_mb: 1025,
                inconclusive,
            },
            reason: "é".into(),
        });
    }
    all
}

/// The state of each rollout after each of its entries, and a completed rollout.
pub fn rollouts() -> Vec<Rollout> {
    let mut all: Vec<Rollout> = Vec::new();
    for entry in rollout_entries() {
        match (entry, all.last()) {
            (RolloutEntry::Begin { plan, .. }, _) if plan.stages.is_empty() => {}
            (
                RolloutEntry::Begin {
                    id,
                    change,
                    plan,
                    reason,
                },
                _,
            ) => {
                all.push(Rollout::begin(id, change, plan, reason).expect("a plan"));
            }
            (entry, Some(last)) => {
                let mut next = last.clone();
                next.apply(entry).expect("a valid entry");
                all.push(next);
            }
            (entry, None) => panic!("{entry:?} before the first Begin"),
        }
    }
    let last = all.last().cloned().expect("a rollout");
    all.push(Rollout {
        phase: RolloutPhase::Completed,
        paused: true,
        ..last
    });
    all
}

fn line(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("serializable data")
}

/// Each entry as JSON, as in messages.
pub fn rollout_entry_lines() -> Vec<String> {
    let all = rollout_entries();
    all.iter()
        .map(|e| encode_rollout_entry(e, None).entry)
        .collect()
}

/// Each state of a rollout as JSON, as in messages.
pub fn rollout_lines() -> Vec<String> {
    rollouts().iter().map(line).collect()
}

/// The output of the commands `status`, `diff` and `history` of `tansy-fleet --json`, with a value in every field.
pub fn printed_lines() -> Vec<String> {
    let state = tansy_fleet_wire::encode_state(&fleet::messages::state_with_scopes());
    let front_end = |phase: pb::Phase| {
        FrontEndStatus::of(&pb::StatusReply {
            name: "front-1".into(),
            process: Some(tansy_fleet_wire::encode_process(&fleet::messages::sender())),
            is_leader: true,
            state: Some(pb::State {
                phase: phase as i32,
                ..state.clone()
            }),
            lease_remaining: 500_000,
            session_remaining: 7_000_000,
            error: "an error".into(),
            subscriptions: 9,
            ..Default::default()
        })
    };
    let unreachable = FrontEndStatus::unreachable("10.0.0.2:7000".into(), "no answer".into());
    let fleet_status = FleetStatus {
        fleet: "pool".into(),
        leader: "10.0.0.1:7000".into(),
        front_ends: vec![
            front_end(pb::Phase::Notified),
            front_end(pb::Phase::Joint),
            front_end(pb::Phase::Reverting),
            unreachable,
        ],
        away: vec!["front-3".into()],
        conflicting: vec!["class chat".into()],
        waits_for: vec!["front-2".into()],
        waits_for_leases: true,
        changing: [("f".to_string(), vec!["front-2".to_string()])].into(),
    };
    let affected = [
        AffectedCalls::All,
        AffectedCalls::Class("a".into()),
        AffectedCalls::Tenant("b".into()),
        AffectedCalls::Function("c".into()),
    ];
    let kinds = [
        Compatibility::Free,
        Compatibility::Joint(Restrictiveness::Smallest, ExpiredLeasePolicy::Reject),
        Compatibility::Strict,
        Compatibility::Free,
    ];
    let change = |(affected, compatibility): (AffectedCalls, Compatibility)| {
        FieldChangeRow::of(&FieldChange {
            path: "front.streams".into(),
            old: None,
            new: Some(Value::Span(250_000)),
            compatibility,
            affected,
        })
    };
    let changes: Vec<FieldChangeRow> = affected.into_iter().zip(kinds).map(change).collect();
    let version =
        |now, next| VersionRow::of(&fleet::messages::state_with_scopes().in_force, now, next);
    let history = [version(7, 0), version(6, 7), version(8, 0)];
    vec![line(&fleet_status), line(&changes), line(&history)]
}
