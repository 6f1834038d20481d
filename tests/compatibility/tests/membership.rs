//! Datagrams of membership are read as they were meant, and are written as they were.
//!
//! `fixtures/membership.txt` holds those of two front ends in `src/membership.rs`, by `examples/record.rs`.

use tansy_compatibility_tests::fixture;
use tansy_compatibility_tests::membership::{conversation, member, name};
use tansy_membership::{MembershipEvent, NodeId};

#[test]
fn datagrams_are_written_as_before() {
    let hex = |all: Vec<(String, Vec<u8>)>| {
        let line = |(way, bytes): (String, Vec<u8>)| format!("{way} {}", fixture::hex(&bytes));
        all.into_iter().map(line).collect::<Vec<_>>()
    };
    assert_eq!(
        hex(conversation()),
        hex(fixture::messages("membership.txt"))
    );
}

#[test]
fn datagrams_of_an_earlier_program_make_it_known_and_let_it_leave() {
    let mut second = member(2);
    let mut events = Vec::new();
    for (way, bytes) in fixture::messages("membership.txt") {
        if way == "1-to-2" {
            second.on_datagram(0, &bytes).expect("a datagram");
            events.extend(second.take_events());
        }
    }
    assert_eq!(
        events,
        [MembershipEvent::Up(name(1)), MembershipEvent::Down(name(1))]
    );
}

#[test]
fn a_name_is_read_and_written_as_before() {
    // Number, process, life and address, by postcard.
    let recorded = fixture::bytes("05ac02070100000000000000000000000000000001d936");
    let name = NodeId {
        id: 5,
        incarnation: 300,
        renewals: 7,
        address: "[::1]:7001".parse().expect("an address"),
    };
    assert_eq!(postcard::from_bytes(&recorded), Ok(name.clone()));
    assert_eq!(postcard::to_stdvec(&name), Ok(recorded));
}
