//! Reserved addresses: nobody else is given them, and the program that they are for can listen there.

use std::collections::HashSet;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use tansy_test_support::address::ReservedAddress;

const LOOPBACK: [u8; 4] = [127, 0, 0, 1];
/// About a quarter of the ports that the kernel chooses from by default.
const OTHERS: usize = 7000;

#[test]
fn a_listener_may_bind_it_again_and_again() {
    let reserved = ReservedAddress::on(LOOPBACK).expect("a port");
    for _ in 0..3 {
        let listener = TcpListener::bind(reserved.address()).expect("it is reserved");
        let client = TcpStream::connect(reserved.address()).expect("it listens");
        drop(listener.accept().expect("the client's connection"));
        drop(client);
    }
}

#[test]
fn without_a_listener_a_connection_is_refused() {
    let reserved = ReservedAddress::on(LOOPBACK).expect("a port");
    let error = TcpStream::connect(reserved.address()).expect_err("nobody listens");
    assert_eq!(error.kind(), ErrorKind::ConnectionRefused);
}

/// Neither sockets that take any port nor connections that go out are given a reserved port, and no two reservations are alike.
#[test]
fn nobody_else_is_given_it() {
    let reserved: Vec<ReservedAddress> = (0..100)
        .map(|_| ReservedAddress::on(LOOPBACK).expect("a port"))
        .collect();
    let addresses: HashSet<SocketAddr> = reserved.iter().map(ReservedAddress::address).collect();
    assert_eq!(addresses.len(), reserved.len());
    let server = TcpListener::bind((Ipv4Addr::from(LOOPBACK), 0)).map(|listener| {
        let address = listener.local_addr().expect("its address");
        (listener, address)
    });
    let (server, address) = server.expect("a port");
    for _ in 0..OTHERS {
        let client = TcpStream::connect(address).expect("it listens");
        let source = client.local_addr().expect("its address");
        assert!(!addresses.contains(&source), "{source} was reserved");
        drop(server.accept().expect("the client's connection"));
        let listener = TcpListener::bind((Ipv4Addr::from(LOOPBACK), 0)).expect("a port");
        let other = listener.local_addr().expect("its address");
        assert!(!addresses.contains(&other), "{other} was reserved");
    }
}
