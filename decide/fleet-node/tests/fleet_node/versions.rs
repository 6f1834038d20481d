//! Changes of versions under faults of front ends and of the only voter.

use crate::cluster::{address, id};
use crate::version_cluster::{fields, VersionCluster};
use tansy_agreement::log::{ApplyOutcome, EntryRejection, LogEntry, Version};
use tansy_fleet_node::{FleetEvent, RequestRejection};

#[test]
fn front_ends_that_know_only_the_voter_find_each_other_and_change_versions() {
    let mut cluster = VersionCluster::with_one_voter(20);
    cluster.run(5.0);
    assert_eq!(cluster.versions_in_force(), vec![Some(1); 20]);
    assert!(
        cluster
            .nodes
            .iter()
            .flatten()
            .all(|node| node.other_members().count() == 19),
        "each knows all others"
    );
    assert_eq!(cluster.log().roster().count(), 20);
    cluster.propose(9, 1, fields("cell", 2));
    cluster.run(2.0);
    assert_eq!(*cluster.answer(9), Ok(ApplyOutcome::Announced(Version(2))));
    assert_eq!(
        cluster.versions_in_force(),
        vec![Some(2); 20],
        "{:?}",
        cluster.events.last()
    );
    // A repeated proposal is a duplicate. One with a stale base, or sent to a front end that does not lead, is rejected.
    cluster.propose(9, 1, fields("cell", 2));
    cluster.propose(10, 1, fields("all", 2));
    cluster.run(0.1);
    assert_eq!(*cluster.answer(9), Ok(ApplyOutcome::Duplicate(Version(2))));
    assert_eq!(
        *cluster.answer(10),
        Err(RequestRejection::Log(EntryRejection::StaleBase {
            latest: Version(2)
        }))
    );
    let entry = LogEntry::Abandon {
        version: Version(2),
    };
    cluster.call(3, |node, now, commands| {
        node.request(now, 11, entry, commands)
    });
    assert_eq!(
        *cluster.answer(11),
        Err(RequestRejection::NotLeader { leader: address(0) })
    );
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one sequence of events, read from top to bottom"
)]
fn an_isolated_front_end_delays_only_strict_changes_until_its_session_expires() {
    let mut cluster = VersionCluster::with_one_voter(6);
    cluster.run(5.0);
    cluster.isolate(4);
    cluster.run(3.0);
    let active = |cluster: &VersionCluster| {
        let active_state = cluster.nodes[4]
            .as_ref()
            .map(|node| node.active_state(cluster.now))
            .expect("the node runs");
        (
            active_state.lease_remaining > 0,
            active_state.session_remaining > 0,
            active_state.state.map(|s| s.in_force.version.0),
        )
    };
    assert_eq!(
        active(&cluster),
        (false, true, Some(1)),
        "strict fields stay in effect"
    );
    cluster.propose(1, 1, fields("zone", 2));
    cluster.run(3.0);
    assert_eq!(
        cluster.versions_in_force()[..4],
        vec![Some(2); 4],
        "a joint change does not wait for the isolated front end"
    );
    cluster.propose(2, 2, fields("cell", 2));
    cluster.run(20.0);
    assert_eq!(
        cluster.log().state().in_force.version,
        Version(2),
        "a strict change waits for the isolated front end"
    );
    let blockers = cluster.nodes[0]
        .as_ref()
        .and_then(|node| node.change_blockers(cluster.now))
        .expect("a change is in progress");
    assert_eq!(
        blockers.sessions.iter().map(|m| m.id).collect::<Vec<_>>(),
        [id(4)]
    );
    assert!(!blockers.leases);
    cluster.run(45.0);
    assert_eq!(
        cluster.versions_in_force()[..4],
        vec![Some(3); 4],
        "its session has expired by now"
    );
    assert_eq!(active(&cluster), (false, false, Some(1)));
    // The front end reaches only the voter again. It must not get a session before it has reached the current revision.
    cluster
        .blocked_links
        .retain(|(a, b)| !(*a == 4 && *b == 0 || *a == 0 && *b == 4));
    cluster.run(5.0);
    let (_, has_session, version) = active(&cluster);
    assert!(
        !has_session || version == Some(3),
        "the front end must not apply version 1 again"
    );
    cluster.blocked_links.clear();
    cluster.run(5.0);
    assert_eq!(cluster.versions_in_force(), vec![Some(3); 6]);
}

#[test]
fn a_restarted_front_end_is_not_waited_for() {
    let mut cluster = VersionCluster::with_one_voter(6);
    cluster.run(5.0);
    cluster.nodes[3] = None;
    cluster.run(3.0);
    cluster.propose(1, 1, fields("cell", 4));
    cluster.run(5.0);
    assert_eq!(cluster.log().state().in_force.version, Version(1));
    cluster.start(3);
    cluster.run(5.0);
    assert_eq!(cluster.versions_in_force(), vec![Some(2); 6]);
    // Changes do not wait for a front end that leaves or that an operator removes.
    cluster.call(1, |node, now, commands| node.leave(now, commands));
    cluster.run(0.1);
    cluster.nodes[1] = None;
    cluster.run(2.0);
    assert_eq!(cluster.log().roster().count(), 5);
    cluster.nodes[5] = None;
    cluster.run(3.0);
    cluster.propose(2, 2, fields("all", 4));
    cluster.run(5.0);
    assert_eq!(cluster.log().state().in_force.version, Version(2));
    let member = cluster
        .log()
        .roster()
        .find(|(m, _)| m.id == id(5))
        .map(|(m, _)| m)
        .expect("the member is on the roster");
    cluster.call(0, |node, now, commands| {
        node.request(now, 3, LogEntry::Leave { member }, commands)
    });
    cluster.run(3.0);
    assert_eq!(cluster.versions_in_force()[2..5], vec![Some(3); 3]);
}

