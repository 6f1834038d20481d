//! Messages between front ends of a fleet, and requests and replies of operators: earlier versions' bytes are read, and the present
//! version writes the same.
//!
//! `fixtures/fleet-letters.txt` and `fixtures/fleet-requests.txt` have the messages of `src/fleet/`, written by `examples/record.rs`.

use tansy_compatibility_tests::fixture;
use tansy_compatibility_tests::fleet::messages::{bodies, sender, FLEET, LEADER};
use tansy_compatibility_tests::fleet::requests::requests;
use tansy_fleet_wire::{decode_message, encode_message};

#[test]
fn messages_are_read_and_written_as_before() {
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
        assert!(
            (present.decodes)(&bytes),
            "{name} does not decode to the expected message"
        );
        assert_eq!(fixture::hex(&present.bytes), fixture::hex(&bytes), "{name}");
    }
}
