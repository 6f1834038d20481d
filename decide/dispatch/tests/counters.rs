//! The keys of the counters, which other programs read.

use tansy_dispatch::Counters;

/// Counters as an earlier release serialized them.
const JSON: &str = r#"{"taken":1,"served":0,"refused":0,"failed":0,"departed":0,"unknown":0,"attempts":0,"ends":[0,0,0,3,0,0,0,0,0],"pieces":0,"loads":0,"vain":2,"asks":0,"unloads":0,"probes":0,"drops":0,"contested":0,"guarded":0}"#;

#[test]
fn counters_keep_their_keys() {
    let mut counters = Counters {
        accepted: 1,
        loads_without_effect: 2,
        ..Counters::default()
    };
    counters.attempt_outcomes[3] = 3;
    assert_eq!(
        serde_json::to_string(&counters).expect("counters serialize"),
        JSON
    );
    let line = "taken=1 served=0 refused=0 failed=0 departed=0 unknown=0 attempts=0 pieces=0 loads=0 vain=2 asks=0 \
                unloads=0 probes=0 drops=0 guarded=0 contested=0";
    assert_eq!(counters.to_string(), line);
}
