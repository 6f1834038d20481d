//! The topology of the lease tree: the order of names depends only on the set of names, and every member's ancestors
//! lead to the leader.

use std::collections::{BTreeMap, BTreeSet};
use tansy_agreement::lease_tree::{LeaseTopology, RendezvousOrder, FAN_OUT};

#[test]
fn a_maintained_order_equals_a_rebuilt_one() {
    let mut rng = fastrand::Rng::with_seed(1);
    let (mut order, mut names) = (RendezvousOrder::default(), BTreeSet::new());
    for step in 0..3000 {
        let name = rng.u64(0..200);
        let inserts = rng.f64() < if step < 1500 { 0.7 } else { 0.3 };
        let changed = if inserts {
            names.insert(name)
        } else {
            names.remove(&name)
        };
        assert_eq!(
            if inserts {
                order.insert(name)
            } else {
                order.remove(name)
            },
            changed
        );
        assert_eq!(order, names.iter().copied().collect::<RendezvousOrder>());
        assert_eq!(
            (order.len(), order.is_empty()),
            (names.len(), names.is_empty())
        );
        let leader = rng.u64(0..220);
        let (maintained, rebuilt) = (
            LeaseTopology::with_order(leader, order.clone()),
            LeaseTopology::new(leader, names.iter().copied()),
        );
        assert_eq!(maintained, rebuilt);
        // The leader counts as a member whether or not it is in the order.
        assert_eq!(
            maintained,
            LeaseTopology::new(leader, names.iter().copied().chain([leader]))
        );
        assert_ne!(
            maintained,
            LeaseTopology::new(leader + 1, names.iter().copied())
        );
        let other = (leader + 1..)
            .find(|n| !names.contains(n))
            .expect("a name that is not in the order");
        assert_ne!(
            maintained,
            LeaseTopology::new(leader, names.iter().copied().chain([other]))
        );
    }
}

#[test]
fn every_member_reaches_the_leader_and_none_exceeds_the_fan_out() {
    for count in [1, 2, 8, 9, 10, 73, 74, 500] {
        for leader in [1, count / 2 + 1, count, count + 5] {
            let topology = LeaseTopology::new(leader, 1..=count);
            let mut children = BTreeMap::new();
            for name in (1..=count).filter(|n| *n != leader) {
                let parent = topology
                    .ancestor(name, 0)
                    .expect("a known member has a parent");
                *children.entry(parent).or_insert(0) += 1;
                assert_eq!(topology.ancestor(name, u32::MAX), Some(leader));
                // The next level is the parent's parent.
                if parent != leader {
                    assert_eq!(topology.ancestor(name, 1), topology.ancestor(parent, 0));
                }
            }
            assert!(
                children.values().all(|count| *count <= FAN_OUT),
                "{count} under {leader}: {children:?}"
            );
            assert_eq!(topology.ancestor(leader, 0), None);
            assert_eq!(topology.ancestor(count + 9, 0), None);
        }
    }
}
