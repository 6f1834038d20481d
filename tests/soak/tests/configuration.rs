//! The text of a front end's configuration, byte for byte.

use std::net::SocketAddr;
use tansy_soak::site::{Server, Site};

const EXPECTED: &str = include_str!("fixtures/configuration.json");

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

fn text() -> String {
    let server = |id: &str, port: u16, state, started_ms| Server {
        id: id.to_string(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        state,
        started_ms,
    };
    let site = Site {
        listen: address("127.0.1.4:40001"),
        coordinator: address("127.0.0.1:40002"),
        servers: vec![
            server("s-0", 40003, "Ready", 0),
            server("s-1", 40004, "Terminating", 1_764_666_000_000),
        ],
        connect_timeout_s: 1.3,
        sockets: 160,
        seed: 0x00ab_cdef_0123_4567,
        siblings: 12,
        me: 3,
    };
    site.text()
}

#[test]
fn the_text_is_as_it_always_was() {
    assert_eq!(text(), EXPECTED);
}

#[test]
fn a_workers_entry_is_as_it_always_was() {
    let server = Server {
        id: "s-7".to_string(),
        address: address("127.0.0.1:40005"),
        state: "Gone",
        started_ms: 5,
    };
    assert_eq!(
        server.line(),
        r#"{"id":"s-7","addr":"127.0.0.1:40005","zone":"a","kind":"k","cell":0,"state":"Gone","weight":1,"started_ms":5}"#
    );
}
