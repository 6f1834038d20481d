//! The phases of versions in the log.

use super::{schema, versions};
use proptest::prelude::*;
use tansy_agreement::compatibility::{Fields, Value};
use tansy_agreement::log::{
    ApplyOutcome, ChangePhase, EntryRejection, Log, LogEntry, Revision, Version,
};
use tansy_rollout::{RolloutChange, RolloutEntry, RolloutPlan, Target};

proptest! {
    #[test]
    fn revisions_increment_by_one_and_no_version_is_dropped(entries in proptest::collection::vec((0u8..4, versions(), 0u64..6), 0..60)) {
        let mut log = Log::new(Fields::new(), []);
        let (mut revision, mut in_force) = (Revision(1), Version(1));
        for (kind, fields, number) in entries {
            let latest = log.state().latest();
            let entry = match kind {
                0 | 1 => LogEntry::Propose { id: 0, base: latest, fields, reason: String::new() },
                2 => LogEntry::Advance { from: Revision(number.max(1)).max(if number > 2 { log.state().revision } else { Revision(1) }) },
                _ => LogEntry::Abandon { version: Version(number) },
            };
            let known_versions = log.history().count();
            let before = log.clone();
            match log.apply(entry) {
                Ok(ApplyOutcome::Duplicate(_)) => {}
                Ok(_) => prop_assert_eq!(log.state().revision, revision.next()),
                Err(_) => prop_assert_eq!(&before, &log, "a rejected entry changed something"),
            }
            prop_assert!(log.history().count() >= known_versions);
            prop_assert!(log.state().in_force.version >= in_force, "an older version came back");
            (revision, in_force) = (log.state().revision, log.state().in_force.version);
        }
    }
}

#[test]
fn a_version_is_announced_then_joint_then_in_force() {
    let limit = |n: i64| -> Fields { [("limit".to_string(), Value::Int(n))].into() };
    let mut log = Log::new(limit(4), []);
    let propose = |id, base, n| LogEntry::Propose {
        id,
        base: Version(base),
        fields: limit(n),
        reason: "less".into(),
    };
    assert_eq!(
        log.apply(propose(7, 1, 2)),
        Ok(ApplyOutcome::Announced(Version(2)))
    );
    assert_eq!(
        log.state().rules(&schema()).fields["limit"],
        Value::Int(4),
        "an announced version is not acted on"
    );
    assert_eq!(
        log.apply(propose(7, 1, 2)),
        Ok(ApplyOutcome::Duplicate(Version(2))),
        "a repeated proposal is a duplicate"
    );
    assert_eq!(
        log.apply(propose(8, 1, 3)),
        Err(EntryRejection::ChangeInProgress {
            version: Version(2)
        })
    );
    log.apply(LogEntry::Advance { from: Revision(2) })
        .expect("joint");
    assert_eq!(
        log.state().rules(&schema()).fields["limit"],
        Value::Int(2),
        "the stricter value applies"
    );
    assert_eq!(
        log.apply(LogEntry::Advance { from: Revision(2) }),
        Err(EntryRejection::StaleRevision),
        "a change advances once from a revision"
    );
    log.apply(LogEntry::Advance { from: Revision(3) })
        .expect("in force");
    assert_eq!(log.state().in_force.version, Version(2));
    assert_eq!(
        log.apply(propose(9, 1, 3)),
        Err(EntryRejection::StaleBase { latest: Version(2) }),
        "the proposal would overwrite version 2"
    );
    assert_eq!(log.apply(propose(10, 2, 2)), Err(EntryRejection::NoChange));
}

#[test]
fn a_change_abandoned_while_joint_enters_the_rolled_back_phase() {
    let limit = |n: i64| -> Fields { [("limit".to_string(), Value::Int(n))].into() };
    let mut log = Log::new(limit(4), []);
    log.apply(LogEntry::Propose {
        id: 1,
        base: Version(1),
        fields: limit(9),
        reason: String::new(),
    })
    .expect("announced");
    log.apply(LogEntry::Advance { from: Revision(2) })
        .expect("joint");
    log.apply(LogEntry::Abandon {
        version: Version(2),
    })
    .expect("rolled back");
    assert!(
        matches!(log.state().next, Some((_, ChangePhase::RolledBack))),
        "another change waits until every member is back"
    );
    assert_eq!(log.state().rules(&schema()).fields["limit"], Value::Int(4));
    log.apply(LogEntry::Advance { from: Revision(4) })
        .expect("settled");
    assert_eq!(
        (log.state().in_force.version, log.has_version_change()),
        (Version(1), false)
    );
    log.apply(LogEntry::Propose {
        id: 2,
        base: Version(1),
        fields: limit(5),
        reason: String::new(),
    })
    .expect("the next version is announced");
    assert_eq!(
        log.state().latest(),
        Version(3),
        "the number of an abandoned version is not reused"
    );
}

#[test]
fn a_rejected_rollout_leaves_the_log_as_it_was() {
    let max_attempts = |n| Fields::from([("worker.max_attempts".to_string(), Value::Int(n))]);
    let mut log = Log::new(max_attempts(4), []);
    let target = Target {
        name: "f0".into(),
        zone: "a".into(),
        is_voter: false,
    };
    let plan = RolloutPlan {
        stages: vec![vec![target]],
        ..RolloutPlan::default()
    };
    let begin = |id, plan: &RolloutPlan| {
        let entry = RolloutEntry::Begin {
            id,
            change: RolloutChange::Settings,
            plan: plan.clone(),
            reason: String::new(),
        };
        LogEntry::Rollout {
            entry: Box::new(entry),
            fields: Some(max_attempts(3)),
        }
    };
    let abort = LogEntry::Rollout {
        entry: Box::new(RolloutEntry::Abort {
            id: 1,
            reason: String::new(),
        }),
        fields: None,
    };
    for entry in [begin(1, &plan), abort] {
        log.apply(entry).expect("accepted");
    }
    let before = log.clone();
    // A rollout with an invalid plan, and a rollout that was begun before.
    for entry in [begin(2, &RolloutPlan::default()), begin(1, &plan)] {
        assert!(matches!(log.apply(entry), Err(EntryRejection::Rollout(_))));
        assert_eq!(log, before);
    }
}
