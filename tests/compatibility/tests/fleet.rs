//! Messages, requests and replies between front ends and operators of a fleet are read as they were written, and are written
//! as they were.
//!
//! `fixtures/fleet-letters.txt` and `fixtures/fleet-requests.txt` hold the messages of `src/fleet/`, by
//! `examples/record.rs`.

use tansy_compatibility_tests::fixture;
use tansy_compatibility_tests::fleet::messages::{bodies, sender, FLEET, LEADER};
use tansy_compatibility_tests::fleet::requests::requests;
use tansy_fleet_wire::{decode_message, encode_message};

#[test]
fn letters_are_read_and_written_as_before() {
    let recorded = fixture::messages("fleet-letters.txt");
    assert_eq!(recorded.len(), bodies().len());
    for ((name, bytes), body) in recorded.into_iter().zip(bodies()) {
        assert_eq!(
            decode_message(FLEET, &bytes),
            Ok((sender(), LEADER, body.clone())),
            "message {name}"
        );
        let written = encode_message(FLEET, &sender(), LEADER, body);
        assert_eq!(
            fixture::hex(&written),
            fixture::hex(&bytes),
            "message {name}"
        );
    }
}

#[test]
fn requests_and_replies_are_read_and_written_as_before() {
    let recorded = fixture::messages("fleet-requests.txt");
    assert_eq!(recorded.len(), requests().len());
    for ((name, bytes), present) in recorded.into_iter().zip(requests()) {
        assert_eq!(name, present.name);
        assert!((present.is)(&bytes), "{name} is read as another message");
        assert_eq!(fixture::hex(&present.bytes), fixture::hex(&bytes), "{name}");
    }
}
