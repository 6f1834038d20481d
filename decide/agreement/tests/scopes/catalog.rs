//! Changes of scopes in the log: validation, phases, and the deltas that bring members up to date.

use super::support::{join, member};
use super::{apply, fields, finish, new_log, transaction, update};
use std::collections::BTreeMap;
use tansy_agreement::compatibility::{Fields, Value};
use tansy_agreement::lease::Versioned;
use tansy_agreement::log::{
    ApplyOutcome, ChangePhase, EntryRejection, Log, LogEntry, Revision, Version,
};
use tansy_agreement::scope::{
    ChangeHistory, ScopeChange, ScopePhase, ScopeRecord, ScopeTransaction, StateDelta,
    MAX_FIELDS_BYTES, MAX_HISTORY, MAX_NAME_BYTES, MAX_UPDATES_PER_TRANSACTION,
};

fn two_scope_transaction() -> ScopeTransaction {
    transaction(
        1,
        vec![
            update("a", 0, Some(fields(1, 1))),
            update("b", 0, Some(fields(1, 1))),
        ],
    )
}

/// A log in which [`two_scope_transaction`] is settled.
fn settled_log() -> Log {
    let mut log = new_log();
    apply(&mut log, vec![two_scope_transaction()]);
    finish(&mut log, false);
    log
}

fn assert_all_settled(log: &Log) {
    let settled = ScopeRecord {
        revision: Revision(3),
        fields: Some(fields(1, 1)),
        phase: ScopePhase::Settled,
    };
    assert!(log.catalog().all().values().all(|s| *s == settled));
}

#[test]
fn a_transaction_is_accepted_as_a_whole_or_not_at_all() {
    let mut log = new_log();
    let overlaps = transaction(
        2,
        vec![
            update("c", 0, Some(fields(1, 1))),
            update("a", 0, Some(fields(2, 1))),
        ],
    );
    let independent = transaction(3, vec![update("d", 0, Some(fields(1, 1)))]);
    let rejected = apply(
        &mut log,
        vec![two_scope_transaction(), overlaps, independent],
    );
    assert_eq!(
        rejected,
        [(
            1,
            EntryRejection::ScopeChangeInProgress { scope: "a".into() }
        )]
    );
    let names = |log: &Log| log.catalog().all().keys().cloned().collect::<String>();
    assert_eq!(
        (
            names(&log),
            log.state().revision,
            log.state().versions_revision
        ),
        ("abd".into(), Revision(2), Revision(1))
    );
    finish(&mut log, false);
    assert_all_settled(&log);
}

#[test]
fn duplicate_and_invalid_transactions_are_recognized() {
    let log = settled_log();
    assert_eq!(
        log.validate_transaction(&two_scope_transaction()),
        Ok(Some(Revision(2)))
    );
    let validated = |updates| log.validate_transaction(&transaction(9, updates));
    let new_fields = || Some(fields(2, 2));
    let stale_base = |scope: &str, revision| {
        Err(EntryRejection::StaleScopeBase {
            scope: scope.into(),
            revision: Revision(revision),
        })
    };
    assert_eq!(
        validated(vec![update("a", 2, new_fields())]),
        stale_base("a", 3)
    );
    assert_eq!(
        validated(vec![update("e", 3, new_fields())]),
        stale_base("e", 0)
    );
    assert_eq!(
        validated(vec![update("a", 3, Some(fields(1, 1)))]),
        Err(EntryRejection::NoChange)
    );
    assert_eq!(
        validated(vec![update("e", 0, None)]),
        Err(EntryRejection::NoChange),
        "there is no scope to remove"
    );
    assert_eq!(
        validated(vec![update("a", 3, new_fields()), update("a", 3, None)]),
        Err(EntryRejection::DuplicateScope { scope: "a".into() })
    );
    assert_eq!(
        validated(vec![update("", 0, new_fields())]),
        Err(EntryRejection::MissingName)
    );
}

