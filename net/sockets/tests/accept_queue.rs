//! The length of a listener's accept queue, as the kernel tells it.

use std::net::TcpStream;
use tansy_net_sockets::accept_queue::length;
use tansy_net_sockets::socket::listen;

#[test]
fn the_length_is_the_number_of_connections_that_were_not_accepted() {
    for address in ["127.0.0.1:0", "127.1.2.3:0", "[::1]:0"] {
        let Ok(listener) = listen(address.parse().unwrap(), false) else {
            // The machine has no IPv6.
            assert!(address.starts_with('['), "{address}");
            continue;
        };
        let address = listener.local_addr().unwrap();
        let mut clients = Vec::new();
        for count in 0..20 {
            assert_eq!(length(address), Some(count), "{address}");
            clients.push(TcpStream::connect(address).unwrap());
        }
        listener.set_nonblocking(false).unwrap();
        let accepted: Vec<_> = (0..5).map(|_| listener.accept().unwrap()).collect();
        assert_eq!(length(address), Some(15), "{address}");
        drop(accepted);
    }
}

#[test]
fn an_address_without_a_listener_has_no_length() {
    let listener = listen("127.0.0.1:0".parse().unwrap(), false).unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert_eq!(length(address), None);
}
