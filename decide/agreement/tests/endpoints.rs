//! The drain table: the order and repetition of records don't matter, and no record is ever undone.

use proptest::prelude::*;
use tansy_agreement::endpoints::{
    DrainTable, Endpoint, EndpointRecord, EndpointState, DRAIN_RETENTION,
};

fn worker(number: u8) -> Endpoint {
    Endpoint {
        name: format!("w{number}"),
        address: format!("10.0.0.{number}:1"),
    }
}

fn records() -> impl Strategy<Value = Vec<EndpointRecord>> {
    let state = prop_oneof![
        Just(EndpointState::Ready),
        Just(EndpointState::Draining),
        Just(EndpointState::Gone)
    ];
    let record = (0u8..4, 0u64..4, state).prop_map(|(n, incarnation, state)| EndpointRecord {
        endpoint: worker(n),
        incarnation,
        state,
    });
    prop::collection::vec(record, 0..20)
}

fn merged(records: &[EndpointRecord]) -> Vec<EndpointRecord> {
    let mut table = DrainTable::default();
    table.merge(0, records.iter().cloned());
    table.records().collect()
}

proptest! {
    #[test]
    fn order_and_repetition_of_records_change_nothing(all in records(), seed in any::<u64>()) {
        let mut shuffled: Vec<EndpointRecord> = all.iter().chain(&all).cloned().collect();
        shuffle(&mut shuffled, seed);
        prop_assert_eq!(merged(&all), merged(&shuffled));
    }

    #[test]
    fn forwarded_records_suffice_for_another_table(all in records()) {
        let (mut table, mut receiver) = (DrainTable::default(), DrainTable::default());
        for record in &all {
            let forwarded = table.merge(0, [record.clone()]);
            receiver.merge(0, forwarded);
        }
        prop_assert_eq!(table.records().collect::<Vec<_>>(), receiver.records().collect::<Vec<_>>());
        prop_assert!(table.merge(0, all).is_empty(), "a repeated record changes nothing");
    }

    #[test]
    fn a_drain_is_kept_whatever_state_a_list_reports(all in records()) {
        let mut table = DrainTable::default();
        table.merge(0, all.clone());
        for record in all.iter().filter(|record| record.state != EndpointState::Ready) {
            let state = table.state_of(&record.endpoint, record.incarnation, EndpointState::Ready);
            prop_assert!(state >= record.state, "{:?} has state {:?}", record, state);
            // All recorded incarnations are below 4, so this process is later than any of them.
            let later = table.state_of(&record.endpoint, 9, EndpointState::Ready);
            prop_assert_eq!(later, EndpointState::Ready);
        }
    }
}

fn shuffle(records: &mut [EndpointRecord], mut seed: u64) {
    for last in (1..records.len()).rev() {
        seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        records.swap(last, (seed >> 33) as usize % (last + 1));
    }
}

#[test]
fn an_older_process_is_gone_once_a_later_one_is_recorded() {
    let mut table = DrainTable::default();
    let record = |incarnation, state| EndpointRecord {
        endpoint: worker(1),
        incarnation,
        state,
    };
    table.merge(0, [record(2, EndpointState::Draining)]);
    assert_eq!(
        table.state_of(&worker(1), 1, EndpointState::Ready),
        EndpointState::Gone
    );
    assert_eq!(
        table.state_of(&worker(1), 2, EndpointState::Ready),
        EndpointState::Draining
    );
    assert_eq!(
        table.state_of(&worker(1), 2, EndpointState::Gone),
        EndpointState::Gone
    );
    assert_eq!(
        table.state_of(&worker(1), 3, EndpointState::Ready),
        EndpointState::Ready
    );
    // The same name at another address is another worker.
    let moved = Endpoint {
        address: "10.0.0.9:1".into(),
        ..worker(1)
    };
    assert_eq!(
        table.state_of(&moved, 1, EndpointState::Ready),
        EndpointState::Ready
    );
}

#[test]
fn a_record_expires_only_after_the_retention() {
    let mut table = DrainTable::default();
    let record = EndpointRecord {
        endpoint: worker(1),
        incarnation: 0,
        state: EndpointState::Gone,
    };
    table.merge(0, [record.clone()]);
    table.merge(DRAIN_RETENTION / 2, [record]);
    table.expire(DRAIN_RETENTION + DRAIN_RETENTION / 4);
    assert_eq!(table.records().count(), 1);
    table.expire(2 * DRAIN_RETENTION);
    assert_eq!(table.records().count(), 0);
}
