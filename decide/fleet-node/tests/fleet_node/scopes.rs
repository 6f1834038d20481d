//! Scopes: subscriptions, changes, and faults during changes.

use crate::cluster::SECOND;
use crate::scope_cluster::{change, class, fields, ScopeCluster};
use std::collections::BTreeSet;
use tansy_agreement::compatibility::Value;
use tansy_agreement::log::{ApplyOutcome, EntryRejection, Revision};
use tansy_agreement::scope::{ScopePhase, ScopeRecord};
use tansy_agreement::subscription::{Admission, RejectReason};
use tansy_fleet_node::{FleetEvent, RequestRejection};

#[test]
fn a_scope_is_requested_once_and_updated_at_its_subscribers() {
    let mut cluster = ScopeCluster::with_scopes(6, 1, 1);
    assert_eq!(
        cluster.admit(2, "a"),
        Some(Admission::Unscoped),
        "there are no scopes yet"
    );
    cluster.set(1, "a", Some(fields("chat", 4)));
    assert_eq!(cluster.admitted_class(2, "a"), "chat");
    assert_eq!(cluster.admitted_class(0, "a"), "chat", "the leader too");
    assert_eq!(cluster.admitted_class(3, "none"), "Some(Unknown)");
    let replies = cluster.observer.replies.len();
    assert_eq!(cluster.admitted_class(2, "a"), "chat");
    cluster.set(2, "a", Some(fields("batch", 2)));
    cluster.set(3, "none", Some(fields("chat", 1)));
    cluster.run(1.0);
    assert_eq!(
        (
            cluster.admitted_class(2, "a"),
            cluster.admitted_class(0, "a")
        ),
        ("batch".into(), "batch".into())
    );
    assert_eq!(
        cluster.admitted_class(3, "none"),
        "chat",
        "the absence of a scope is subscribed to as well"
    );
    assert_eq!(
        cluster.observer.replies.len(),
        replies,
        "changes travel with the lease"
    );
    assert_eq!(cluster.log().state().versions_revision, Revision(1));
}

#[test]
fn a_killed_subscriber_delays_only_its_own_scopes() {
    for seed in 0..20 {
        let mut cluster = ScopeCluster::with_scopes(6, 1, seed);
        cluster.set(1, "a", Some(fields("chat", 4)));
        cluster.set(2, "b", Some(fields("chat", 4)));
        assert_eq!(
            (
                cluster.admitted_class(4, "a"),
                cluster.admitted_class(3, "b")
            ),
            ("chat".into(), "chat".into())
        );
        cluster.nodes[4] = None;
        let base = cluster.scope("a").revision;
        let other_base = cluster.scope("b").revision;
        cluster.update_scopes(3, vec![change("a", base, Some(fields("batch", 4)))]);
        cluster.update_scopes(4, vec![change("b", other_base, Some(fields("batch", 4)))]);
        let begun = cluster.now;
        assert!(
            cluster.run_until(3.0, |cluster| cluster.scope("b").fields
                == Some(fields("batch", 4))),
            "seed {seed}: {:?}",
            cluster.scope("b")
        );
        assert!(matches!(cluster.scope("a").phase, ScopePhase::Joint { .. }));
        let blockers = cluster.nodes[0]
            .as_ref()
            .and_then(|node| node.change_blockers(cluster.now))
            .expect("a change is in progress");
        assert_eq!(
            blockers
                .scopes
                .iter()
                .map(|(n, w)| (n.as_str(), w.len()))
                .collect::<Vec<_>>(),
            [("a", 1)]
        );
        // The strict change of "a" waits for the killed subscriber until it times out.
        assert!(
            cluster.run_until(12.0, |cluster| cluster.scope("a").phase
                == ScopePhase::Settled),
            "seed {seed}"
        );
        assert!(cluster.now - begun >= 10 * SECOND, "seed {seed}");
        assert_eq!(
            cluster.scope("a").fields,
            Some(fields("chat", 4)),
            "only this change is reverted"
        );
        assert!(cluster
            .events
            .iter()
            .any(|(_, event)| matches!(event, FleetEvent::ScopeChangesAbandoned { scopes, .. } if scopes == &["a"])));
        // A joint change waits only for leases, and the killed front end has none.
        cluster.set(5, "a", Some(fields("chat", 2)));
        assert_eq!(cluster.admitted_class(3, "b"), "batch");
        // A restarted front end no longer delays changes.
        cluster.start(4);
        cluster.run(3.0);
        cluster.set(6, "a", Some(fields("batch", 2)));
        assert_eq!(cluster.admitted_class(4, "a"), "batch");
    }
}

