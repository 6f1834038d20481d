//! The kernel's state of TCP connections, for which tests wait instead of sleeping.

use super::process::reserve;
use super::until;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// An address that stays unused while the tests run.
pub fn unused_address() -> SocketAddr {
    let reserved = reserve();
    let address = reserved.address();
    std::mem::forget(reserved);
    address
}

/// The kernel's state of a TCP socket.
pub struct SocketState {
    /// Whether neither side has closed the connection.
    pub established: bool,
    /// Number of received bytes that have not been read, including the FIN of the peer.
    pub unread: u32,
    /// Number of sent bytes that the peer has not acknowledged.
    pub unacknowledged: u32,
}

/// Queries the kernel for the socket with the given addresses; `None` if there is no such socket. The table of all sockets
/// (`/proc/net/tcp`) is not used, since it is slow to read on a machine with many recent connections.
pub fn socket_state(local: SocketAddr, remote: SocketAddr) -> Option<SocketState> {
    // AF_NETLINK and NETLINK_SOCK_DIAG; the messages are those of linux/inet_diag.h.
    let (domain, protocol) = (socket2::Domain::from(16), socket2::Protocol::from(4));
    let mut kernel =
        socket2::Socket::new(domain, socket2::Type::RAW, Some(protocol)).expect("sock_diag");
    let mut request = Vec::new();
    // Length, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, sequence number, port id.
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
            panic!("{address}: expected an IPv4 address");
        };
        request.extend(address.ip().octets());
        request.extend([0; 12]);
    }
    // Any interface, and no cookie.
    request.extend([0; 4]);
    request.extend([0xff; 8]);
    kernel.write_all(&request).expect("sock_diag");
    let mut answer = [0u8; 4096];
    let length = kernel.read(&mut answer).expect("sock_diag");
    let word = |at: usize| u32::from_ne_bytes(answer[at..at + 4].try_into().unwrap());
    if u16::from_ne_bytes([answer[4], answer[5]]) != 20 {
        // The only expected error is ENOENT.
        assert_eq!(word(16) as i32, -2, "sock_diag");
        return None;
    }
    assert!(length >= 88, "sock_diag: {length} bytes");
    // For a connection that no longer exists, the kernel returns the listener (state 10).
    (answer[17] != 10).then(|| SocketState {
        established: answer[17] == 1,
        unread: word(72),
        unacknowledged: word(76),
    })
}

/// A socket's local address and its peer's address.
pub fn addresses(socket: &TcpStream) -> (SocketAddr, SocketAddr) {
    (socket.local_addr().unwrap(), socket.peer_addr().unwrap())
}

/// Waits until all written bytes have reached the peer's socket, which on a busy machine takes time even on loopback.
pub fn wait_until_delivered(socket: &TcpStream) {
    let (local, remote) = addresses(socket);
    until("the written bytes are acknowledged", || {
        socket_state(local, remote).is_none_or(|state| state.unacknowledged == 0)
    });
}

/// Closes a connection, and waits until the peer's socket has received the FIN or the reset.
pub fn close(socket: TcpStream) {
    let (local, remote) = addresses(&socket);
    drop(socket);
    until("the peer's socket is closed", || {
        socket_state(remote, local).is_none_or(|state| !state.established)
    });
}
