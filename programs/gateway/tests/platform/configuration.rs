//! Tests that the text of the front ends' test configuration is unchanged, byte for byte.

use crate::harness::configuration::workers_in_state;
use crate::harness::{configuration_at, PlatformConfiguration, ANY_PORT};
use std::net::SocketAddr;
use tansy_test_support::platform_configuration::WorkerState;

const EXPECTED: &str = include_str!("fixtures/configuration.json");

fn configuration() -> PlatformConfiguration {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    PlatformConfiguration {
        sockets: 64,
        connect_timeout_s: 0.25,
        coordinator: address(40002),
        ..configuration_at(&[address(40003), address(40004)])
    }
}

#[test]
fn the_text_is_unchanged() {
    assert_eq!(configuration().text(ANY_PORT), EXPECTED);
}

#[test]
fn the_list_of_workers_in_a_state_is_unchanged() {
    let expected = r#"{"id":"s-0","addr":"127.0.0.1:40003","zone":"a","kind":"k","cell":0,"state":"Gone","weight":1,"started_ms":0},{"id":"s-1","addr":"127.0.0.1:40004","zone":"a","kind":"k","cell":0,"state":"Gone","weight":1,"started_ms":0}"#;
    assert_eq!(
        workers_in_state(&configuration(), WorkerState::Gone),
        expected
    );
}
