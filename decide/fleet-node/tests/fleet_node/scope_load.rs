//! Many scopes: bursts of changes, memory of a front end, and the bound on its subscriptions.

use crate::scope_cluster::{change, fields, ScopeCluster};
use tansy_agreement::log::Revision;
use tansy_agreement::scope::{ScopePhase, MAX_HISTORY_BYTES};
use tansy_agreement::subscription::{Admission, MAX_SUBSCRIPTIONS};
use tansy_fleet_node::{FleetEvent, FleetNode};

#[test]
fn a_burst_of_changes_comes_into_force_in_few_revisions() {
    let mut cluster = ScopeCluster::with_scopes(8, 1, 5);
    cluster.set(10_000, "x", Some(fields("chat", 4)));
    let before = cluster.log().state().revision;
    // 500 changes within a minute, 250 of them within the first second.
    let mut called = 0;
    for number in 0..500u64 {
        cluster.update_scopes(
            number + 1,
            vec![change(
                &format!("f{number}"),
                Revision(0),
                Some(fields("chat", 1 + number as i64)),
            )],
        );
        if number % 25 == 0 {
            let at = 1 + (number as usize / 25) % 7;
            cluster.admit(at, &format!("f{number}"));
            called += 1;
        }
        cluster.run(if number < 250 { 0.004 } else { 0.236 });
    }
    cluster.run(5.0);
    let rejected: Vec<_> = cluster
        .answers
        .values()
        .flatten()
        .filter(|a| a.is_err())
        .collect();
    assert!(rejected.is_empty(), "{:?}", rejected.first());
    assert_eq!(cluster.log().catalog().all().len(), 501);
    assert!(cluster
        .log()
        .catalog()
        .all()
        .values()
        .all(|s| s.phase == ScopePhase::Settled));
    let revisions = cluster.log().state().revision.0 - before.0;
    assert!(
        revisions < 700,
        "{revisions} revisions of {} and more",
        500 * 2 + called
    );
    for number in (0..500).step_by(25) {
        assert_eq!(
            cluster.admitted_class(1 + (number / 25) % 7, &format!("f{number}")),
            "chat"
        );
    }
}

#[test]
fn a_subscriber_to_100_of_340_000_scopes_uses_memory_for_100() {
    let mut cluster = ScopeCluster::with_scopes(3, 1, 6);
    let name = |number: usize| format!("function-{number:06}");
    const ALL: usize = 340_000;
    const PART: usize = 2_000;
    for (request, from) in (0..ALL).step_by(PART).enumerate() {
        let one = |number| {
            change(
                &name(number),
                Revision(0),
                Some(fields("chat", 1 + number as i64 % 8)),
            )
        };
        cluster.update_scopes(request as u64 + 1, (from..from + PART).map(one).collect());
        cluster.run(0.4);
    }
    cluster.run(10.0);
    assert_eq!(
        cluster.log().catalog().all().len(),
        ALL,
        "{:?}",
        cluster.answers.values().flatten().find(|a| a.is_err())
    );
    for call in 0..100 {
        assert_eq!(cluster.admitted_class(2, &name(call * 3_000)), "chat");
    }
    let node = cluster.nodes[2].as_ref().expect("the node runs");
    assert_eq!(node.subscription_count(), 100);
    let history = node
        .active_state(cluster.now)
        .state
        .map_or(0, |s| s.history.memory_bytes());
    assert!(history <= MAX_HISTORY_BYTES, "{history}");
    assert!(
        node.subscription_bytes() - history < 100 * 500,
        "{}",
        node.subscription_bytes()
    );
    let scope = name(3_000);
    cluster.set(9_999, &scope, Some(fields("batch", 1)));
    cluster.run(1.0);
    assert_eq!(cluster.admitted_class(2, &scope), "batch");
}

#[test]
fn subscriptions_are_bounded_and_evictions_are_reported() {
    let mut cluster = ScopeCluster::with_scopes(3, 1, 7);
    let one = |n: usize| change(&format!("f{n}"), Revision(0), Some(fields("chat", 1)));
    cluster.update_scopes(1, (0..2_500).map(one).collect());
    cluster.run(2.0);
    cluster.update_scopes(2, (2_500..5_000).map(one).collect());
    cluster.run(3.0);
    assert_eq!(cluster.log().catalog().all().len(), 5_000);
    for number in 0..5_000 {
        let admission = cluster.admit(2, &format!("f{number}"));
        assert_ne!(admission, Some(Admission::Unscoped));
        cluster.run(0.001);
    }
    cluster.run(1.0);
    assert_eq!(cluster.admitted_class(2, "f4999"), "chat");
    let subscribed = cluster.nodes[2]
        .as_ref()
        .map(FleetNode::subscription_count)
        .expect("the node runs");
    assert!(
        subscribed > MAX_SUBSCRIPTIONS / 2 && subscribed <= MAX_SUBSCRIPTIONS,
        "{subscribed}"
    );
    assert!(cluster.events.iter().any(|(n, event)| *n == 2
        && matches!(event, FleetEvent::SubscriptionsEvicted { total, .. } if *total > 0)));
    // The least recently called scopes were evicted first, and can be requested again.
    assert_eq!(cluster.admitted_class(2, "f0"), "chat");
}
