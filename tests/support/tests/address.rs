//! A reserved port is given to no other socket, and a listener can bind it by number.

use std::collections::HashSet;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use tansy_test_support::address::ReservedAddress;

const LOOPBACK: [u8; 4] = [127, 0, 0, 1];
/// About a quarter of Linux's default range of ephemeral ports.
const OTHER_SOCKETS: usize = 7000;

#[test]
fn a_listener_can_bind_a_reserved_port_repeatedly() {
    let reserved = ReservedAddress::on(LOOPBACK).expect("a port");
    for _ in 0..3 {
        let listener = TcpListener::bind(reserved.address()).expect("a listener");
        let client = TcpStream::connect(reserved.address()).expect("a connection");
        drop(listener.accept().expect("the client's connection"));
        drop(client);
    }
}

#[test]
fn a_connection_to_a_reserved_port_without_a_listener_is_refused() {
    let reserved = ReservedAddress::on(LOOPBACK).expect("a port");
    let error = TcpStream::connect(reserved.address()).expect_err("no listener");
    assert_eq!(error.kind(), ErrorKind::ConnectionRefused);
}

/// The kernel chooses a reserved port neither for listeners on port 0, nor for outgoing connections, nor for another reservation.
#[test]
fn a_reserved_port_is_given_to_no_other_socket() {
    let reserved: Vec<ReservedAddress> = (0..100)
        .map(|_| ReservedAddress::on(LOOPBACK).expect("a port"))
        .collect();
    let addresses: HashSet<SocketAddr> = reserved.iter().map(ReservedAddress::address).collect();
    assert_eq!(addresses.len(), reserved.len());
    let server = TcpListener::bind((Ipv4Addr::from(LOOPBACK), 0)).map(|listener| {
        let address = listener.local_addr().expect("an address");
        (listener, address)
    });
    let (server, address) = server.expect("a port");
    for _ in 0..OTHER_SOCKETS {
        let client = TcpStream::connect(address).expect("a connection");
        let source = client.local_addr().expect("an address");
        assert!(!addresses.contains(&source), "{source} was reserved");
        drop(server.accept().expect("the client's connection"));
        let listener = TcpListener::bind((Ipv4Addr::from(LOOPBACK), 0)).expect("a port");
        let other = listener.local_addr().expect("an address");
        assert!(!addresses.contains(&other), "{other} was reserved");
    }
}