#[test]
fn of_two_overlapping_transactions_one_is_rejected_entirely() {
    for first in [0, 1] {
        let mut cluster = ScopeCluster::with_scopes(4, 1, 3);
        cluster.set(1, "b", Some(fields("chat", 4)));
        let base = cluster.scope("b").revision;
        let one = vec![
            change("a", Revision(0), Some(fields("chat", 1))),
            change("b", base, Some(fields("batch", 1))),
        ];
        let two = vec![
            change("c", Revision(0), Some(fields("chat", 1))),
            change("b", base, Some(fields("bulk", 1))),
        ];
        let (one, two) = if first == 0 { (one, two) } else { (two, one) };
        cluster.update_scopes(2, one.clone());
        cluster.update_scopes(3, two.clone());
        cluster.run(0.15);
        cluster.update_scopes(4, two.clone());
        cluster.run(5.0);
        assert!(
            matches!(
                cluster.answers[&2][..],
                [Ok(ApplyOutcome::ScopesChanged { .. })]
            ),
            "{:?}",
            cluster.answers[&2]
        );
        for request in [3, 4] {
            let busy =
                RequestRejection::Log(EntryRejection::ScopeChangeInProgress { scope: "b".into() });
            assert_eq!(cluster.answers[&request], [Err(busy)]);
        }
        assert_eq!(cluster.scope("b").fields, one[1].fields);
        assert_eq!(cluster.scope(&one[0].scope).fields, one[0].fields);
        assert_eq!(
            cluster.scope(&two[0].scope),
            ScopeRecord::default(),
            "no part of the rejected transaction is applied"
        );
        cluster.update_scopes(5, two);
        cluster.run(0.5);
        let Err(RequestRejection::Log(EntryRejection::StaleScopeBase { scope, revision })) =
            &cluster.answers[&5][0]
        else {
            panic!()
        };
        assert_eq!(
            (scope.as_str(), *revision),
            ("b", cluster.scope("b").revision)
        );
    }
}

#[test]
fn a_first_call_during_a_change_is_correct_in_every_order() {
    let mut orders = BTreeSet::new();
    for seed in 0..1000 {
        let mut cluster = ScopeCluster::with_scopes(5, 1, seed);
        cluster.set(1, "a", Some(fields("chat", 4)));
        cluster.max_delay = 60_000;
        cluster.loss_percent = Some(5);
        let base = cluster.scope("a").revision;
        // Either the change or the call comes first.
        let wait = cluster.rng.f64() * 0.15;
        let to = cluster.rng.bool().then(|| fields("batch", 2));
        cluster.observer.replies.clear();
        if cluster.rng.bool() {
            cluster.update_scopes(2, vec![change("a", base, to.clone())]);
            cluster.run(wait);
            cluster.admit(3, "a");
        } else {
            cluster.admit(3, "a");
            cluster.run(wait / 3.0);
            cluster.update_scopes(2, vec![change("a", base, to.clone())]);
        }
        let is_done = |cluster: &ScopeCluster| {
            cluster.scope("a").phase == ScopePhase::Settled && cluster.scope("a").revision != base
        };
        assert!(
            cluster.run_until(20.0, is_done),
            "seed {seed}: {:?} {:?} {:?}",
            cluster.scope("a"),
            cluster.answers,
            cluster.events.last()
        );
        cluster.run(2.0);
        let joint = cluster
            .log()
            .catalog()
            .transaction_result(2)
            .expect("a result")
            .revision;
        orders.extend(
            cluster
                .observer
                .replies
                .iter()
                .filter(|reply| reply.to == 3)
                .map(|reply| {
                    let (at, receiver) = (reply.revision, reply.receiver_revision);
                    (at < joint, receiver < joint, receiver < at)
                }),
        );
        let expected = to.map_or("Some(Unknown)", |_| "batch");
        assert_eq!(cluster.admitted_class(3, "a"), expected, "seed {seed}");
    }
    // The reply is of a revision before or after the change, and the receiver had reached the change or not.
    let all = [(true, true), (true, false), (false, true), (false, false)];
    let observed: BTreeSet<(bool, bool)> = orders.iter().map(|o| (o.0, o.1)).collect();
    assert_eq!(observed, all.into(), "{orders:?}");
}

#[test]
fn a_scope_removed_while_it_is_subscribed_to_is_gone_everywhere() {
    let mut cluster = ScopeCluster::with_scopes(5, 1, 9);
    cluster.set(1, "a", Some(fields("chat", 4)));
    for holder in 1..4 {
        assert_eq!(cluster.admitted_class(holder, "a"), "chat");
    }
    cluster.set(2, "a", None);
    cluster.run(1.0);
    for index in 1..5 {
        assert_eq!(cluster.admitted_class(index, "a"), "Some(Unknown)");
    }
    assert_eq!(cluster.log().catalog().get("a"), None, "no record is left");
    cluster.set(3, "a", Some(fields("bulk", 1)));
    cluster.run(1.0);
    assert_eq!(cluster.admitted_class(2, "a"), "bulk");
}