#[test]
fn transactions_beyond_the_limits_are_rejected() {
    let log = settled_log();
    let validated = |updates| log.validate_transaction(&transaction(9, updates));
    let new_fields = || Some(fields(2, 2));
    for updates in [
        vec![update(&"n".repeat(MAX_NAME_BYTES + 1), 0, new_fields())],
        vec![update(
            "e",
            0,
            Some(Fields::from([(
                "class".into(),
                Value::Text("x".repeat(MAX_FIELDS_BYTES)),
            )])),
        )],
        (0..=MAX_UPDATES_PER_TRANSACTION)
            .map(|n| update(&n.to_string(), 0, new_fields()))
            .collect(),
        (0..30)
            .map(|index| {
                update(
                    &index.to_string(),
                    0,
                    Some([("class".into(), Value::Text("x".repeat(10_000)))].into()),
                )
            })
            .collect(),
    ] {
        assert!(matches!(
            validated(updates),
            Err(EntryRejection::TooMany { .. })
        ));
    }
}

#[test]
fn scopes_in_another_phase_are_left_as_they_are() {
    let mut log = settled_log();
    let before = log.clone();
    let stale = || {
        vec![
            ("a".to_string(), Revision(2)),
            ("zz".to_string(), Revision(2)),
        ]
    };
    assert_eq!(
        log.apply(LogEntry::AdvanceScopes {
            in_force: stale(),
            settled: stale()
        }),
        Err(EntryRejection::StaleRevision)
    );
    assert_eq!(
        log.apply(LogEntry::RevertScopes { scopes: stale() }),
        Err(EntryRejection::StaleRevision)
    );
    assert_eq!(
        log.apply(LogEntry::UpdateScopes {
            transactions: Vec::new()
        }),
        Err(EntryRejection::NoChange)
    );
    assert_eq!(log, before);
}

#[test]
fn a_reverted_change_leaves_the_record_and_its_transaction_counts_it() {
    let mut log = settled_log();
    apply(
        &mut log,
        vec![transaction(
            4,
            vec![update("a", 3, None), update("b", 3, Some(fields(2, 2)))],
        )],
    );
    finish(&mut log, true);
    assert_all_settled(&log);
    let result = *log
        .catalog()
        .transaction_result(4)
        .expect("it was accepted");
    assert_eq!((result.joint, result.in_force, result.reverted), (0, 0, 2));
}

fn one_field(path: &str) -> Fields {
    Fields::from([(path.to_string(), Value::Int(1))])
}

fn propose(base: u64, fields: Fields) -> LogEntry {
    LogEntry::Propose {
        id: 0,
        base: Version(base),
        fields,
        reason: String::new(),
    }
}

/// A log with a joint change of one scope, whose name contains a dot.
fn log_with_scope() -> Log {
    let mut log = new_log();
    let updates = vec![update("a.b", 0, Some(fields(1, 1)))];
    apply(&mut log, vec![transaction(1, updates)]);
    log
}

#[test]
fn a_function_is_defined_by_a_version_or_as_a_scope() {
    let mut log = log_with_scope();
    let defined_elsewhere = |scope: &str| EntryRejection::DefinedElsewhere {
        scope: scope.into(),
    };
    assert_eq!(
        log.apply(propose(1, one_field("functions.a%2eb.lanes"))),
        Err(defined_elsewhere("a.b"))
    );
    assert_eq!(
        log.apply(propose(1, one_field("functions.a.lanes"))),
        Ok(ApplyOutcome::Announced(Version(2)))
    );
    assert_eq!(
        log.validate_transaction(&transaction(2, vec![update("a", 0, Some(fields(1, 1)))])),
        Err(defined_elsewhere("a"))
    );
}

