//! Membership datagrams of earlier versions are read, and the present version writes the same bytes.
//!
//! `fixtures/membership.txt` has the datagrams of `src/membership.rs`, written by `examples/record.rs`.

use tansy_compatibility_tests::fixture;
use tansy_compatibility_tests::membership::{datagrams, member, node_id};
use tansy_membership::{MembershipEvent, NodeId};

#[test]
fn the_bytes_of_datagrams_are_unchanged() {
    let hex = |all: Vec<(String, Vec<u8>)>| {
        let line =
            |(direction, bytes): (String, Vec<u8>)| format!("{direction} {}", fixture::hex(&bytes));
        all.into_iter().map(line).collect::<Vec<_>>()
    };
    assert_eq!(hex(datagrams()), hex(fixture::messages("membership.txt")));
}

#[test]
fn recorded_datagrams_report_a_front_end_up_and_down() {
    let mut second = member(2);
    let mut events = Vec::new();
    for (direction, bytes) in fixture::messages("membership.txt") {
        if direction == "1-to-2" {
            second.on_datagram(0, &bytes).expect("a datagram");
            events.extend(second.take_events());
        }
    }
    assert_eq!(
        events,
        [
            MembershipEvent::Up(node_id(1)),
            MembershipEvent::Down(node_id(1))
        ]
    );
}

#[test]
fn the_encoding_of_a_node_id_is_unchanged() {
    // Id, incarnation, renewals and address, encoded by postcard.
    let recorded = fixture::bytes("05ac02070100000000000000000000000000000001d936");
    let node_id = NodeId {
        id: 5,
        incarnation: 300,
        renewals: 7,
        address: "[::1]:7001".parse().expect("an address"),
    };
    assert_eq!(postcard::from_bytes(&recorded), Ok(node_id.clone()));
    assert_eq!(postcard::to_stdvec(&node_id), Ok(recorded));
}
