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

// Guards against drains that are never heard of: an index without events moved the list on, past events still to come.
#[test]
fn a_reply_without_events_does_not_move_the_index() {
    let mut list = EndpointList::new(vec![], vec![]);
    list.apply(&updates(FIRST), 2000.0);
    assert!(list.apply(&updates(r#"{"index":9}"#), 2000.0).is_empty());
    assert_eq!(list.index(), 1, "events 2 to 9 were not part of the reply");
}

// Guards against a front end without workers: a full list without its workers removed all of them.
#[test]
fn a_full_list_without_its_workers_removes_none() {
    let mut list = EndpointList::new(vec![], vec![]);
    list.apply(&updates(FIRST), 2000.0);
    let cut = r#"{"index":2,"updates":[{"index":2,"endpoints":{"version":2,"full":true}}]}"#;
    assert!(list.apply(&updates(cut), 2000.0).is_empty());
    assert_eq!(list.worker_count(), 2);
    let empty = cut.replace("\"full\":true", "\"full\":true,\"servers\":[]");
    let empty = empty.replace("\"index\":2", "\"index\":3");
    assert_eq!(list.apply(&updates(&empty), 2000.0), [(true, vec![])]);
    assert_eq!(list.worker_count(), 0, "an empty list does remove them");
}

// Guards against a repeat outside of its group, and an overloaded cold worker: what a change does not state was taken for
// zone 0, cell 0 and a start long ago.
#[test]
fn a_change_keeps_what_it_does_not_state() {
    let mut list = EndpointList::new(
        vec!["west".into(), "east".into()],
        vec!["std".into(), "big".into()],
    );
    let first = list.apply(&updates(FIRST), 2000.0);
    for (number, id) in ["s-a", "s-b"].into_iter().enumerate() {
        let index = 2 + number;
        let text = format!(
            r#"{{"index":{index},"updates":[{{"index":{index},"endpoints":{{"servers":[{{"id":"{id}","state":"Ready"}}]}}}}]}}"#
        );
        let changes = list.apply(&updates(&text), 2000.0);
        assert_eq!(changes[0].1, [first[0].1[number].clone()]);
    }
}

#[test]
fn workers_of_a_zone_that_the_settings_do_not_name_are_in_no_other_zone() {
    let mut list = EndpointList::new(vec!["north".into(), "west".into()], vec![]);
    let changes = list.apply(&updates(FIRST), 2000.0);
    let zones: Vec<usize> = changes[0].1.iter().map(|c| c.endpoint.zone).collect();
    assert!(zones[0] > 1, "east is neither north nor west: {zones:?}");
    assert_eq!(zones[1], 1);
}
