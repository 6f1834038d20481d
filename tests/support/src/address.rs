//! Addresses that are known before the program that listens there starts.

use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

/// A TCP address on loopback that stays reserved for one listener until this value is dropped.
///
/// A port that a test binds, reads and closes again belongs to nobody: the kernel may give it to any connection or listener before the
/// program that is told of it binds it, which then fails with `EADDRINUSE`. This value keeps a bound socket that does not listen. The
/// kernel gives its port to nobody who asks for any port, and refuses connections to it, while a listener that sets `SO_REUSEADDR`, as
/// the standard library's and the gateway's do, may bind it by number, again after each restart.
#[derive(Debug)]
pub struct ReservedAddress {
    /// Bound, never listening; closing it ends the reservation.
    _socket: Socket,
    address: SocketAddr,
}

impl ReservedAddress {
    /// Reserves a port that the kernel chooses on this loopback address.
    pub fn on(host: [u8; 4]) -> io::Result<ReservedAddress> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        // Set after the bind: the kernel chooses a port that no other socket is bound to, reservations included.
        socket.bind(&SocketAddr::from((Ipv4Addr::from(host), 0)).into())?;
        socket.set_reuse_address(true)?;
        let address = socket
            .local_addr()?
            .as_socket()
            .ok_or_else(|| io::Error::other("the kernel gave a socket no IP address"))?;
        Ok(ReservedAddress {
            _socket: socket,
            address,
        })
    }

    /// The address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