#[test]
fn revisions_of_scopes_and_of_versions_are_independent() {
    let mut log = log_with_scope();
    log.apply(propose(1, one_field("functions.a.lanes")))
        .expect("a new version");
    // A change of scopes neither delays a version nor advances it.
    let announced_in = log.state().versions_revision;
    apply(
        &mut log,
        vec![transaction(3, vec![update("c", 0, Some(fields(1, 1)))])],
    );
    assert_eq!(
        log.apply(LogEntry::Advance {
            from: log.state().revision
        }),
        Err(EntryRejection::StaleRevision)
    );
    assert!(log.apply(LogEntry::Advance { from: announced_in }).is_ok());
    assert!(matches!(log.state().next, Some((_, ChangePhase::Joint))));
    // A member may join at any revision from the last one that changed a version.
    let join_at = |revision| join(member(1), revision);
    apply(
        &mut log,
        vec![transaction(4, vec![update("d", 0, Some(fields(1, 1)))])],
    );
    assert_eq!(
        log.validate(&join_at(Revision(log.state().versions_revision.0 - 1))),
        Err(EntryRejection::Behind)
    );
    assert_eq!(
        log.validate(&join_at(log.state().revision.next())),
        Err(EntryRejection::Behind)
    );
    assert_eq!(
        log.validate(&join_at(log.state().versions_revision)),
        Ok(None)
    );
    assert_eq!(log.validate(&join_at(log.state().revision)), Ok(None));
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one sequence of changes, read from top to bottom"
)]
fn deltas_lead_to_the_same_state_as_snapshots_unless_history_was_dropped() {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut log = new_log();
    let mut follower = log.state().clone();
    let mut base = BTreeMap::new();
    for change in 0..400u64 {
        let scope = format!("f{}", change % 7);
        let revision = base.get(&scope).copied().unwrap_or(0);
        apply(
            &mut log,
            vec![transaction(
                change + 1,
                vec![update(&scope, revision, Some(fields(change as i64, 1)))],
            )],
        );
        finish(&mut log, false);
        base.insert(
            scope.clone(),
            log.catalog()
                .get(&scope)
                .expect("the scope exists")
                .revision
                .0,
        );
        if rng.u32(0..3) == 0 {
            let delta = log
                .state()
                .delta_since(follower.revision)
                .expect("the history is retained");
            // A delta that starts after the known revision is not applied.
            let mut behind = follower.clone();
            let gap = StateDelta {
                from: behind.revision.next(),
                ..delta.clone()
            };
            assert!(!behind.apply_delta(&gap) && behind == follower);
            assert!(
                follower.apply_delta(&delta) && follower.apply_delta(&delta),
                "a delta applied twice counts once"
            );
            assert_eq!(
                (follower.revision, &follower.history),
                (log.state().revision, &log.state().history)
            );
        }
    }
    // A snapshot contains no history; the delta that leads to it preserves the history.
    let mut snapshot = follower.clone();
    snapshot.replace_with_snapshot(
        log.state().without_history(),
        log.state().delta_since(follower.revision).as_ref(),
    );
    assert_eq!(&snapshot, log.state());
    snapshot.replace_with_snapshot(log.state().without_history(), None);
    assert!(snapshot.history.is_empty() && snapshot.history.since(Revision(1)).is_none());
    let updates_of_batch = |batch: u64| {
        (0..1500)
            .map(|index| update(&format!("m{batch}-{index}"), 0, Some(fields(1, 1))))
            .collect()
    };
    let before = log.state().revision;
    (0..4).for_each(|batch| {
        let transaction = transaction(1000 + batch, updates_of_batch(batch));
        assert_eq!(apply(&mut log, vec![transaction]), []);
    });
    assert!(log.state().history.len() <= MAX_HISTORY && log.state().delta_since(before).is_none());
    assert!(log
        .state()
        .delta_since(log.state().history.retained_after())
        .is_some());
}

#[test]
fn a_history_tells_when_changes_were_dropped() {
    assert_eq!(
        ChangeHistory::after(Revision(3))
            .since(Revision(2))
            .map(|changes| changes.count()),
        None
    );
    assert_eq!(
        ChangeHistory::after(Revision(3))
            .since(Revision(3))
            .map(|changes| changes.count()),
        Some(0)
    );
    let change = ScopeChange {
        revision: Revision(4),
        scope: "a".into(),
        record: ScopeRecord::default(),
    };
    assert!(change.memory_bytes() > 0);
}
