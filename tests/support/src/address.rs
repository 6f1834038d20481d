//! Reserved TCP addresses, known before the program that listens on them starts.

use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

/// A TCP address on loopback that stays reserved for one listener until this value is dropped.
///
/// If a test binds port 0, reads the port and closes the socket, the kernel may give the same port to another socket before the
/// program under test binds it, and the bind fails with `EADDRINUSE`. This value keeps a socket bound that never listens. The kernel
/// then doesn't choose its port for other sockets, and refuses connections to the port. A listener that sets `SO_REUSEADDR`, as those
/// of the standard library and of the gateway do, can still bind the port by number, also after a restart.
#[derive(Debug)]
pub struct ReservedAddress {
    /// Bound but never listening; closing it ends the reservation.
    _socket: Socket,
    address: SocketAddr,
}

impl ReservedAddress {
    /// Reserves a port on this loopback address; the kernel chooses the port.
    pub fn on(host: [u8; 4]) -> io::Result<ReservedAddress> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        // Set only after the bind: without SO_REUSEADDR the kernel chooses a port that no other socket is bound to, not even a
        // reservation's.
        socket.bind(&SocketAddr::from((Ipv4Addr::from(host), 0)).into())?;
        socket.set_reuse_address(true)?;
        let address = socket
            .local_addr()?
            .as_socket()
            .ok_or_else(|| io::Error::other("the bound socket has no IP address"))?;
        Ok(ReservedAddress {
            _socket: socket,
            address,
        })
    }

    /// The reserved address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
