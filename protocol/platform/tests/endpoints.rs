//! Tests that the coordinator's events are applied once and in order, and that a worker keeps its name.

use tansy_dispatch::WorkerState;
use tansy_platform::{EndpointChange, EndpointList, EndpointUpdates};

fn updates(text: &str) -> EndpointUpdates {
    serde_json::from_str(text).unwrap()
}

fn names(changes: &[(bool, Vec<EndpointChange>)]) -> Vec<(String, WorkerState)> {
    let all = changes.iter().flat_map(|c| &c.1);
    all.map(|c| (c.endpoint.name.clone(), c.endpoint.state))
        .collect()
}

const FIRST: &str = r#"{"index":1,"updates":[{"index":1,"endpoints":{"version":1,"full":true,"servers":[
    {"id":"s-a","addr":"127.0.0.2:1","zone":"east","kind":"big","cell":2,"state":"Ready","weight":4,"started_ms":0},
    {"id":"s-b","addr":"127.0.0.3:1","zone":"west","kind":"std","cell":2,"state":"Ready","weight":2,"started_ms":1500}
    ]}}]}"#;

#[test]
fn events_are_applied_once_and_in_order() {
    let mut list = EndpointList::new(
        vec!["west".into(), "east".into()],
        vec!["std".into(), "big".into()],
    );
    let got = list.apply(&updates(FIRST), 2000.0);
    assert!(got[0].0);
    let first = &got[0].1[0].endpoint;
    assert_eq!(
        (
            first.zone,
            first.kind,
            first.cell,
            first.age,
            first.relative_size
        ),
        (1, 1, 2, None, 4.0)
    );
    assert_eq!(got[0].1[1].endpoint.age, Some(500_000));
    assert!(
        list.apply(&updates(FIRST), 2000.0).is_empty(),
        "an event that was already applied"
    );
    let drains = r#"{"index":2,"updates":[{"index":2,"endpoints":{"servers":[{"id":"s-a","state":"Terminating"}]}}]}"#;
    let got = list.apply(&updates(drains), 2000.0);
    assert_eq!(names(&got), [("s-a".to_string(), WorkerState::Draining)]);
    assert_eq!(list.index(), 2);
    assert!(list
        .apply(&updates(r#"{"index":7,"updates":[]}"#), 0.0)
        .is_empty());
    assert_eq!(list.index(), 7);
}

#[test]
fn a_changed_address_is_reported_as_a_gone_and_a_new_worker() {
    let mut list = EndpointList::new(vec![], vec![]);
    list.apply(&updates(FIRST), 0.0);
    let moved = r#"{"index":2,"updates":[{"index":2,"endpoints":{"servers":[
        {"id":"s-a","addr":"127.0.0.9:1","state":"Ready"},
        {"id":"s-c","addr":"127.0.0.2:1","state":"Ready"}]}}]}"#;
    let got = list.apply(&updates(moved), 0.0);
    assert_eq!(
        names(&got),
        [
            ("s-a", WorkerState::Gone),
            ("s-a", WorkerState::Ready),
            ("s-c", WorkerState::Ready)
        ]
        .map(|(n, s)| (n.to_string(), s))
    );
    assert_eq!(
        got.len(),
        2,
        "the worker is first reported gone, separately"
    );
    assert_eq!(
        (got[0].1[0].address.to_string(), got[1].1[0].endpoint.age),
        ("127.0.0.2:1".into(), Some(0))
    );
}

#[test]
fn a_worker_has_the_same_name_at_every_front_end() {
    let elsewhere = FIRST.replace("127.0.0.", "127.9.0.");
    let all = [FIRST, &elsewhere]
        .map(|text| names(&EndpointList::new(vec![], vec![]).apply(&updates(text), 0.0)));
    assert_eq!(all[0], all[1]);
}
