//! What the kernel knows of a connection, so that a test can wait for it instead of sleeping.

use super::process::reserve;
use super::until;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// An address at which nobody listens, nor will while the tests run.
pub fn unused_address() -> SocketAddr {
    let reserved = reserve();
    let address = reserved.address();
    std::mem::forget(reserved);
    address
}

/// What the kernel knows of one TCP socket.
pub struct SocketState {
    /// No end of the connection has been sent or received yet.
    pub established: bool,
    /// Bytes that its owner has not read yet, the other side's end included.
    pub unread: u32,
    /// Bytes that the other side has not acknowledged yet.
    pub unacknowledged: u32,
}

/// Asks the kernel for the socket with these two addresses alone; none: there is no such socket. The table of all sockets
/// (`/proc/net/tcp`) takes the longer to read the more connections the whole machine has had within a minute.
pub fn socket_state(local: SocketAddr, remote: SocketAddr) -> Option<SocketState> {
    // AF_NETLINK and NETLINK_SOCK_DIAG; requests and answers as in linux/inet_diag.h.
    let (domain, protocol) = (socket2::Domain::from(16), socket2::Protocol::from(4));
    let mut kernel =
        socket2::Socket::new(domain, socket2::Type::RAW, Some(protocol)).expect("sock_diag");
    let mut request = Vec::new();
    // Length, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, number, sender.
    request.extend(72u32.to_ne_bytes());
    request.extend(20u16.to_ne_bytes());
    request.extend(1u16.to_ne_bytes());
    request.extend([0; 8]);
    // AF_INET, IPPROTO_TCP, no extensions, all states.
    request.extend([2, 6, 0, 0]);
    request.extend(u32::MAX.to_ne_bytes());
    request.extend(local.port().to_be_bytes());
    request.extend(remote.port().to_be_bytes());
    for address in [local, remote] {
        let SocketAddr::V4(address) = address else {
            panic!("{address}: these tests are on IPv4");
        };
        request.extend(address.ip().octets());
        request.extend([0; 12]);
    }
    // Any interface, no cookie.
    request.extend([0; 4]);
    request.extend([0xff; 8]);
    kernel.write_all(&request).expect("sock_diag");
    let mut answer = [0u8; 4096];
    let length = kernel.read(&mut answer).expect("sock_diag");
    let word = |at: usize| u32::from_ne_bytes(answer[at..at + 4].try_into().unwrap());
    if u16::from_ne_bytes([answer[4], answer[5]]) != 20 {
        // An error: ENOENT.
        assert_eq!(word(16) as i32, -2, "sock_diag");
        return None;
    }
    assert!(length >= 88, "sock_diag: {length} bytes");
    // Behind a connection that is gone the kernel finds the listener (state 10).
    (answer[17] != 10).then(|| SocketState {
        established: answer[17] == 1,
        unread: word(72),
        unacknowledged: word(76),
    })
}

/// A socket's own address and that of the other side.
pub fn addresses(socket: &TcpStream) -> (SocketAddr, SocketAddr) {
    (socket.local_addr().unwrap(), socket.peer_addr().unwrap())
}

/// Waits until what was written has reached the other side's socket: a busy kernel may take its time on loopback too.
pub fn wait_until_delivered(socket: &TcpStream) {
    let (local, remote) = addresses(socket);
    until("it is delivered", || {
        socket_state(local, remote).is_none_or(|state| state.unacknowledged == 0)
    });
}

/// Ends a connection, and waits until the other side's socket knows.
pub fn close(socket: TcpStream) {
    let (local, remote) = addresses(&socket);
    drop(socket);
    until("its end is known", || {
        socket_state(remote, local).is_none_or(|state| !state.established)
    });
}
