//! The text of a front end's configuration stays the same, byte for byte.

use std::net::SocketAddr;
use tansy_soak::configuration::FrontEndParameters;
use tansy_test_support::platform_configuration::{WorkerEntry, WorkerState};

const EXPECTED: &str = include_str!("fixtures/configuration.json");

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

fn configuration_text() -> String {
    let worker = |id: &str, port: u16, state, started_ms| WorkerEntry {
        id: id.to_string(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        state,
        started_ms,
    };
    let parameters = FrontEndParameters {
        coordinator: address("127.0.0.1:40002"),
        workers: vec![
            worker("s-0", 40003, WorkerState::Ready, 0),
            worker("s-1", 40004, WorkerState::Terminating, 1_764_666_000_000),
        ],
        connect_timeout_s: 1.3,
        sockets: 160,
        seed: 0x00ab_cdef_0123_4567,
        front_ends: 12,
        index: 3,
    };
    let configuration = parameters.configuration();
    configuration.text(address("127.0.1.4:40001"))
}

#[test]
fn the_configuration_text_is_unchanged() {
    assert_eq!(configuration_text(), EXPECTED);
}

#[test]
fn the_entry_of_a_worker_is_unchanged() {
    let worker = WorkerEntry {
        id: "s-7".to_string(),
        address: address("127.0.0.1:40005"),
        state: WorkerState::Gone,
        started_ms: 5,
    };
    assert_eq!(
        worker.json(),
        r#"{"id":"s-7","addr":"127.0.0.1:40005","zone":"a","kind":"k","cell":0,"state":"Gone","weight":1,"started_ms":5}"#
    );
}
