//! Replicas that are killed, partitioned or lose unsynced writes commit the same order of entries, and one of them has a
//! leader lease again once a quorum is up.

mod cluster;
mod recorded;
mod scopes;

use cluster::{address, Cluster, Event};
use std::collections::BTreeSet;
use tansy_agreement::log::{LogEntry, Version};
use tansy_consensus::Replica;

#[test]
fn a_sole_voter_leads_at_once_and_recovers_from_its_disk() {
    let mut cluster = Cluster::new(1, 1);
    cluster.run(0.5);
    assert_eq!(cluster.leader(), Some(0));
    for number in 0..900 {
        cluster.propose(number);
        cluster.run(0.02);
    }
    let before = cluster.replicas[0]
        .as_ref()
        .and_then(Replica::log)
        .expect("a log")
        .state()
        .clone();
    assert!(
        before.in_force.version > Version(200),
        "{:?}",
        before.in_force.version
    );
    assert!(
        cluster.disks[0].saved.snapshot.is_some(),
        "a snapshot replaces the records"
    );
    cluster.kill(0);
    cluster.start(0);
    cluster.run(0.5);
    let log = cluster.replicas[0]
        .as_ref()
        .and_then(Replica::log)
        .expect("a log");
    assert_eq!(log.state(), &before);
    assert_eq!(cluster.leader(), Some(0));
}

#[test]
fn a_partitioned_leader_loses_its_lease_and_another_gets_one() {
    let mut cluster = Cluster::new(3, 2);
    cluster.run(3.0);
    let first = cluster.leader().expect("a leader");
    for other in 0..3 {
        if other != first {
            cluster
                .blocked_links
                .extend([(other, first), (first, other)]);
        }
    }
    cluster.run(0.7);
    assert!(
        cluster.replicas[first]
            .as_ref()
            .is_some_and(|replica| replica.leader_lease(cluster.now).is_none()),
        "the isolated leader's lease expires"
    );
    cluster.run(3.0);
    let second = cluster.leader().expect("another leader");
    assert_ne!(first, second);
    for number in 0..10 {
        cluster.propose(number);
        cluster.run(0.1);
    }
    cluster.blocked_links.clear();
    cluster.run(3.0);
    let state = |index: usize| {
        cluster.replicas[index]
            .as_ref()
            .and_then(Replica::log)
            .map(|log| log.state().clone())
    };
    assert_eq!(state(first), state(second));
}

#[test]
fn killed_and_partitioned_replicas_commit_the_same_order() {
    for seed in 0..60 {
        let size = [3, 5, 7][seed as usize % 3];
        let mut cluster = Cluster::new(size, seed);
        cluster.run(3.0);
        for round in 0..6 {
            for number in 0..cluster.rng.i64(1..6) {
                cluster.propose(round * 10 + number);
                cluster.run(0.03);
            }
            match cluster.rng.u32(0..3) {
                0 => {
                    let dead: Vec<usize> = (0..size).filter(|_| cluster.rng.bool()).collect();
                    dead.iter().for_each(|index| cluster.kill(*index));
                    for index in dead {
                        let wait = cluster.rng.f64();
                        cluster.run(wait);
                        cluster.start(index);
                    }
                }
                1 => {
                    let (from, to) = (cluster.rng.usize(0..size), cluster.rng.usize(0..size));
                    cluster.blocked_links.extend([(from, to)]);
                    let wait = cluster.rng.f64() * 3.0;
                    cluster.run(wait);
                    cluster.blocked_links.clear();
                }
                _ => {
                    let side: Vec<usize> = (0..size).filter(|_| cluster.rng.bool()).collect();
                    for from in 0..size {
                        let crosses = |to: &usize| side.contains(&from) != side.contains(to);
                        cluster
                            .blocked_links
                            .extend((0..size).filter(crosses).map(|to| (from, to)));
                    }
                    let wait = cluster.rng.f64() * 3.0;
                    cluster.run(wait);
                    cluster.blocked_links.clear();
                }
            }
        }
        cluster.run(6.0);
        assert!(!cluster.diverged, "seed {seed}: replicas diverged");
        assert!(
            cluster.leader().is_some(),
            "seed {seed}: no replica has a leader lease"
        );
        let states: BTreeSet<String> = cluster
            .replicas
            .iter()
            .flatten()
            .map(|replica| format!("{:?}", replica.log().map(|log| log.state())))
            .collect();
        assert_eq!(states.len(), 1, "seed {seed}: {states:?}");
    }
}

