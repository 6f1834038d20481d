//! Scopes are persisted, and sent in snapshots, with the log.

use crate::cluster::Cluster;
use tansy_agreement::compatibility::Value;
use tansy_agreement::log::{Log, LogEntry, Revision};
use tansy_agreement::scope::{ScopeTransaction, ScopeUpdate};
use tansy_consensus::Replica;

/// The next entry of a series of scope changes: each change becomes joint, comes into force and settles.
fn next_scope_entry(log: &Log, number: u64) -> LogEntry {
    let open = || {
        log.catalog().unsettled().filter_map(|(name, record)| {
            let since = record.phase.since()?;
            Some((name.to_string(), since, record.next().is_some()))
        })
    };
    let in_phase = |joint| {
        open()
            .filter(|change| change.2 == joint)
            .map(|(name, since, _)| (name, since))
            .collect::<Vec<_>>()
    };
    if open().next().is_some() {
        return LogEntry::AdvanceScopes {
            in_force: in_phase(true),
            settled: in_phase(false),
        };
    }
    let change = |scope: String| {
        let base = log
            .catalog()
            .get(&scope)
            .map_or(Revision(0), |record| record.revision);
        let fields = [
            ("class".to_string(), Value::Text(format!("c{number}"))),
            ("lanes".to_string(), Value::Int(number as i64)),
        ];
        ScopeUpdate {
            scope,
            base,
            fields: (!number.is_multiple_of(7) || base == Revision(0)).then(|| fields.into()),
        }
    };
    let changes = (0..3)
        .map(|offset| change(format!("f{}", (number + offset) % 20)))
        .collect();
    LogEntry::UpdateScopes {
        transactions: vec![ScopeTransaction {
            id: number,
            updates: changes,
            reason: "a test".into(),
        }],
    }
}

#[test]
fn scopes_are_persisted_and_sent_with_the_log() {
    let mut cluster = Cluster::new(3, 8);
    cluster.run(3.0);
    let stopped = (0..3)
        .find(|index| Some(*index) != cluster.leader())
        .expect("a follower");
    cluster.kill(stopped);
    for number in 1..=600 {
        if let Some(leader) = cluster.leader() {
            let entry = next_scope_entry(
                cluster.replicas[leader]
                    .as_ref()
                    .and_then(Replica::log)
                    .expect("a log"),
                number,
            );
            cluster.call(leader, |replica, _, effects| {
                replica.propose(entry, effects);
            });
        }
        cluster.run(0.06);
    }
    // The stopped replica catches up. Then all replicas are restarted and recover from their disks.
    cluster.start(stopped);
    cluster.run(5.0);
    let logs = |cluster: &Cluster| {
        cluster
            .replicas
            .iter()
            .flatten()
            .map(|replica| replica.log().expect("a log").clone())
            .collect::<Vec<_>>()
    };
    let expected = logs(&cluster);
    assert!(
        expected[0].catalog().all().len() >= 15 && expected[0].state().revision.0 > 150,
        "{:?}",
        expected[0].state().revision
    );
    assert!(expected[0].state().history.len() > 100);
    assert!(
        expected.iter().all(|log| *log == expected[0]),
        "the stopped replica has the same log"
    );
    (0..3).for_each(|index| cluster.kill(index));
    (0..3).for_each(|index| cluster.start(index));
    cluster.run(5.0);
    assert!(
        logs(&cluster).iter().all(|log| *log == expected[0]),
        "all replicas recover the log from their disks"
    );
    assert!(!cluster.diverged);
}
