//! Whom one asks for a lease: the order of names is the same however they came and went.

use std::collections::BTreeSet;
use tansy_agreement::lease_tree::{LeaseTopology, RendezvousOrder, FAN_OUT};

#[test]
fn an_order_kept_is_the_order_made_anew() {
    let mut rng = fastrand::Rng::with_seed(1);
    let (mut kept, mut names) = (RendezvousOrder::default(), BTreeSet::new());
    for n in 0..3000 {
        let name = rng.u64(0..200);
        let grows = rng.f64() < if n < 1500 { 0.7 } else { 0.3 };
        let changed = if grows {
            names.insert(name)
        } else {
            names.remove(&name)
        };
        assert_eq!(
            if grows {
                kept.insert(name)
            } else {
                kept.remove(name)
            },
            changed
        );
        assert_eq!(kept, names.iter().copied().collect::<RendezvousOrder>());
        assert_eq!(
            (kept.len(), kept.is_empty()),
            (names.len(), names.is_empty())
        );
        let seat = rng.u64(0..220);
        let (of, new) = (
            LeaseTopology::with_order(seat, kept.clone()),
            LeaseTopology::new(seat, names.iter().copied()),
        );
        assert_eq!(of, new);
        // The seat counts as there, known or not.
        assert_eq!(
            of,
            LeaseTopology::new(seat, names.iter().copied().chain([seat]))
        );
        assert_ne!(of, LeaseTopology::new(seat + 1, names.iter().copied()));
        let other = (seat + 1..)
            .find(|n| !names.contains(n))
            .expect("a name that is not there");
        assert_ne!(
            of,
            LeaseTopology::new(seat, names.iter().copied().chain([other]))
        );
    }
}

#[test]
fn all_find_the_seat_and_none_has_more_children_than_its_part() {
    for many in [1, 2, 8, 9, 10, 73, 74, 500] {
        for seat in [1, many / 2 + 1, many, many + 5] {
            let view = LeaseTopology::new(seat, 1..=many);
            let mut children = std::collections::BTreeMap::new();
            for me in (1..=many).filter(|n| *n != seat) {
                let parent = view.parent(me, 0).expect("one that is there has a parent");
                *children.entry(parent).or_insert(0) += 1;
                assert_eq!(view.parent(me, u32::MAX), Some(seat));
                // A choice further up is the parent's parent.
                if parent != seat {
                    assert_eq!(view.parent(me, 1), view.parent(parent, 0));
                }
            }
            assert!(
                children.values().all(|c| *c <= FAN_OUT),
                "{many} under {seat}: {children:?}"
            );
            assert_eq!(view.parent(seat, 0), None);
            assert_eq!(view.parent(many + 9, 0), None);
        }
    }
}