#[test]
fn an_isolated_subscriber_keeps_its_scopes_and_delays_only_these() {
    let mut cluster = ScopeCluster::with_scopes(6, 1, 4);
    cluster.set(1, "a", Some(fields("chat", 4)));
    cluster.set(2, "b", Some(fields("chat", 4)));
    assert_eq!(
        (
            cluster.admitted_class(4, "a"),
            cluster.admitted_class(2, "a")
        ),
        ("chat".into(), "chat".into())
    );
    cluster.isolate(4);
    cluster.run(2.0);
    let Some(Admission::Admit(isolated)) = cluster.admit(4, "a") else {
        panic!("the isolated front end stays active")
    };
    assert_eq!(
        (&isolated["class"], &isolated["lanes"]),
        (&Value::Text("chat".into()), &Value::Int(1))
    );
    assert_eq!(
        cluster.admit(4, "b"),
        Some(Admission::Wait),
        "an isolated front end can't subscribe to another scope"
    );
    cluster.set(3, "b", Some(fields("batch", 2)));
    cluster.set(4, "c", Some(fields("batch", 2)));
    let base = cluster.scope("a").revision;
    cluster.update_scopes(5, vec![change("a", base, Some(fields("bulk", 4)))]);
    cluster.run(12.0);
    assert_eq!(
        cluster.scope("a").fields,
        Some(fields("chat", 4)),
        "a change of its scope is reverted"
    );
    assert_eq!(class(cluster.admit(4, "a")), "chat");
    cluster.run(60.0);
    assert_eq!(
        cluster.admit(4, "a"),
        Some(Admission::Reject(RejectReason::NoSession)),
        "its session has expired"
    );
    cluster.set(6, "a", Some(fields("bulk", 4)));
    cluster.blocked_links.clear();
    cluster.run(5.0);
    assert_eq!(
        (
            cluster.admitted_class(4, "a"),
            cluster.admitted_class(4, "b")
        ),
        ("bulk".into(), "batch".into())
    );
}

#[test]
fn no_change_is_lost_or_repeated_when_the_leader_is_killed() {
    for seed in 0..6 {
        let mut cluster = ScopeCluster::with_scopes(7, 3, seed);
        cluster.set(10_000, "x", Some(fields("chat", 4)));
        for index in 0..7 {
            cluster.admitted_class(index, "x");
        }
        let all: Vec<u64> = (1..=200).collect();
        let update = |id: u64| {
            vec![change(
                &format!("f{id}"),
                Revision(0),
                Some(fields("chat", id as i64)),
            )]
        };
        all.iter()
            .for_each(|id| cluster.update_scopes(*id, update(*id)));
        let wait = cluster.rng.f64() * 0.6;
        cluster.run(wait);
        let killed = cluster.leader();
        cluster.nodes[killed] = None;
        assert!(
            cluster.run_until(10.0, |cluster| cluster.find_leader().is_some()),
            "seed {seed}: another leads"
        );
        // Requests without an outcome are repeated with the same id.
        let mut remaining: Vec<u64> = all.clone();
        for _ in 0..40 {
            cluster.run(1.0);
            let is_decided = |cluster: &ScopeCluster, id: u64| {
                cluster.log().catalog().transaction_result(id).is_some()
            };
            remaining.retain(|id| !is_decided(&cluster, *id));
            if remaining.is_empty() && cluster.log().catalog().unsettled().next().is_none() {
                break;
            }
            remaining
                .iter()
                .for_each(|id| cluster.update_scopes(*id, update(*id)));
        }
        assert!(
            remaining.is_empty(),
            "seed {seed}: {} changes have no outcome",
            remaining.len()
        );
        let catalog = cluster.log().catalog();
        for id in &all {
            let result = catalog.transaction_result(*id).expect("a result");
            assert_eq!(
                (result.joint, result.in_force + result.reverted),
                (0, 1),
                "seed {seed}: {id}"
            );
            let record = catalog.get(&format!("f{id}"));
            let there = record.and_then(|record| record.fields.clone());
            assert_eq!(
                there,
                (result.in_force == 1).then(|| fields("chat", *id as i64)),
                "seed {seed}: {id}"
            );
        }
    }
}

#[test]
fn a_joint_field_binds_all_lease_holders_before_it_is_in_force() {
    for seed in 0..40 {
        let mut cluster = ScopeCluster::with_scopes(12, 1, seed);
        cluster.set(1, "a", Some(fields("chat", 8)));
        (1..12).for_each(|n| assert_eq!(cluster.admitted_class(n, "a"), "chat"));
        cluster.max_delay = 150_000;
        cluster.loss_percent = Some(10);
        for (request, lanes) in [(2, 2), (3, 6), (4, 1)] {
            cluster.set(request, "a", Some(fields("chat", lanes)));
        }
    }
}
