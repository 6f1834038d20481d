//! Entries that a later version wrote and this one can't decode.

use super::*;
use tansy_agreement::compatibility::Fields;
use tansy_agreement::lease::LeaseTiming;

/// Acknowledges every write among the effects, and those that follow from it.
fn acknowledge_writes(replica: &mut Replica, effects: &mut Vec<Effect>) {
    let mut position = 0;
    while position < effects.len() {
        if matches!(effects[position], Effect::Persist { .. }) {
            replica.on_persisted(true, effects);
        }
        position += 1;
    }
}

#[test]
fn an_unknown_entry_stops_a_replica_and_changes_nothing() {
    let address = ([127, 0, 0, 1], 7000).into();
    let config = ReplicaConfig {
        id: 1,
        incarnation: 1,
        voters: [(1, address)].into(),
        timing: LeaseTiming {
            span: 600_000,
            drift_ppm: 1000,
        },
        initial_fields: Fields::new(),
        seed: 1,
    };
    let mut replica =
        Replica::new(config, &PersistentState::default(), 0).expect("an empty state is valid");
    let mut effects = Vec::new();
    replica.tick(0, &mut effects);
    acknowledge_writes(&mut replica, &mut effects);
    let log = replica.log().cloned();
    let applied = replica.applied();
    assert!(log.is_some() && !effects.contains(&Effect::UnknownEntry));
    replica
        .node
        .propose(Vec::new(), vec![250, 1, 2, 3])
        .expect("the replica leads");
    replica.collect(&mut effects);
    acknowledge_writes(&mut replica, &mut effects);
    assert!(effects.contains(&Effect::UnknownEntry) && replica.is_failed());
    assert_eq!((replica.log().cloned(), replica.applied()), (log, applied));
}
