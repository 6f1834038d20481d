//! A replica that meets an entry of a later program.

use super::*;
use tansy_agreement::compatibility::Fields;
use tansy_agreement::lease::LeaseTiming;

/// Acknowledges every write that these effects ask for, and those that follow.
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
fn an_entry_of_a_later_program_stops_a_replica_and_changes_nothing() {
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
        Replica::new(config, &PersistentState::default(), 0).expect("nothing was saved");
    let mut effects = Vec::new();
    replica.tick(0, &mut effects);
    acknowledge_writes(&mut replica, &mut effects);
    let log = replica.log().cloned();
    let applied = replica.applied();
    assert!(log.is_some() && !effects.contains(&Effect::UnknownEntry));
    replica
        .node
        .propose(Vec::new(), vec![250, 1, 2, 3])
        .expect("it leads");
    replica.collect(&mut effects);
    acknowledge_writes(&mut replica, &mut effects);
    assert!(effects.contains(&Effect::UnknownEntry) && replica.is_failed());
    assert_eq!((replica.log().cloned(), replica.applied()), (log, applied));
}
