//! Several voters: the loss of one, a partitioned leader, and the replacement of voters.

use crate::cluster::{address, id};
use crate::version_cluster::{fields, VersionCluster};
use tansy_agreement::log::{ApplyOutcome, EntryRejection, LogEntry, Version};
use tansy_fleet_node::{FleetEvent, RequestRejection};

#[test]
fn with_three_voters_the_loss_of_any_one_stops_nothing() {
    for killed in 0..3 {
        let mut cluster = VersionCluster::with_voters(9, 3);
        cluster.run(6.0);
        assert_eq!(cluster.versions_in_force(), vec![Some(1); 9]);
        cluster.nodes[killed] = None;
        cluster.run(6.0);
        let others = |cluster: &VersionCluster| {
            let mut all = cluster.versions_in_force();
            all.remove(killed);
            all
        };
        assert_eq!(others(&cluster), vec![Some(1); 8], "voter {killed} is down");
        cluster.propose(1, 1, fields("zone", 2));
        cluster.run(3.0);
        assert_eq!(
            others(&cluster),
            vec![Some(2); 8],
            "a joint field changes without voter {killed}"
        );
        cluster.start(killed);
        cluster.run(6.0);
        cluster.propose(2, 2, fields("cell", 2));
        cluster.run(4.0);
        assert_eq!(
            cluster.versions_in_force(),
            vec![Some(3); 9],
            "a strict field changes once voter {killed} is back"
        );
    }
}

#[test]
fn an_isolated_leader_applies_nothing_that_the_others_have_replaced() {
    let mut cluster = VersionCluster::with_voters(9, 3);
    cluster.run(6.0);
    let former = cluster.leader();
    cluster.isolate(former);
    cluster.run(8.0);
    let active = cluster.nodes[former]
        .as_ref()
        .map(|node| node.active_state(cluster.now))
        .map(|a| (a.lease_remaining > 0, a.session_remaining > 0));
    assert_eq!(
        active,
        Some((false, true)),
        "its lease has expired, its session has not"
    );
    let mut new = cluster.nodes.iter().enumerate().filter(|(index, node)| {
        *index != former && node.as_ref().is_some_and(|node| node.log().is_some())
    });
    let new = new.next().expect("another leader").0;
    let entry = LogEntry::Propose {
        id: 5,
        base: Version(1),
        fields: fields("cell", 2),
        reason: String::new(),
    };
    cluster.call(new, |node, now, commands| {
        node.request(now, 5, entry, commands)
    });
    cluster.run(20.0);
    assert_eq!(
        cluster.log().state().in_force.version,
        Version(1),
        "a strict change waits for the former leader"
    );
    cluster.blocked_links.clear();
    cluster.run(8.0);
    assert_eq!(cluster.versions_in_force(), vec![Some(2); 9]);
}

impl VersionCluster {
    fn replace(&mut self, request: u64, new: usize, replaced: usize) {
        let entry = LogEntry::BeginVoterReplacement {
            new: id(new),
            address: address(new),
            replaced: id(replaced),
        };
        self.request(request, entry);
    }

    fn voter_indices(&self) -> Vec<usize> {
        let voters = self.log().voters();
        voters.keys().map(|id| *id as usize - 1).collect()
    }
}

#[test]
fn all_voters_are_replaced_and_the_new_ones_carry_on_alone() {
    let mut cluster = VersionCluster::with_disks(9, 3, 6);
    cluster.run(6.0);
    // A dead voter is replaced first, then two leaders one after another.
    let dead = (0..3).find(|n| *n != cluster.leader()).expect("two others");
    cluster.nodes[dead] = None;
    cluster.run(3.0);
    cluster.replace(1, 3, dead);
    cluster.run(5.0);
    assert_eq!(*cluster.answer(1), Ok(ApplyOutcome::VotersChanged));
    assert!(
        cluster.voter_indices().contains(&3) && !cluster.voter_indices().contains(&dead),
        "{:?}",
        cluster.voter_indices()
    );
    for new in [4, 5] {
        let former = cluster.leader();
        cluster.replace(new as u64, new, former);
        cluster.run(6.0);
        assert!(
            cluster.voter_indices().contains(&new) && !cluster.voter_indices().contains(&former),
            "{:?}",
            cluster.voter_indices()
        );
        assert_ne!(
            cluster.leader(),
            former,
            "a leader that is replaced transfers leadership first"
        );
    }
    // The new voters work without the replaced ones, and recover from their disks.
    let voters = cluster.voter_indices();
    (0..3)
        .filter(|n| !voters.contains(n))
        .for_each(|n| cluster.nodes[n] = None);
    cluster.propose(7, 1, fields("zone", 2));
    cluster.run(3.0);
    assert_eq!(cluster.log().state().in_force.version, Version(2));
    voters.iter().for_each(|n| cluster.nodes[*n] = None);
    cluster.run(1.0);
    voters.iter().for_each(|n| cluster.start(*n));
    cluster.run(6.0);
    assert_eq!(
        cluster.voter_indices(),
        voters,
        "a voter recovers the voters from its disk, not from its configuration"
    );
    cluster.propose(8, 2, fields("zone", 3));
    cluster.run(5.0);
    let versions = cluster.versions_in_force();
    assert!(
        voters.iter().all(|n| versions[*n] == Some(3)),
        "{versions:?}"
    );
}

#[test]
fn the_only_voter_is_replaced() {
    let mut cluster = VersionCluster::with_disks(4, 1, 2);
    cluster.run(5.0);
    cluster.replace(1, 1, 0);
    cluster.run(5.0);
    assert_eq!((cluster.voter_indices(), cluster.leader()), (vec![1], 1));
    cluster.nodes[0] = None;
    cluster.propose(2, 1, fields("zone", 2));
    cluster.run(3.0);
    assert_eq!(cluster.versions_in_force()[1..], [Some(2); 3]);
}

#[test]
fn a_learner_that_does_not_catch_up_does_not_become_a_voter() {
    let mut cluster = VersionCluster::with_disks(6, 3, 3);
    cluster.run(6.0);
    // Front end 4 has no disk and therefore no replica of the log.
    cluster.replace(1, 4, 0);
    cluster.replace(2, 5, 1);
    cluster.run(5.0);
    assert_eq!(
        *cluster.answer(2),
        Err(RequestRejection::Log(EntryRejection::ReplacementInProgress)),
        "one replacement at a time"
    );
    cluster.propose(3, 1, fields("zone", 2));
    cluster.run(4.0);
    assert_eq!(
        cluster.versions_in_force(),
        vec![Some(2); 6],
        "a learner delays nothing"
    );
    cluster.run(30.0);
    assert!(cluster.events.iter().any(
        |(_, event)| matches!(event, FleetEvent::VoterReplacementAbandoned { new } if *new == id(4))
    ));
    assert_eq!(
        (cluster.voter_indices(), cluster.log().voter_replacement()),
        (vec![0, 1, 2], None)
    );
    cluster.replace(4, 0, 1);
    cluster.replace(5, 4, 4);
    cluster.run(0.1);
    assert_eq!(
        *cluster.answer(4),
        Err(RequestRejection::Log(EntryRejection::AlreadyVoter))
    );
    assert_eq!(
        *cluster.answer(5),
        Err(RequestRejection::Log(EntryRejection::NotVoter))
    );
}