#[test]
fn acknowledging_unsynced_writes_is_detected() {
    let diverged = (0..300).any(|seed| {
        let mut cluster = Cluster::new(3, seed);
        cluster.acknowledges_unsynced = true;
        cluster.run(2.0);
        for number in 0..30 {
            cluster.propose(number);
            cluster.run(0.02);
            if number % 5 == 4 {
                let dead: Vec<usize> = (0..3).filter(|_| cluster.rng.u32(0..3) > 0).collect();
                dead.iter().for_each(|index| cluster.kill(*index));
                dead.iter().for_each(|index| cluster.start(*index));
                let wait = 1.0 + cluster.rng.f64();
                cluster.run(wait);
            }
        }
        cluster.diverged
    });
    assert!(diverged);
}

#[test]
fn a_failed_disk_stops_only_its_replica() {
    let mut cluster = Cluster::new(3, 9);
    cluster.run(3.0);
    let leader = cluster.leader().expect("a leader");
    cluster.call(leader, |replica, _, effects| {
        replica.on_persisted(false, effects)
    });
    assert!(cluster.replicas[leader]
        .as_ref()
        .is_some_and(Replica::is_failed));
    cluster.run(5.0);
    assert!(
        cluster.leader().is_some_and(|other| other != leader),
        "another replica leads"
    );
}

#[test]
fn corrupted_messages_do_not_crash_a_replica() {
    let mut cluster = Cluster::with_voters(4, 3, 5);
    cluster.run(2.0);
    let mut messages = Vec::new();
    for number in 0..400 {
        let voter_change = match number {
            100 => Some(LogEntry::BeginVoterReplacement {
                new: 4,
                address: address(4),
                replaced: 3,
            }),
            200 => Some(LogEntry::EnterJointConsensus {
                new: 4,
                replaced: 3,
            }),
            300 => Some(LogEntry::CompleteVoterReplacement { new: 4 }),
            _ => None,
        };
        match (voter_change, cluster.leader()) {
            (Some(entry), Some(leader)) => cluster.call(leader, |replica, _, effects| {
                replica.propose(entry, effects);
            }),
            _ => cluster.propose(number),
        }
        cluster.run(0.01);
        messages.extend(cluster.events.values().filter_map(|event| match event {
            Event::Message(to, from, bytes) => Some((*to, *from, bytes.clone())),
            Event::Synced(..) => None,
        }));
    }
    assert!(messages.len() > 300, "{}", messages.len());
    let voters = cluster.replicas[0]
        .as_ref()
        .and_then(Replica::log)
        .map(|log| log.voters().keys().copied().collect::<Vec<_>>());
    assert_eq!(
        voters,
        Some(vec![1, 2, 4]),
        "the messages include those of a voter replacement"
    );
    for round in 0..60_000 {
        let (to, from, mut bytes) = messages[round % messages.len()].clone();
        for _ in 0..cluster.rng.usize(1..4) {
            let at = cluster.rng.usize(0..bytes.len());
            match cluster.rng.u32(0..3) {
                0 => bytes.truncate(at.max(1)),
                1 => bytes.insert(at, cluster.rng.u8(..)),
                _ => bytes[at] = cluster.rng.u8(..),
            }
        }
        cluster.call(to, |replica, _, effects| {
            replica.on_message(from, &bytes, effects)
        });
        cluster.queue.clear();
        cluster.events.clear();
    }
}
