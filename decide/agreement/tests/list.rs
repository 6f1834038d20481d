//! Workers that leave: told in any order and any number of times, by anyone, to the same; never taken back.

use proptest::prelude::*;
use tansy_agreement::endpoints::{
    DrainTable, Endpoint, EndpointRecord, EndpointState, DRAIN_RETENTION,
};

fn worker(n: u8) -> Endpoint {
    Endpoint {
        name: format!("w{n}"),
        address: format!("10.0.0.{n}:1"),
    }
}

fn lines() -> impl Strategy<Value = Vec<EndpointRecord>> {
    let standing = prop_oneof![
        Just(EndpointState::Ready),
        Just(EndpointState::Draining),
        Just(EndpointState::Gone)
    ];
    let line = (0u8..4, 0u64..4, standing).prop_map(|(n, incarnation, standing)| EndpointRecord {
        endpoint: worker(n),
        incarnation,
        state: standing,
    });
    prop::collection::vec(line, 0..20)
}

fn told(lines: &[EndpointRecord]) -> Vec<EndpointRecord> {
    let mut leaving = DrainTable::default();
    leaving.merge(0, lines.iter().cloned());
    leaving.records().collect()
}

proptest! {
    #[test]
    fn the_order_and_the_number_of_times_change_nothing(all in lines(), seed in any::<u64>()) {
        let mut other: Vec<EndpointRecord> = all.iter().chain(&all).cloned().collect();
        fastrand_shuffle(&mut other, seed);
        prop_assert_eq!(told(&all), told(&other));
    }

    #[test]
    fn what_is_told_on_is_all_that_another_needs(all in lines()) {
        let (mut first, mut second) = (DrainTable::default(), DrainTable::default());
        for line in &all {
            let new = first.merge(0, [line.clone()]);
            second.merge(0, new);
        }
        prop_assert_eq!(first.records().collect::<Vec<_>>(), second.records().collect::<Vec<_>>());
        prop_assert!(first.merge(0, all).is_empty(), "told again it is no news");
    }

    #[test]
    fn a_drain_holds_for_its_process_whatever_a_list_says(all in lines()) {
        let mut leaving = DrainTable::default();
        leaving.merge(0, all.clone());
        for line in all.iter().filter(|l| l.state != EndpointState::Ready) {
            let taken = leaving.state_of(&line.endpoint, line.incarnation, EndpointState::Ready);
            prop_assert!(taken >= line.state, "{:?} is taken for {:?}", line, taken);
            // Of a later process nothing was said that binds it, unless it was told of itself.
            let later = leaving.state_of(&line.endpoint, 9, EndpointState::Ready);
            prop_assert_eq!(later, EndpointState::Ready);
        }
    }
}

fn fastrand_shuffle(lines: &mut [EndpointRecord], mut seed: u64) {
    for n in (1..lines.len()).rev() {
        seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        lines.swap(n, (seed >> 33) as usize % (n + 1));
    }
}

#[test]
fn an_older_process_is_gone_once_a_later_one_was_told_of() {
    let mut leaving = DrainTable::default();
    let line = |incarnation, standing| EndpointRecord {
        endpoint: worker(1),
        incarnation,
        state: standing,
    };
    leaving.merge(0, [line(2, EndpointState::Draining)]);
    assert_eq!(
        leaving.state_of(&worker(1), 1, EndpointState::Ready),
        EndpointState::Gone
    );
    assert_eq!(
        leaving.state_of(&worker(1), 2, EndpointState::Ready),
        EndpointState::Draining
    );
    assert_eq!(
        leaving.state_of(&worker(1), 2, EndpointState::Gone),
        EndpointState::Gone
    );
    assert_eq!(
        leaving.state_of(&worker(1), 3, EndpointState::Ready),
        EndpointState::Ready
    );
    // The same name elsewhere is another worker.
    let moved = Endpoint {
        address: "10.0.0.9:1".into(),
        ..worker(1)
    };
    assert_eq!(
        leaving.state_of(&moved, 1, EndpointState::Ready),
        EndpointState::Ready
    );
}

#[test]
fn what_nobody_tells_any_more_is_forgotten_after_the_stated_time_alone() {
    let mut leaving = DrainTable::default();
    let line = EndpointRecord {
        endpoint: worker(1),
        incarnation: 0,
        state: EndpointState::Gone,
    };
    leaving.merge(0, [line.clone()]);
    leaving.merge(DRAIN_RETENTION / 2, [line]);
    leaving.expire(DRAIN_RETENTION + DRAIN_RETENTION / 4);
    assert_eq!(leaving.records().count(), 1);
    leaving.expire(2 * DRAIN_RETENTION);
    assert_eq!(leaving.records().count(), 0);
}
