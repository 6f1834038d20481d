//! The text of the configuration that these tests start front ends with, byte for byte.

use crate::stage::Site;
use std::net::SocketAddr;

const EXPECTED: &str = include_str!("fixtures/configuration.json");

fn site() -> Site {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    Site {
        sockets: 64,
        connect_timeout_s: 0.25,
        coordinator: address(40002),
        ..Site::at(&[address(40003), address(40004)])
    }
}

#[test]
fn the_text_is_as_it_always_was() {
    assert_eq!(site().text("127.0.0.1:0"), EXPECTED);
}

#[test]
fn the_workers_in_a_state_are_as_they_always_were() {
    let expected = r#"{"id":"s-0","addr":"127.0.0.1:40003","zone":"a","kind":"k","cell":0,"state":"Gone","weight":1,"started_ms":0},{"id":"s-1","addr":"127.0.0.1:40004","zone":"a","kind":"k","cell":0,"state":"Gone","weight":1,"started_ms":0}"#;
    assert_eq!(site().servers("Gone"), expected);
}