#[test]
fn a_joint_strict_change_is_abandoned_after_a_timeout() {
    let mut cluster = VersionCluster::with_one_voter(5);
    cluster.run(5.0);
    cluster.propose(1, 1, fields("cell", 4));
    // One front end is isolated once the change is joint at the voter.
    while cluster.log().state().revision.0 < 3 {
        cluster.run(0.002);
    }
    cluster.isolate(2);
    cluster.run(14.0);
    assert!(cluster.events.iter().any(
        |(n, event)| *n == 0 && matches!(event, FleetEvent::ChangeAbandoned { version: 2, .. })
    ));
    cluster.blocked_links.clear();
    cluster.run(5.0);
    assert_eq!(cluster.versions_in_force(), vec![Some(1); 5]);
    cluster.propose(2, 1, fields("cell", 4));
    cluster.run(3.0);
    assert_eq!(cluster.versions_in_force(), vec![Some(3); 5]);
}

#[test]
fn a_voter_restarted_in_a_strict_change_completes_it() {
    for step in [2, 3] {
        let mut cluster = VersionCluster::with_one_voter(6);
        cluster.run(5.0);
        cluster.propose(1, 1, fields("cell", 4));
        while cluster.log().state().revision.0 < step {
            cluster.run(0.001);
        }
        // All front ends have reported their revision to the voter, which loses the reports when it is killed.
        cluster.run(0.02);
        cluster.nodes[0] = None;
        cluster.run(0.5);
        cluster.start(0);
        cluster.run(5.0);
        assert_eq!(
            cluster.versions_in_force(),
            vec![Some(2); 6],
            "killed at step {step}"
        );
    }
}

#[test]
fn a_restarted_voter_waits_for_the_members_on_its_disk() {
    let mut cluster = VersionCluster::with_one_voter(5);
    cluster.run(5.0);
    cluster.isolate(4);
    cluster.nodes[0] = None;
    cluster.run(3.0);
    assert!(
        cluster
            .versions_in_force()
            .iter()
            .skip(1)
            .all(Option::is_none),
        "no front end has a lease without the voter"
    );
    cluster.start(0);
    cluster.run(3.0);
    cluster.propose(1, 1, fields("cell", 4));
    cluster.run(20.0);
    assert_eq!(
        cluster.log().state().in_force.version,
        Version(1),
        "the voter waits for the member that it has not heard from since its restart"
    );
    cluster.blocked_links.clear();
    cluster.run(5.0);
    assert_eq!(cluster.versions_in_force(), vec![Some(2); 5]);
}

#[test]
fn a_full_disk_stops_changes_and_nothing_else() {
    let mut cluster = VersionCluster::with_one_voter(5);
    cluster.run(5.0);
    cluster.is_disk_full = true;
    cluster.propose(1, 1, fields("cell", 4));
    cluster.propose(2, 1, fields("all", 4));
    cluster.run(3.0);
    for request in [1, 2] {
        assert!(
            matches!(cluster.answer(request), Err(RequestRejection::Storage(cause)) if cause == "disk full"),
            "{request}"
        );
    }
    assert!(cluster
        .events
        .iter()
        .any(|(index, event)| *index == 0 && matches!(event, FleetEvent::StorageFailed { .. })));
    cluster.run(30.0);
    assert_eq!(
        cluster.versions_in_force(),
        vec![Some(1); 5],
        "leases and sessions are still renewed"
    );
    cluster.is_disk_full = false;
    cluster.start(0);
    cluster.run(5.0);
    cluster.propose(3, 1, fields("cell", 4));
    cluster.run(4.0);
    assert_eq!(cluster.versions_in_force(), vec![Some(2); 5]);
}

#[test]
fn front_ends_killed_in_a_change_converge_to_one_version() {
    for seed in 0..20 {
        let mut cluster = VersionCluster::with_one_voter(10);
        cluster.rng = fastrand::Rng::with_seed(seed);
        cluster.run(5.0);
        cluster.propose(1, 1, fields("cell", 2));
        let wait = cluster.rng.f64() * 0.5;
        cluster.run(wait);
        let killed: Vec<usize> = (0..10).filter(|_| cluster.rng.f64() < 0.7).collect();
        killed.iter().for_each(|n| cluster.nodes[*n] = None);
        let wait = cluster.rng.f64() * 2.0;
        cluster.run(wait);
        killed.iter().for_each(|n| cluster.start(*n));
        cluster.run(15.0);
        let version = cluster.log().state().in_force.version.0;
        assert_eq!(
            cluster.versions_in_force(),
            vec![Some(version); 10],
            "seed {seed}: {:?}",
            cluster.log().state()
        );
        assert!(!cluster.log().has_version_change(), "seed {seed}");
    }
}
